// Lets the peak memory of programs under the sanitizers be compared.
#pragma once

#include <QtGlobal>

namespace kumquat {

// Limits the AddressSanitizer quarantine of the programs that are started during its lifetime.
// Otherwise up to 256 MB of freed memory count towards their peak.
class SmallQuarantine {
 public:
  SmallQuarantine() { qputenv(kVariable, "quarantine_size_mb=1"); }
  SmallQuarantine(const SmallQuarantine&) = delete;
  SmallQuarantine& operator=(const SmallQuarantine&) = delete;
  ~SmallQuarantine() { qunsetenv(kVariable); }

 private:
  static constexpr const char* kVariable = "ASAN_OPTIONS";
};

}  // namespace kumquat

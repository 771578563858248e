// Counts the refusals of callers, and logs them without being flooded by them.
#pragma once

#include <cstdint>
#include <string_view>

#include "utils/histogram.h"
#include "utils/hooks.h"

namespace kumquat {

// Adds to kumquat_callers_refused_total, and writes a line once a second at most: with the newest
// reason, and how many refusals there were since the line before.
class CallerRefusalLog {
 public:
  void Count(Metrics* metrics, std::string_view reason, Instant now);

 private:
  std::int64_t unlogged_ = 0;
  Instant logged_at_{0};
};

}  // namespace kumquat

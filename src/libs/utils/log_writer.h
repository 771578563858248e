// Writes log lines without ever waiting for whoever reads them, and within a budget of bytes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "utils/hooks.h"

namespace kumquat {

// What a process may write in a second, for lines up to information and again for those above, so
// that a flood of the first doesn't hide the second. Some 400 lines of 160 bytes: a router answers
// fewer requests a second than that on the largest deployments.
constexpr std::int64_t kLogBytesPerSecond = 64 * 1024;

class LogWriter {
 public:
  // The descriptor is not owned. The bytes are a second's budget for each of the two kinds.
  LogWriter(int descriptor, std::int64_t bytes_per_second, Clock clock);

  // Writes the line, which ends with a line feed, if the budget lasts and the descriptor takes it
  // at once; returns whether it did. Lines past what a pipe takes whole are cut.
  bool Write(std::string_view line, bool is_urgent);

 private:
  bool TakeFrom(std::int64_t* budget, std::size_t bytes);
  bool TakesNow() const;

  int descriptor_;
  std::int64_t bytes_per_second_;
  Clock clock_;
  Instant second_began_{};
  std::int64_t usual_left_;
  std::int64_t urgent_left_;
};

}  // namespace kumquat

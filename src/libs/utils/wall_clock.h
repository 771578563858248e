// The time of day, for numbers that have to grow from one start of a process to the next.
#pragma once

#include <chrono>
#include <cstdint>

namespace kumquat {

// Returns milliseconds since the epoch. It may be set back; nothing that measures time uses it.
inline std::int64_t WallClockMillis() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}  // namespace kumquat

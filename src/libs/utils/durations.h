// Durations as plain numbers, for logs, metrics and rates, and doubled ones.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "utils/hooks.h"

namespace kumquat {

inline double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

// Returns whole milliseconds, rounded towards zero.
inline std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// Returns `shortest` doubled so many times, up to `longest`: the pause after failures in a row.
inline Duration DoubledPause(Duration shortest, Duration longest, int times) {
  // By then every pause is at its longest, and nothing overflows.
  constexpr int kMostDoublings = 16;
  return std::min(longest, shortest * (1 << std::min(times, kMostDoublings)));
}

}  // namespace kumquat

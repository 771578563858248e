// Durations as plain numbers, for logs, metrics and rates.
#pragma once

#include <chrono>
#include <cstdint>

#include "utils/hooks.h"

namespace kumquat {

inline double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

// Returns whole milliseconds, rounded towards zero.
inline std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace kumquat

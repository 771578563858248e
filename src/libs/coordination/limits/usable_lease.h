// The margin for clocks that run apart.
#pragma once

#include <cstdint>

#include "utils/hooks.h"

namespace kumquat {

// Clocks of two instances may differ in rate by one part in so many.
inline constexpr std::int64_t kClockDriftDivisor = 100;

// Returns how much of a time granted on another instance's clock may be used on this one's.
constexpr Duration UsableLease(Duration lease) { return lease - lease / kClockDriftDivisor; }

}  // namespace kumquat

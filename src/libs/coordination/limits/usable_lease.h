// The safety margin for clock drift between instances.
#pragma once

#include <cstdint>

#include "utils/hooks.h"

namespace kumquat {

// The clocks of two instances may differ in rate by one part in this many, i.e. by 1%.
inline constexpr std::int64_t kClockDriftDivisor = 100;

// Returns how much of a period that was granted on another instance's clock may be used on the
// local clock.
constexpr Duration UsableLease(Duration lease) { return lease - lease / kClockDriftDivisor; }

}  // namespace kumquat

// An exponentially smoothed rate.
#pragma once

#include "utils/hooks.h"

namespace kumquat {

// Measures a rate in units per second as the larger of two exponential averages: one with the given
// time constant, one with a quarter of it. The result rises fast and falls slowly.
class DemandMeter {
 public:
  // Records units that were requested at `now`.
  void Add(double units, Duration time_constant, Instant now);

  // Returns the smoothed rate in units per second.
  double Rate(Duration time_constant, Instant now) const;

 private:
  double slow_rate_ = 0;
  double fast_rate_ = 0;
  Instant measured_at_{0};
};

}  // namespace kumquat

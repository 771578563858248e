// A rate smoothed over recent time.
#pragma once

#include "utils/hooks.h"

namespace kumquat {

// Measures units a second, with exponentially fading memory. A quarter of the memory counts where
// it gives more, so that the rate rises fast and falls slowly.
class DemandMeter {
 public:
  // Counts units that were asked for now.
  void Add(double units, Duration memory, Instant now);

  // Returns the smoothed rate in units a second.
  double Rate(Duration memory, Instant now) const;

 private:
  double slow_rate_ = 0;
  double fast_rate_ = 0;
  Instant measured_at_{0};
};

}  // namespace kumquat

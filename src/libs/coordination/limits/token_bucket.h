// A token bucket whose level may become negative.
#pragma once

#include <cstdint>

#include "utils/hooks.h"

namespace kumquat {

// Fills at a constant rate up to the amount of one second, or up to one unit if that is more. A new
// bucket holds a single unit, so that moving a share between routers causes no burst.
class TokenBucket {
 public:
  // Changes the rate, in units per second. The level is kept, up to the new limit.
  void SetRate(std::int64_t rate, Instant now);

  // Removes units; the level may become negative. A negative amount returns units.
  void Take(double units, Instant now);

  // Returns the time until one whole unit is available; Duration::max() if the rate is zero.
  Duration TimeUntilUnit(Instant now) const;

  // Returns whether the level is negative.
  bool InDebt(Instant now) const { return LevelAt(now) < 0; }

 private:
  double LevelAt(Instant now) const;

  double rate_ = 0;
  double level_ = 1;
  Instant filled_at_{0};
};

}  // namespace kumquat

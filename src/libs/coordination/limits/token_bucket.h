// A token bucket that may go into debt.
#pragma once

#include <cstdint>

#include "utils/hooks.h"

namespace kumquat {

// Fills at a rate, up to what one second brings. A new bucket holds a single unit, so that moving
// a share between routers makes no burst.
class TokenBucket {
 public:
  // Changes the rate, in units a second; what has been filled stays, up to the new limit.
  void SetRate(std::int64_t rate, Instant now);

  // Takes units; the level may fall below zero by it.
  void Take(double units, Instant now);

  // Returns how long it takes until one whole unit is there; Duration::max() without a rate.
  Duration TimeUntilUnit(Instant now) const;

  // Returns whether more was taken than filled.
  bool InDebt(Instant now) const { return LevelAt(now) < 0; }

 private:
  double LevelAt(Instant now) const;

  double rate_ = 0;
  double level_ = 1;
  Instant filled_at_{0};
};

}  // namespace kumquat

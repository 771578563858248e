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

  // Takes units when at least `needed` are there; the level may fall below zero by it.
  bool TryTake(double units, double needed, Instant now);

  // Puts units back, or takes more when negative.
  void Adjust(double units);

  // Returns how long it takes until `needed` units are there.
  Duration TimeUntil(double needed, Instant now) const;

 private:
  double LevelAt(Instant now) const;

  double rate_ = 0;
  double level_ = 1;
  Instant filled_at_{0};
};

}  // namespace kumquat

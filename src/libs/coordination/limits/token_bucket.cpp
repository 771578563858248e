#include "coordination/limits/token_bucket.h"

#include <algorithm>
#include <cmath>

#include "utils/durations.h"

namespace kumquat {

void TokenBucket::SetRate(std::int64_t rate, Instant now) {
  level_ = LevelAt(now);
  rate_ = static_cast<double>(rate);
  level_ = std::min(level_, std::max(rate_, 1.0));
  filled_at_ = now;
}

void TokenBucket::Take(double units, Instant now) {
  level_ = LevelAt(now) - units;
  filled_at_ = now;
}

Duration TokenBucket::TimeUntilUnit(Instant now) const {
  if (rate_ <= 0) return Duration::max();
  const double missing = 1 - LevelAt(now);
  if (missing <= 0) return Duration(0);
  return Duration(static_cast<Duration::rep>(std::ceil(missing / rate_ * 1e6)));
}

double TokenBucket::LevelAt(Instant now) const {
  return std::min(level_ + rate_ * Seconds(now - filled_at_), std::max(rate_, 1.0));
}

}  // namespace kumquat

#include "coordination/limits/demand_meter.h"

#include <algorithm>
#include <cmath>

#include "utils/durations.h"

namespace kumquat {
namespace {

// The fast average has the time constant divided by this.
constexpr int kFastDivisor = 4;

double Decayed(double rate, Duration time_constant, Duration elapsed) {
  return rate * std::exp(-Seconds(elapsed) / Seconds(time_constant));
}

}  // namespace

void DemandMeter::Add(double units, Duration time_constant, Instant now) {
  const Duration elapsed = now - measured_at_;
  const Duration fast_time_constant = time_constant / kFastDivisor;
  slow_rate_ = Decayed(slow_rate_, time_constant, elapsed) + units / Seconds(time_constant);
  fast_rate_ =
      Decayed(fast_rate_, fast_time_constant, elapsed) + units / Seconds(fast_time_constant);
  measured_at_ = now;
}

double DemandMeter::Rate(Duration time_constant, Instant now) const {
  const Duration elapsed = now - measured_at_;
  return std::max(Decayed(slow_rate_, time_constant, elapsed),
                  Decayed(fast_rate_, time_constant / kFastDivisor, elapsed));
}

}  // namespace kumquat

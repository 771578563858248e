#include "coordination/limits/demand_meter.h"

#include <algorithm>
#include <cmath>

#include "utils/durations.h"

namespace kumquat {
namespace {

// The part of the memory that counts for a rise.
constexpr int kRiseDivisor = 4;

double Faded(double rate, Duration memory, Duration passed) {
  return rate * std::exp(-Seconds(passed) / Seconds(memory));
}

}  // namespace

void DemandMeter::Add(double units, Duration memory, Instant now) {
  const Duration passed = now - measured_at_;
  const Duration short_memory = memory / kRiseDivisor;
  slow_rate_ = Faded(slow_rate_, memory, passed) + units / Seconds(memory);
  fast_rate_ = Faded(fast_rate_, short_memory, passed) + units / Seconds(short_memory);
  measured_at_ = now;
}

double DemandMeter::Rate(Duration memory, Instant now) const {
  const Duration passed = now - measured_at_;
  return std::max(Faded(slow_rate_, memory, passed),
                  Faded(fast_rate_, memory / kRiseDivisor, passed));
}

}  // namespace kumquat

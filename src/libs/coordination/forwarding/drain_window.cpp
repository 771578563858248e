#include "coordination/forwarding/drain_window.h"

#include <algorithm>

namespace kumquat {
namespace {

// The load balancer checks readiness every second and stops sending requests after two failed
// checks.
constexpr Duration kBalancerDetectionTime = std::chrono::milliseconds(2300);
// The part of the grace period that is reserved for the exit of the process itself, on a machine
// with a quarter of a core that handles the signal and the exit late (docs/MEASUREMENTS.md).
constexpr Duration kExitMargin = std::chrono::milliseconds(300);
// How long the last answers may take to be written to their callers.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(100);

}  // namespace

Duration DrainWindow::DetectionTime() const { return std::min(kBalancerDetectionTime, grace_ / 2); }

bool DrainWindow::IsBalancerUnaware(Instant now) const {
  return now < std::min(told_ + DetectionTime(), answers_due());
}

bool DrainWindow::TakesOn(Instant now, Duration longest, bool once_only) const {
  if (now + longest <= answers_due()) return true;
  // Counted from when the stop was asked for, as what is taken on later would be cut too early.
  return !once_only && now - asked_ < DetectionTime();
}

Instant DrainWindow::answers_due() const { return ends() - kAnswerMargin; }

Instant DrainWindow::ends() const { return asked_ + std::max(grace_ - kExitMargin, grace_ / 2); }

}  // namespace kumquat

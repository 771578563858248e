// A single-shot timer that is never early on the clock of its owner.
#pragma once

#include <QTimer>
#include <functional>
#include <utility>

#include "utils/hooks.h"

namespace kumquat {

// Runs a hook once a moment of the owner's clock has been reached. A plain QTimer is coarse, which
// allows it to fire 5% early; whatever ends at a deadline would then be cut before it.
class DeadlineTimer {
 public:
  explicit DeadlineTimer(Clock clock = SteadyClock());
  DeadlineTimer(const DeadlineTimer&) = delete;
  DeadlineTimer& operator=(const DeadlineTimer&) = delete;

  // Sets the hook. It may start this timer again, and may destroy it.
  void OnReached(std::function<void()> hook) { hook_ = std::move(hook); }

  // Runs the hook from the event loop at this moment, or at once where it has passed. Replaces a
  // start before.
  void StartAt(Instant deadline);

  // The same, for a moment this long from now.
  void StartAfter(Duration time) { StartAt(clock_() + time); }

  // The hook doesn't run before the next start.
  void Stop() { timer_.stop(); }

 private:
  void Arm();
  void HandleTimeout();

  Clock clock_;
  std::function<void()> hook_;
  Instant deadline_{0};
  QTimer timer_;
};

// Runs the hook once, at this moment of the clock. Nothing cancels it.
void RunAt(Instant moment, const Clock& clock, std::function<void()> hook);

}  // namespace kumquat

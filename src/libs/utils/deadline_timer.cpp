#include "utils/deadline_timer.h"

#include <algorithm>
#include <utility>

namespace kumquat {

DeadlineTimer::DeadlineTimer(Clock clock) : clock_(std::move(clock)) {
  timer_.setSingleShot(true);
  timer_.setTimerType(Qt::PreciseTimer);
  QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { HandleTimeout(); });
}

void DeadlineTimer::StartAt(Instant deadline) {
  deadline_ = deadline;
  Arm();
}

void DeadlineTimer::Arm() {
  const Duration left = std::max(Duration(0), deadline_ - clock_());
  timer_.start(std::chrono::ceil<std::chrono::milliseconds>(left));
}

// The event loop and the owner may use different clocks, so the timeout alone proves nothing.
void DeadlineTimer::HandleTimeout() {
  if (clock_() < deadline_) {
    Arm();
    return;
  }
  const auto hook = hook_;
  if (hook) hook();
}

void RunAt(Instant moment, const Clock& clock, std::function<void()> hook) {
  const Duration left = std::max(Duration(0), moment - clock());
  QTimer::singleShot(std::chrono::ceil<std::chrono::milliseconds>(left), Qt::PreciseTimer,
                     [moment, clock, hook = std::move(hook)] {
                       if (clock() < moment) {
                         RunAt(moment, clock, hook);
                       } else {
                         hook();
                       }
                     });
}

}  // namespace kumquat

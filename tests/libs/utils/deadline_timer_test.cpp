#include "utils/deadline_timer.h"

#include <doctest/doctest.h>

#include <QCoreApplication>
#include <QDeadlineTimer>
#include <functional>
#include <memory>
#include <vector>

namespace kumquat {
namespace {

using std::chrono::milliseconds;

// Coarse timers round to parts of a second, so the starts are spread over one.
constexpr int kStarts = 40;
constexpr milliseconds kStartPause{26};
// Long enough for Qt to take a coarse timer where no type is named.
constexpr milliseconds kLongWait{2400};

void SpinFor(milliseconds time) {
  const QDeadlineTimer end(time);
  while (!end.hasExpired()) QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
}

bool SpinUntil(const std::function<bool()>& condition) {
  const QDeadlineTimer end(std::chrono::seconds(20));
  while (!condition() && !end.hasExpired()) SpinFor(milliseconds(1));
  return condition();
}

// Streams were cut up to 0.75 s before their deadline of 15 s, by coarse timers.
TEST_CASE("A timer is never early, whatever part of a second it starts in") {
  const Clock clock = SteadyClock();
  int reached = 0;
  int early = 0;
  std::vector<std::unique_ptr<DeadlineTimer>> timers;
  for (int i = 0; i < kStarts; ++i) {
    timers.push_back(std::make_unique<DeadlineTimer>());
    const Instant deadline = clock() + kLongWait;
    timers.back()->OnReached([&, deadline] {
      ++reached;
      if (clock() < deadline) ++early;
    });
    timers.back()->StartAt(deadline);
    SpinFor(kStartPause);
  }
  CHECK(SpinUntil([&] { return reached == kStarts; }));
  CHECK(early == 0);
}

// Requests of the own interface that were woken before their deadline went on without one.
TEST_CASE("RunAt is never early") {
  const Clock clock = SteadyClock();
  int reached = 0;
  int early = 0;
  for (int i = 0; i < kStarts; ++i) {
    const Instant moment = clock() + kLongWait;
    RunAt(moment, clock, [&, moment] {
      ++reached;
      if (clock() < moment) ++early;
    });
    SpinFor(kStartPause);
  }
  CHECK(SpinUntil([&] { return reached == kStarts; }));
  CHECK(early == 0);
}

// The event loop's clock and the owner's may differ, as after the machine was suspended.
TEST_CASE("A timer waits on where the owner's clock hasn't reached the deadline") {
  Instant now{0};
  int reached = 0;
  DeadlineTimer timer([&now] { return now; });
  timer.OnReached([&reached] { ++reached; });
  timer.StartAt(milliseconds(20));
  SpinFor(milliseconds(60));
  CHECK(reached == 0);
  now = milliseconds(20);
  CHECK(SpinUntil([&] { return reached == 1; }));
  SpinFor(milliseconds(40));
  CHECK(reached == 1);
}

TEST_CASE("A timer that was stopped doesn't fire, and its hook may start it again or destroy it") {
  int reached = 0;
  auto timer = std::make_unique<DeadlineTimer>();
  timer->OnReached([&] {
    if (++reached == 1) {
      timer->StartAfter(milliseconds(1));
    } else {
      timer.reset();
    }
  });
  timer->StartAfter(milliseconds(5));
  timer->Stop();
  SpinFor(milliseconds(20));
  CHECK(reached == 0);
  timer->StartAfter(milliseconds(5));
  CHECK(SpinUntil([&] { return !timer; }));
  CHECK(reached == 2);
}

}  // namespace
}  // namespace kumquat

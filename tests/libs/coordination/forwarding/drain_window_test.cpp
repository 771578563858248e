#include "coordination/forwarding/drain_window.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace kumquat {
namespace {

using std::chrono::milliseconds;

constexpr Instant kBegan = std::chrono::seconds(100);
constexpr Duration kGrace = std::chrono::seconds(8);

TEST_CASE(
    "A request is taken on in each tenth of the grace if its answer is sure to come in time") {
  const DrainWindow window(kBegan, kBegan, kGrace);
  for (int tenth = 0; tenth < 10; ++tenth) {
    const Instant now = kBegan + kGrace * tenth / 10;
    for (const bool once_only : {false, true}) {
      CAPTURE(tenth);
      CAPTURE(once_only);
      const Duration left = window.answers_due() - now;
      CHECK(window.TakesOn(now, std::max(Duration(0), left), once_only) == (left >= Duration(0)));
    }
  }
}

TEST_CASE(
    "A request that could outlast the grace is taken on only early and if it isn't once-only") {
  const DrainWindow window(kBegan, kBegan, kGrace);
  CHECK(window.TakesOn(kBegan, kGrace, false));
  CHECK(window.TakesOn(kBegan + milliseconds(2200), kGrace, false));
  CHECK_FALSE(window.TakesOn(kBegan + milliseconds(2400), kGrace, false));
  CHECK_FALSE(window.TakesOn(kBegan, kGrace, true));
}

TEST_CASE("The last answers and the end lie within the grace, however short it is") {
  for (const Duration grace : {milliseconds(300), milliseconds(1000), milliseconds(8000)}) {
    const DrainWindow window(kBegan, kBegan, grace);
    CHECK(window.ends() > kBegan);
    CHECK(window.ends() < kBegan + grace);
    CHECK(window.answers_due() < window.ends());
    CHECK_FALSE(window.IsBalancerUnaware(kBegan + grace / 2));
  }
}

// What a stream that can't be asked for again may still use of the grace of the users' platform.
TEST_CASE("What still runs is cut no sooner than 0.4 s before the end of the grace") {
  const DrainWindow window(kBegan, kBegan, kGrace);
  CHECK(window.answers_due() >= kBegan + kGrace - milliseconds(400));
}

TEST_CASE("A stop that is handled late ends at the same moment, and the balancer has its time") {
  for (const Duration late : {milliseconds(500), milliseconds(2500), milliseconds(6000)}) {
    CAPTURE(late.count());
    const Instant told = kBegan + late;
    const DrainWindow window(kBegan, told, kGrace);
    const DrainWindow prompt(kBegan, kBegan, kGrace);
    CHECK(window.ends() == prompt.ends());
    CHECK(window.answers_due() == prompt.answers_due());
    const Instant unaware = std::min(told + milliseconds(2200), window.answers_due());
    CHECK(window.IsBalancerUnaware(unaware - milliseconds(1)));
    CHECK_FALSE(window.IsBalancerUnaware(told + milliseconds(2400)));
    CHECK_FALSE(window.IsBalancerUnaware(window.answers_due()));
    // What would outlast the grace is taken on by the time of the signal.
    CHECK(window.TakesOn(told, kGrace, false) == prompt.TakesOn(told, kGrace, false));
    CHECK_FALSE(window.TakesOn(told, kGrace, true));
  }
}

}  // namespace
}  // namespace kumquat

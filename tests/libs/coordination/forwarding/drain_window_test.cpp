#include "coordination/forwarding/drain_window.h"

#include <doctest/doctest.h>

namespace kumquat {
namespace {

using std::chrono::milliseconds;

constexpr Instant kBegan = std::chrono::seconds(100);
constexpr Duration kGrace = std::chrono::seconds(8);

TEST_CASE(
    "A request is taken on in each tenth of the grace if its answer is sure to come in time") {
  const DrainWindow window(kBegan, kGrace);
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
  const DrainWindow window(kBegan, kGrace);
  CHECK(window.TakesOn(kBegan, kGrace, false));
  CHECK(window.TakesOn(kBegan + milliseconds(2200), kGrace, false));
  CHECK_FALSE(window.TakesOn(kBegan + milliseconds(2400), kGrace, false));
  CHECK_FALSE(window.TakesOn(kBegan, kGrace, true));
}

TEST_CASE("The last answers and the end lie within the grace, however short it is") {
  for (const Duration grace : {milliseconds(300), milliseconds(1000), milliseconds(8000)}) {
    const DrainWindow window(kBegan, grace);
    CHECK(window.ends() > kBegan);
    CHECK(window.ends() < kBegan + grace);
    CHECK(window.answers_due() < window.ends());
    CHECK_FALSE(window.IsBalancerUnaware(kBegan + grace / 2));
  }
}

}  // namespace
}  // namespace kumquat

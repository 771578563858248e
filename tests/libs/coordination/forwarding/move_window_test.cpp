#include "coordination/forwarding/move_window.h"

#include <doctest/doctest.h>

#include <chrono>

#include "property.h"

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("Without an answer to a greeting, or after the link broke, no window is open") {
  MoveWindow window;
  CHECK(window.closes_at() == Instant(0));
  window.OnEngines("c1", seconds(50), {"e1"});
  CHECK(window.closes_at() == Instant(0));
  window.OnAnswered("c1", seconds(900), seconds(49));
  CHECK(window.closes_at() == seconds(901));
  window.OnAnswered("c1", Instant(0), seconds(50));
  CHECK(window.closes_at() == seconds(901));
  CHECK(window.ToOwnTime("c1", Instant(0)) == Instant(0));
  CHECK(window.ToOwnTime("c2", seconds(50)) == Instant(0));
  window.OnLost("c1");
  CHECK(window.closes_at() == Instant(0));
}

TEST_CASE("News of another leader replace the window of the one before") {
  MoveWindow window;
  window.OnAnswered("c1", seconds(900), seconds(49));
  window.OnAnswered("c2", seconds(900), seconds(7));
  window.OnEngines("c1", seconds(50), {"e1"});
  window.OnEngines("c2", seconds(9), {"e2"});
  CHECK(window.closes_at() == seconds(902));
  CHECK(window.targets() == std::vector<std::string>{"e2"});
}

// Guards against runs that are moved by news which were read late.
TEST_CASE("The window is never open after the leader's time, however late messages come") {
  CheckProperty("window", [] {
    const auto delay = [](int most) { return milliseconds(*rc::gen::inRange(0, most)); };
    // What the leader's clock shows when that of the router shows 0.
    const Instant offset = seconds(1000) + delay(100'000);
    const Instant greeted_at = seconds(1) + delay(1000);
    const Instant answered_at = greeted_at + offset + delay(5000);
    const Instant unordered_until = answered_at + delay(5000);
    MoveWindow window;
    window.OnAnswered("c", greeted_at, answered_at);
    window.OnEngines("c", unordered_until, {});
    RC_ASSERT(window.closes_at() + offset <= unordered_until);
  });
}

}  // namespace
}  // namespace kumquat

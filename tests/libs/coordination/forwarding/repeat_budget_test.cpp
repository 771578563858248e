// Tests that many routers, some of which restart, keep to what the service allows in any time
// window.
#include "coordination/forwarding/repeat_budget.h"

#include <deque>
#include <memory>
#include <vector>

#include "property.h"
#include "utils/hooks.h"

namespace kumquat {
namespace {

constexpr RepeatAllowance kAllowance{0.2, 54};
constexpr Duration kWindow = std::chrono::seconds(10);

TEST_CASE("Repeats of all routers stay within the allowance in any window despite restarts") {
  std::int64_t repeats_made = 0;
  CheckProperty("repeats in any window", [&] {
    const auto routers = *rc::gen::inRange<std::size_t>(1, 12);
    std::vector<std::unique_ptr<RepeatBudget>> budgets(routers);
    const auto restart = [&](std::size_t router) {
      budgets[router] = std::make_unique<RepeatBudget>(kAllowance);
      budgets[router]->SetRouters(static_cast<std::int64_t>(routers));
    };
    for (std::size_t i = 0; i < routers; ++i) restart(i);
    struct Step {
      Instant at;
      bool is_repeat;
    };
    std::deque<Step> window;
    std::int64_t requests = 0;
    std::int64_t repeats = 0;
    Instant now{0};
    const auto steps = *rc::gen::container<std::vector<int>>(1500, rc::gen::inRange(0, 1000));
    for (const int step : steps) {
      now += std::chrono::milliseconds(step % 40);
      const auto router = static_cast<std::size_t>(step) % routers;
      if (step % 97 == 0) restart(router);
      const bool is_repeat = step % 2 == 0;
      if (is_repeat && !budgets[router]->TryRepeat("s")) continue;
      if (!is_repeat) budgets[router]->OnRequest("s");
      window.push_back({now, is_repeat});
      (is_repeat ? repeats : requests) += 1;
      repeats_made += is_repeat ? 1 : 0;
      while (window.front().at <= now - kWindow) {
        (window.front().is_repeat ? repeats : requests) -= 1;
        window.pop_front();
      }
      const double allowed = kAllowance.ratio * static_cast<double>(requests) + kAllowance.slack;
      RC_ASSERT(static_cast<double>(repeats) <= allowed);
    }
  });
  CHECK(repeats_made > 1000);
}

TEST_CASE("A budget starts empty and is separate for each service") {
  RepeatBudget budget(kAllowance);
  budget.SetRouters(1);
  CHECK(!budget.TryRepeat("a"));
  for (int i = 0; i < 5; ++i) budget.OnRequest("a");
  CHECK(budget.TryRepeat("a"));
  CHECK(!budget.TryRepeat("a"));
  CHECK(!budget.TryRepeat("b"));
}

TEST_CASE("Repeats that may wait leave one to those that can't, unless the bucket is full") {
  RepeatBudget budget({0.2, 50});
  budget.SetRouters(4);
  for (int i = 0; i < 1000; ++i) budget.OnRequest("a");
  int optional = 0;
  while (budget.TryOptionalRepeats("a", 1)) ++optional;
  CHECK(optional == 9);
  int urgent = 0;
  while (budget.TryRepeat("a")) ++urgent;
  CHECK(urgent == 1);
  budget.ReturnRepeat("a");
  CHECK(budget.TryRepeat("a"));
  budget.SetRouters(40);
  for (int i = 0; i < 5; ++i) budget.OnRequest("a");
  CHECK(budget.TryOptionalRepeats("a", 1));
}

TEST_CASE("Several repeats that may wait are taken together or not at all") {
  RepeatBudget budget({0.2, 50});
  for (int i = 0; i < 1000; ++i) budget.OnRequest("a");
  // The number of routers isn't known, so there is room for one only.
  CHECK_FALSE(budget.TryOptionalRepeats("a", 2));
  budget.SetRouters(10);
  for (int i = 0; i < 1000; ++i) budget.OnRequest("a");
  CHECK(budget.available("a") == doctest::Approx(4));
  CHECK(budget.TryOptionalRepeats("a", 2));
  CHECK_FALSE(budget.TryOptionalRepeats("a", 2));
  CHECK(budget.available("a") == doctest::Approx(2));
}

TEST_CASE("A router that doesn't know the others yet has one repeat, not the whole slack") {
  RepeatBudget budget(kAllowance);
  for (int i = 0; i < 1000; ++i) budget.OnRequest("a");
  CHECK(budget.TryRepeat("a"));
  CHECK(!budget.TryRepeat("a"));
}

TEST_CASE("Available repeats are reduced when the number of routers grows") {
  RepeatBudget budget(kAllowance);
  budget.SetRouters(1);
  for (int i = 0; i < 1000; ++i) budget.OnRequest("a");
  budget.SetRouters(100);
  CHECK(budget.TryRepeat("a"));
  CHECK(!budget.TryRepeat("a"));
}

}  // namespace
}  // namespace kumquat

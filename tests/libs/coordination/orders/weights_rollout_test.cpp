#include "coordination/orders/weights_rollout.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "property.h"

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLoadTime = milliseconds(800);
// No request may begin on weights that were replaced longer ago than this.
constexpr Duration kLongestLag = seconds(10);
// Between these times the number of engines that wait for their update falls linearly from all to
// none.
constexpr Duration kCatchUpStart = seconds(6);
constexpr Duration kCatchUpEnd = seconds(8);
const std::string kModel = "lm";

// An engine that carries out an order if it has accepted as many orders as the order expects.
struct Engine {
  std::string id;
  std::int64_t incarnation = 1;
  std::int64_t version = 1;
  std::int64_t orders = 0;
  bool is_silent = false;
  // How long its running requests go on after an order. It begins none in the meantime.
  Duration runs_end_after{0};
  std::optional<std::pair<std::int64_t, Instant>> load;

  void RunUntil(Instant now) {
    if (!load || now < load->second) return;
    version = load->first;
    load.reset();
  }

  EngineState State() const {
    EngineState state;
    state.weights[kModel] = version;
    state.is_busy = load.has_value();
    state.orders = orders;
    return state;
  }

  OrderOutcome CarryOut(const OrderWeights& order, Instant now) {
    if (load || order.expected_orders != orders) return OrderOutcome::kConflict;
    ++orders;
    load = {order.version, now + runs_end_after + kLoadTime};
    return OrderOutcome::kAccepted;
  }

  void Restart(std::int64_t with_version) {
    ++incarnation;
    version = with_version;
    orders = 0;
    load.reset();
  }
};

// A leader and its engines. An engine is only announced with the version that it had at its start,
// so the roll-out depends on the answers of the engines alone.
class Fleet {
 public:
  explicit Fleet(int engines) : rollout_(WeightsRolloutOptions{}) {
    for (int i = 0; i < engines; ++i) engines_.emplace_back().id = fmt::format("e{}", i);
    for (const Engine& engine : engines_) announced_[engine.id] = engine.version;
  }

  std::vector<RolloutEngine> KnownEngines() const {
    std::vector<RolloutEngine> known;
    for (const Engine& engine : engines_) {
      RolloutEngine entry;
      entry.id = engine.id;
      entry.incarnation = engine.incarnation;
      entry.weights[kModel] = announced_.at(engine.id);
      known.push_back(std::move(entry));
    }
    return known;
  }

  // Advances by 50 ms and performs the actions that are due. Answers for which `is_lost` returns
  // true are lost, but their orders are carried out.
  void Step(const std::function<bool()>& is_lost) {
    now_ += milliseconds(50);
    for (Engine& engine : engines_) engine.RunUntil(now_);
    const Waiting waiting = FindWaiting();
    const std::size_t loading = rollout_.loading().size();
    const std::vector<RolloutAction> actions = rollout_.Advance(KnownEngines(), named_, now_);
    CheckConcurrentUpdates(waiting, loading);
    for (const RolloutAction& action : actions) {
      std::visit([&](const auto& one) { Perform(one, is_lost()); }, action);
    }
    most_loading_ = std::max(most_loading_, rollout_.loading().size());
    for (const Engine& engine : engines_) {
      const auto lag = named_.TimeSinceReplaced(kModel, engine.version, now_);
      if (lag && !engine.load)
        longest_time_since_replaced_ = std::max(longest_time_since_replaced_, *lag);
    }
  }

  void SetRunsEndAfter(Duration time) {
    for (Engine& engine : engines_) engine.runs_end_after = time;
  }

  void Restart(std::size_t engine, std::int64_t version) {
    engines_[engine].Restart(version);
    announced_[engines_[engine].id] = version;
  }

  // Silent engines answer neither state queries nor orders.
  void SetSilent(const std::set<std::string>& ids, bool is_silent) {
    for (const std::string& id : ids) FindEngine(id).is_silent = is_silent;
  }

  void NameVersion(std::int64_t version) { named_.Learn(kModel, version, now_); }
  std::int64_t named() const { return named_.Newest(kModel); }
  std::size_t most_loading() const { return most_loading_; }
  // Returns whether more than a sixth of the engines were updated at the same time while the
  // roll-out was on schedule.
  bool exceeded_limit_on_schedule() const { return exceeded_limit_on_schedule_; }
  // Returns the longest time since the replacement of the weights on which an engine could begin
  // requests.
  Duration longest_time_since_replaced() const { return longest_time_since_replaced_; }
  Instant now() const { return now_; }
  const std::vector<Engine>& engines() const { return engines_; }

  bool AllUpToDate() const {
    return std::all_of(engines_.begin(), engines_.end(),
                       [&](const Engine& engine) { return engine.version >= named(); });
  }

 private:
  // Engines that are not known to have the newest weights and are not being updated.
  struct Waiting {
    std::size_t engines = 0;
    Duration longest_replaced{0};
  };

  Waiting FindWaiting() const {
    Waiting waiting;
    const std::vector<std::string> loading = rollout_.loading();
    for (const Engine& engine : engines_) {
      if (std::find(loading.begin(), loading.end(), engine.id) != loading.end()) continue;
      const std::int64_t seen =
          rollout_.KnownVersion(engine.id, engine.incarnation, kModel).value_or(0);
      const std::int64_t known = std::max(seen, announced_.at(engine.id));
      const auto time_since_replaced = named_.TimeSinceReplaced(kModel, known, now_);
      if (!time_since_replaced) continue;
      ++waiting.engines;
      waiting.longest_replaced = std::max(waiting.longest_replaced, *time_since_replaced);
    }
    return waiting;
  }

  // Checks the number of concurrent updates after the roll-out may have started more. `waiting` and
  // `loading_before` are the state before that.
  void CheckConcurrentUpdates(const Waiting& waiting, std::size_t loading_before) {
    const std::size_t loading = rollout_.loading().size();
    if (loading <= loading_before || loading <= (engines_.size() + 5) / 6) return;
    const double left = static_cast<double>((kCatchUpEnd - waiting.longest_replaced).count()) /
                        static_cast<double>((kCatchUpEnd - kCatchUpStart).count());
    const std::size_t started_before_last = loading - loading_before - 1;
    const auto waiting_at_last = static_cast<double>(waiting.engines - started_before_last);
    // On equality, the test and the roll-out may round differently.
    constexpr double kRounding = 1e-9;
    const bool is_behind =
        waiting_at_last + kRounding > std::min(left, 1.0) * static_cast<double>(engines_.size());
    exceeded_limit_on_schedule_ = exceeded_limit_on_schedule_ || !is_behind;
  }

  Engine& FindEngine(const std::string& id) {
    return *std::find_if(engines_.begin(), engines_.end(),
                         [&](const Engine& engine) { return engine.id == id; });
  }

  void Perform(const EngineStateQuery& look, bool is_lost) {
    const bool is_unanswered = is_lost || FindEngine(look.id).is_silent;
    const auto state = is_unanswered ? std::nullopt : std::optional(FindEngine(look.id).State());
    rollout_.OnEngineState(look.id, look.incarnation, state, now_);
  }

  void Perform(const OrderWeights& order, bool is_lost) {
    if (FindEngine(order.id).is_silent) {
      rollout_.OnOrderOutcome(order.id, order.incarnation, OrderOutcome::kUnknown, now_);
      return;
    }
    const OrderOutcome outcome = FindEngine(order.id).CarryOut(order, now_);
    rollout_.OnOrderOutcome(order.id, order.incarnation, is_lost ? OrderOutcome::kUnknown : outcome,
                            now_);
  }

  WeightsRollout rollout_;
  std::vector<Engine> engines_;
  std::map<std::string, std::int64_t> announced_;
  NamedWeights named_;
  Instant now_ = seconds(100);
  std::size_t most_loading_ = 0;
  bool exceeded_limit_on_schedule_ = false;
  Duration longest_time_since_replaced_{0};
};

bool Never() { return false; }

TEST_CASE(
    "All engines load a newer version, at most a sixth at a time, each after a single order") {
  Fleet fleet(12);
  fleet.NameVersion(2);
  const Instant started_at = fleet.now();
  while (!fleet.AllUpToDate() && fleet.now() < started_at + seconds(30)) fleet.Step(Never);
  CHECK(fleet.AllUpToDate());
  CHECK(fleet.now() - started_at < 6 * (kLoadTime + milliseconds(500)));
  CHECK(fleet.most_loading() <= 2);
  for (const Engine& engine : fleet.engines()) CHECK(engine.orders == 1);
}

// Guards against a failure in which routers moved streams to engines that got an order milliseconds
// later, so that the streams were cut.
TEST_CASE("loading() lists an engine before its order is sent, while its state is queried") {
  WeightsRollout rollout{WeightsRolloutOptions{}};
  std::vector<RolloutEngine> engines(2);
  for (std::size_t i = 0; i < engines.size(); ++i) {
    engines[i].id = fmt::format("e{}", i);
    engines[i].incarnation = 1;
    engines[i].weights[kModel] = 1;
  }
  NamedWeights named;
  REQUIRE(rollout.Advance(engines, named, seconds(99)).empty());
  named.Learn(kModel, 2, seconds(100));
  const auto actions = rollout.Advance(engines, named, seconds(100));
  REQUIRE(actions.size() == 1);
  CHECK(std::holds_alternative<EngineStateQuery>(actions[0]));
  CHECK(rollout.loading() == std::vector<std::string>{"e0"});
  CHECK(rollout.move_targets() == std::vector<std::string>{"e1"});
}

// Guards against runs that a new leader lets routers move to engines under a former leader's order.
TEST_CASE("An engine that was outdated from the beginning is queried before it takes moved runs") {
  WeightsRollout rollout{WeightsRolloutOptions{}};
  std::vector<RolloutEngine> engines(3);
  for (std::size_t i = 0; i < engines.size(); ++i) {
    engines[i].id = fmt::format("e{}", i);
    engines[i].incarnation = 1;
    engines[i].weights[kModel] = 1;
  }
  NamedWeights named;
  named.Learn(kModel, 2, seconds(100));
  CHECK(rollout.Advance(engines, named, seconds(101)).size() == 3);
  CHECK(rollout.move_targets().empty());
  CHECK(rollout.UnorderedUntil("e0") == Instant(0));
  EngineState free;
  free.weights[kModel] = 1;
  EngineState busy = free;
  busy.is_busy = true;
  rollout.OnEngineState("e0", 1, busy, seconds(101));
  rollout.OnEngineState("e1", 1, busy, seconds(101));
  rollout.OnEngineState("e2", 1, free, seconds(101));
  rollout.Advance(engines, named, seconds(101));
  CHECK(rollout.loading() == std::vector<std::string>{"e0", "e1"});
  CHECK(rollout.UnorderedUntil("e0") == Instant(0));
  CHECK(rollout.move_targets() == std::vector<std::string>{"e2"});
}

TEST_CASE("An engine with several outdated models first loads the one that was replaced first") {
  WeightsRollout rollout{WeightsRolloutOptions{}};
  std::vector<RolloutEngine> engines(1);
  engines[0].id = "e0";
  engines[0].incarnation = 1;
  engines[0].weights = {{"a", 1}, {"b", 1}};
  NamedWeights named;
  named.Learn("b", 2, seconds(100));
  named.Learn("a", 2, seconds(108));
  REQUIRE(rollout.Advance(engines, named, seconds(109)).size() == 1);
  EngineState state;
  state.weights = engines[0].weights;
  rollout.OnEngineState("e0", 1, state, seconds(109));
  CHECK(rollout.UnorderedUntil("e0") == seconds(109) + WeightsRolloutOptions{}.notice);
  CHECK(rollout.Advance(engines, named, rollout.UnorderedUntil("e0") - Duration(1)).empty());
  const auto actions = rollout.Advance(engines, named, rollout.UnorderedUntil("e0"));
  REQUIRE(actions.size() == 1);
  const auto* order = std::get_if<OrderWeights>(&actions[0]);
  REQUIRE(order);
  CHECK(order->model == "b");
  const Duration replaced_for = seconds(9) + WeightsRolloutOptions{}.notice;
  CHECK(order->time_since_replaced == replaced_for);
  CHECK(rollout.longest_time_since_replaced() == replaced_for);
  CHECK(rollout.UnorderedUntil("e0") == Instant(0));
}

// Otherwise each engine that does not answer would delay the others by a second or more.
TEST_CASE("Engines that do not answer do not delay the others, and load once they answer") {
  Fleet fleet(12);
  fleet.NameVersion(2);
  fleet.SetSilent({"e0", "e1", "e2"}, true);
  const Instant started_at = fleet.now();
  const auto loaded = [&fleet] {
    return std::count_if(fleet.engines().begin(), fleet.engines().end(),
                         [](const Engine& engine) { return engine.version == 2; });
  };
  while (loaded() < 9 && fleet.now() < started_at + seconds(30)) fleet.Step(Never);
  CHECK(loaded() == 9);
  CHECK(fleet.now() - started_at < 5 * (kLoadTime + milliseconds(500)));
  fleet.SetSilent({"e0", "e1", "e2"}, false);
  while (!fleet.AllUpToDate() && fleet.now() < started_at + seconds(30)) fleet.Step(Never);
  CHECK(fleet.AllUpToDate());
  CHECK(fleet.most_loading() <= 2);
}

TEST_CASE(
    "No engine begins requests on weights replaced over 10 s ago while running requests end "
    "slowly") {
  for (const Duration runs_end_after : {seconds(0), seconds(2), seconds(4), seconds(8)}) {
    CAPTURE(runs_end_after.count());
    Fleet fleet(9);
    fleet.SetRunsEndAfter(runs_end_after);
    fleet.NameVersion(2);
    const Instant started_at = fleet.now();
    while (fleet.now() < started_at + seconds(60)) {
      if (fleet.named() < 3 && fleet.now() - started_at >= milliseconds(6500)) fleet.NameVersion(3);
      if (fleet.named() < 4 && fleet.now() - started_at >= seconds(11)) fleet.NameVersion(4);
      fleet.Step(Never);
    }
    CHECK(fleet.AllUpToDate());
    CHECK(fleet.longest_time_since_replaced() <= kLongestLag);
    CHECK_FALSE(fleet.exceeded_limit_on_schedule());
  }
}

TEST_CASE(
    "No engine begins requests on weights replaced over 10 s ago when versions are named at random "
    "times") {
  CheckProperty("time since weights were replaced", [] {
    Fleet fleet(*rc::gen::inRange(1, 31));
    fleet.SetRunsEndAfter(milliseconds(*rc::gen::inRange(0, 4000)));
    fleet.NameVersion(2);
    const Instant end = fleet.now() + seconds(30);
    while (fleet.now() < end) {
      const Instant next = fleet.now() + milliseconds(*rc::gen::inRange(1000, 9000));
      while (fleet.now() < next) fleet.Step(Never);
      fleet.NameVersion(fleet.named() + 1);
    }
    RC_ASSERT(fleet.longest_time_since_replaced() <= kLongestLag);
    RC_ASSERT_FALSE(fleet.exceeded_limit_on_schedule());
  });
}

// Answers get lost, engines restart with old weights, and newer versions are named during the
// roll-out. In the end all engines must have the newest version. Since its last restart an engine
// may have accepted at most as many orders as versions above 1 were named, and more than a sixth of
// the engines may be updated at the same time only if the roll-out is behind schedule.
TEST_CASE(
    "All engines get the newest version despite lost answers and restarts, within the limit of "
    "concurrent updates and without extra orders") {
  CheckProperty("rollout", [] {
    const int engines = *rc::gen::inRange(1, 20);
    Fleet fleet(engines);
    fleet.NameVersion(2);
    const int steps = *rc::gen::inRange(0, 150);
    const int loss = *rc::gen::inRange(0, 50);
    const auto is_lost = [loss] { return *rc::gen::inRange(0, 100) < loss; };
    for (int step = 0; step < steps; ++step) {
      const int kind = *rc::gen::inRange(0, 60);
      if (kind == 0) fleet.NameVersion(fleet.named() + 1);
      if (kind == 1) {
        fleet.Restart(*rc::gen::inRange<std::size_t>(0, static_cast<std::size_t>(engines)),
                      *rc::gen::inRange<std::int64_t>(1, fleet.named() + 1));
      }
      fleet.Step(is_lost);
    }
    const Instant losses_ended_at = fleet.now();
    while (!fleet.AllUpToDate() && fleet.now() < losses_ended_at + seconds(60)) fleet.Step(Never);
    RC_ASSERT(fleet.AllUpToDate());
    RC_ASSERT_FALSE(fleet.exceeded_limit_on_schedule());
    for (const Engine& engine : fleet.engines()) RC_ASSERT(engine.orders < fleet.named());
  });
}

}  // namespace
}  // namespace kumquat

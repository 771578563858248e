#include "coordination/orders/order_scheduler.h"

#include <deque>
#include <map>

#include "property.h"

namespace kumquat {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(500);
const ModelVersion kModels[] = {{"a", "", "v1"}, {"b", "", "v1"}, {"c", "", "v1"}};

// An engine that carries out orders and may or may not check their fencing numbers.
struct FakeEngine {
  Announcement announcement;
  std::int64_t highest_seen = 0;
  // Fencing number of the order that took effect last.
  std::int64_t in_effect = 0;
};

struct InFlightOrder {
  std::string engine;
  EngineOrder order;
  Instant arrives;
};

// Two engines and two successive leaders. The deposed leader may go on sending orders until its
// lease ends.
class Cluster {
 public:
  Cluster() {
    for (const bool checks : {true, false}) {
      FakeEngine engine;
      engine.announcement.backend_id = checks ? "checks" : "ignores";
      engine.announcement.checks_fencing = checks;
      engine.announcement.models = {kModels[0]};
      engines_[engine.announcement.backend_id] = engine;
    }
  }

  void ElectLeader(std::int64_t term) {
    deposed_ = std::move(leader_);
    deposed_until_ = now_ + options_.leader_lease;
    leader_ = std::make_unique<OrderScheduler>(
        options_, [this](const Announcement& engine, const EngineOrder& order) {
          const auto steps = options_.max_message_lifetime / kStep;
          const Instant arrives = now_ + kStep * *rc::gen::inRange<std::int64_t>(0, steps);
          in_flight_.push_back({engine.backend_id, order, arrives});
        });
    leader_->BeginTerm(term, now_);
  }

  void Step(const WantedPlacement& leader_target, const WantedPlacement& deposed_target) {
    now_ += kStep;
    Deliver();
    for (auto& [id, engine] : engines_) {
      ++engine.announcement.sequence;
      leader_->OnAnnouncement(engine.announcement, now_);
      if (deposed_) deposed_->OnAnnouncement(engine.announcement, now_);
    }
    leader_->Tick(leader_target, now_);
    RC_ASSERT(leader_->loading(now_) <= options_.loads_at_once);
    if (deposed_ && now_ < deposed_until_) deposed_->Tick(deposed_target, now_);
  }

  const std::map<std::string, FakeEngine>& engines() const { return engines_; }

 private:
  void Deliver() {
    for (auto entry = in_flight_.begin(); entry != in_flight_.end();) {
      if (entry->arrives > now_) {
        ++entry;
        continue;
      }
      FakeEngine& engine = engines_.at(entry->engine);
      const std::int64_t number = entry->order.fencing_number;
      const bool is_refused = engine.announcement.checks_fencing && number < engine.highest_seen;
      if (!is_refused) {
        RC_ASSERT(number >= engine.in_effect);
        engine.in_effect = number;
        engine.highest_seen = std::max(engine.highest_seen, number);
        engine.announcement.models = entry->order.models;
      }
      entry = in_flight_.erase(entry);
    }
  }

  OrderSchedulerOptions options_{.loads_at_once = 1};
  Instant now_ = std::chrono::hours(1);
  std::map<std::string, FakeEngine> engines_;
  std::unique_ptr<OrderScheduler> leader_;
  std::unique_ptr<OrderScheduler> deposed_;
  Instant deposed_until_{0};
  std::deque<InFlightOrder> in_flight_;
};

WantedPlacement GenTarget() {
  const ModelVersion model = kModels[*rc::gen::inRange(0, 3)];
  return {{"checks", {model}}, {"ignores", {model}}};
}

TEST_CASE(
    "When leaders change, no order takes effect after one with a higher fencing number, and "
    "engines reach the placement of the last leader") {
  CheckProperty("orders under fencing numbers", [] {
    Cluster cluster;
    const auto terms = *rc::gen::inRange(1, 5);
    WantedPlacement target = GenTarget();
    for (int term = 1; term <= terms; ++term) {
      const WantedPlacement old_target = target;
      target = GenTarget();
      cluster.ElectLeader(term);
      const int steps = *rc::gen::inRange(0, 40);
      for (int step = 0; step < steps; ++step) cluster.Step(target, old_target);
    }
    for (int step = 0; step < 80; ++step) cluster.Step(target, target);
    for (const auto& [id, engine] : cluster.engines()) {
      RC_ASSERT(engine.announcement.models == target.at(id));
    }
  });
}

}  // namespace
}  // namespace kumquat

// Schedules the loading of new weights on engines after operators have named a newer version.
//
// Requests on replaced weights lose value within seconds, so engines load new weights as soon as
// possible. Only a fraction of them loads at a time, because the others have to carry the load in
// the meantime and concurrent loads slow each other down. An engine finishes its running requests
// before it loads, so that no stream mixes two versions. How long that takes depends on the load,
// but no request may begin on weights that were replaced too long ago. Therefore more engines may
// load at a time when the roll-out falls behind its schedule.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "coordination/orders/named_weights.h"
#include "utils/endpoint.h"
#include "utils/hooks.h"

namespace kumquat {

// An engine as control knows it from its announcements.
struct RolloutEngine {
  std::string id;
  std::int64_t incarnation = 0;
  Endpoint endpoint;
  // Version of the weights, by model.
  std::map<std::string, std::int64_t> weights;
};

// The state that an engine reports when it is queried.
struct EngineState {
  std::map<std::string, std::int64_t> weights;
  // Whether the engine is carrying out an order.
  bool is_busy = false;
  // Number of orders that the engine has accepted since its start.
  std::int64_t orders = 0;
  // Number of running and of waiting requests.
  std::int64_t running = 0;
  std::int64_t queued = 0;
  // Fraction of its memory, from 0 to 1, that running requests hold.
  double memory_held = 0;
};

// The answer of an engine to an order.
enum class OrderOutcome {
  // The engine carries out the order.
  kAccepted,
  // The engine already has the ordered weights.
  kAlreadyLoaded,
  // Another order is in progress, or was accepted since the state on which this order is based.
  kConflict,
  // The engine has an order with a higher fencing number.
  kFenced,
  kRefused,
  // No answer. The order may still be carried out, even much later.
  kUnknown,
};

struct WeightsRolloutOptions {
  // Fraction of the engines that load, or finish their running requests before loading, at the same
  // time. Three of eighteen engines load together at full speed. A larger fraction fills up the
  // memory of the other engines on days with heavy load, and a smaller one lets more requests run
  // on replaced weights (docs/MEASUREMENTS.md).
  double max_updating_fraction = 1.0 / 6;
  // No request may begin on weights that were replaced longer ago than this.
  Duration longest_lag = std::chrono::seconds(10);
  // The schedule, as fractions of `longest_lag`: the number of engines that have not started their
  // update must fall linearly from all engines at `catch_up_start` to none at `catch_up_end`. The
  // rest of the time is a reserve for orders that get no answer, each of which takes more than a
  // second.
  double catch_up_start = 0.6;
  double catch_up_end = 0.8;
  // Routers learn that an engine is to load at least this long before its order, so that they can
  // move its runs away while it still takes them back.
  Duration notice = std::chrono::milliseconds(350);
  // Engines that load last take the moved runs: this fraction of those that wait for their turn.
  double move_target_fraction = 2.0 / 3;
  std::size_t max_move_targets = 64;
  // Orders of a former leader take effect within this time. Until then an engine that was outdated
  // since the roll-out knows it may be under such an order, and is queried before its turn.
  Duration former_orders_end = std::chrono::seconds(15);
  // Delay of the first state query after an order. A load takes about 0.8 s, so an earlier query
  // would see no change.
  Duration first_poll_delay = std::chrono::milliseconds(850);
  Duration poll_interval = std::chrono::milliseconds(200);
  // Delay before an engine that was unreachable or refused an order is tried again.
  Duration retry_interval = std::chrono::milliseconds(700);
  // An accepted order that has had no effect after this time is sent again.
  Duration load_timeout = std::chrono::seconds(15);
};

// Queries the state of an engine.
struct EngineStateQuery {
  std::string id;
  std::int64_t incarnation = 0;
  Endpoint endpoint;
};

// Orders an engine to load weights. The engine carries the order out only if it has accepted
// exactly `expected_orders` orders so far.
struct OrderWeights {
  std::string id;
  std::int64_t incarnation = 0;
  Endpoint endpoint;
  std::string model;
  std::int64_t version = 0;
  std::int64_t expected_orders = 0;
  // The version that the engine has, and the time since it was replaced.
  std::int64_t replaced_version = 0;
  Duration time_since_replaced{0};
};

using RolloutAction = std::variant<EngineStateQuery, OrderWeights>;

// The roll-out of one leader; it lives for one term.
class WeightsRollout {
 public:
  explicit WeightsRollout(const WeightsRolloutOptions& options) : options_(options) {}

  // Advances the roll-out on the engines that may get orders, to the named versions. Returns the
  // actions to perform now. The outcome of each must be reported with OnEngineState() or
  // OnOrderOutcome().
  std::vector<RolloutAction> Advance(std::span<const RolloutEngine> engines,
                                     const NamedWeights& named, Instant now);

  // Reports the outcome of a state query; `state` is empty when the engine did not answer.
  void OnEngineState(const std::string& id, std::int64_t incarnation,
                     const std::optional<EngineState>& state, Instant now);

  void OnOrderOutcome(const std::string& id, std::int64_t incarnation, OrderOutcome outcome,
                      Instant now);

  // Returns the reachable engines whose update has begun, from the state query before the order on.
  // Routers should send them no new requests. They have to know them before the order is sent,
  // because an engine refuses the requests that are moved to it once it has the order.
  std::vector<std::string> loading() const;

  // Returns until when an engine that is loading() surely gets no order; 0 if it may have one.
  Instant UnorderedUntil(const std::string& id) const;

  // Returns until when all engines that aren't loading() surely get no order, counted from the last
  // Advance().
  Instant OthersUnorderedUntil() const { return advanced_at_ + options_.notice; }

  // Returns the engines, by id, that runs are best moved to: those that load last and are under no
  // order.
  const std::vector<std::string>& move_targets() const { return move_targets_; }

  // Returns the number of engines that need a newer version, including those that are loading it.
  std::size_t outdated() const { return outdated_; }

  // Returns the longest time since the weights of an engine were replaced; 0 when no engine is
  // outdated.
  Duration longest_time_since_replaced() const { return longest_time_since_replaced_; }

  // Returns the version of the model that the engine reported last, or nothing when this
  // incarnation of the engine has not answered a state query.
  std::optional<std::int64_t> KnownVersion(const std::string& id, std::int64_t incarnation,
                                           const std::string& model) const;

 private:
  enum class Phase {
    kIdle,
    // Its state is queried before the order.
    kQuerying,
    // It is ready for the order, which is sent once routers have had notice, or the order is in
    // flight.
    kOrdering,
    // The order was accepted but has had no effect yet, or another order is in progress.
    kLoading,
  };

  // A newer version that an engine should load.
  struct PendingUpdate {
    std::string model;
    std::int64_t version = 0;
    // The version that the engine has, as far as is known, and the time since it was replaced.
    std::int64_t current_version = 0;
    Duration time_since_replaced{0};
  };

  struct Progress {
    std::int64_t incarnation = 0;
    Phase phase = Phase::kIdle;
    bool awaits_answer = false;
    // The last state query got no answer. Meanwhile the engine does not count towards the limit of
    // concurrent updates.
    bool is_unreachable = false;

    Instant next_at{0};
    // Since when routers are told that it is loading.
    Instant announced_at{0};
    Instant known_since{0};
    // It needed no update at some time since then.
    bool was_up_to_date = false;
    // An order was sent, and the engine doesn't have its weights yet.
    bool may_have_order = false;
    Instant ordered_at{0};
    // The update that was ordered last.
    PendingUpdate ordered;
    std::optional<EngineState> state;
  };

  // Returns the update of the model whose weights were replaced first, or nothing when all are up
  // to date.
  static std::optional<PendingUpdate> FindPendingUpdate(const RolloutEngine& engine,
                                                        const Progress& progress,
                                                        const NamedWeights& named, Instant now);
  // Returns how many of `engines` engines may be updated at the same time while the roll-out is on
  // schedule.
  std::size_t MaxConcurrentUpdates(std::size_t engines) const;
  // Returns how many of the engines are not known to be unreachable.
  std::size_t CountReachable(std::span<const RolloutEngine> engines) const;
  // Returns how many reachable engines are being updated.
  std::size_t CountActive() const;
  // Returns whether the engine is surely under no order.
  bool IsFree(const Progress& progress, Instant now) const;
  // Returns whether more engines wait for their update than the schedule allows,
  // `time_since_replaced` after the oldest weights among them were replaced.
  bool IsBehindSchedule(std::size_t waiting, std::size_t engines,
                        Duration time_since_replaced) const;
  void StartUpdates(std::span<const RolloutEngine> engines, const NamedWeights& named, Instant now);
  std::optional<RolloutAction> Step(const RolloutEngine& engine, Progress* progress,
                                    const NamedWeights& named, Instant now);
  static void EndOrder(Progress* progress);
  Progress* Find(const std::string& id, std::int64_t incarnation);

  WeightsRolloutOptions options_;
  Instant advanced_at_{0};
  std::map<std::string, Progress> progress_;
  std::vector<std::string> move_targets_;
  std::size_t outdated_ = 0;
  Duration longest_time_since_replaced_{0};
};

}  // namespace kumquat

// Decides which engines load new weights when, after operators named a newer version.
//
// Requests on replaced weights lose worth within seconds, so engines load as soon as they can. Only
// a part of them loads at a time: the others carry the load meanwhile, and loads slow each other
// down. Engines finish what they run first, so that no stream mixes two versions. How long that
// takes depends on the load, while no request may begin on weights past a longest lag; so more
// engines at a time have a turn where the roll-out would else fall behind.
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

// An engine as control knows it from what it announced.
struct RolloutEngine {
  std::string id;
  std::int64_t incarnation = 0;
  Endpoint endpoint;
  // Version of the weights by model.
  std::map<std::string, std::int64_t> weights;
};

// What an engine reports when it is asked.
struct EngineState {
  std::map<std::string, std::int64_t> weights;
  // An order is being carried out.
  bool is_busy = false;
  // Orders that it has accepted since its start.
  std::int64_t orders = 0;
  // Requests that run and that wait.
  std::int64_t running = 0;
  std::int64_t queued = 0;
  // The part of its memory, from 0 to 1, that running requests hold.
  double memory_held = 0;
};

// What an engine answers to an order.
enum class OrderOutcome {
  // It is being carried out.
  kAccepted,
  // The engine is as ordered already.
  kHolds,
  // Another order is in progress, or was accepted since the state that this one expects.
  kConflict,
  // A holder with a higher fencing number has ordered.
  kFenced,
  kRefused,
  // No answer; it may be carried out, also much later.
  kUnknown,
};

struct WeightsRolloutOptions {
  // The part of the engines that waits for its runs to end or loads at a time. Three of eighteen
  // load at full speed together. More at a time crowd the others' memory on heavy days, and fewer
  // leave more requests to replaced weights (docs/MEASUREMENTS.md).
  double at_once = 1.0 / 6;
  // No request may begin on weights that have been replaced for longer.
  Duration longest_lag = std::chrono::seconds(10);
  // The parts of the longest lag from which on the engines that wait for their turn have to become
  // fewer, and within which the turn of every engine begins. The rest is for orders that get no
  // answer, of which each takes more than a second.
  double hurry_from = 0.6;
  double begin_within = 0.8;
  // A load takes some 0.8 s, so that nothing is to be seen before.
  Duration first_look = std::chrono::milliseconds(850);
  Duration look_interval = std::chrono::milliseconds(200);
  // Before an engine that can't be reached or refuses is tried again.
  Duration retry_interval = std::chrono::milliseconds(700);
  // An order that was accepted and shows no effect after this is given again.
  Duration longest_load = std::chrono::seconds(15);
};

// Asks an engine for its state.
struct LookAtEngine {
  std::string id;
  std::int64_t incarnation = 0;
  Endpoint endpoint;
};

// Orders an engine to load weights, if it has accepted just so many orders by then.
struct OrderWeights {
  std::string id;
  std::int64_t incarnation = 0;
  Endpoint endpoint;
  std::string model;
  std::int64_t version = 0;
  std::int64_t expected_orders = 0;
  // What it has, and for how long that has been replaced.
  std::int64_t replaced_version = 0;
  Duration replaced_for{0};
};

using RolloutAction = std::variant<LookAtEngine, OrderWeights>;

// Lives as long as one leader's term.
class WeightsRollout {
 public:
  explicit WeightsRollout(const WeightsRolloutOptions& options) : options_(options) {}

  // Takes the engines that may be ordered, and the named versions of each model. Returns what to do
  // now; each look and order has to be followed by its outcome.
  std::vector<RolloutAction> Advance(std::span<const RolloutEngine> engines,
                                     const NamedWeights& named, Instant now);

  // The engine answered a look, or didn't.
  void OnLook(const std::string& id, std::int64_t incarnation,
              const std::optional<EngineState>& state, Instant now);

  void OnOrder(const std::string& id, std::int64_t incarnation, OrderOutcome outcome, Instant now);

  // Returns the engines that take no new requests, as they load or are ordered to as soon as they
  // have been looked at. Routers have to know that soon: what they move to such an engine is
  // refused.
  std::vector<std::string> loading() const;

  // Returns how many engines need a newer version, including those that load it.
  std::size_t outdated() const { return outdated_; }

  // Returns for how long the oldest weights of an engine have been replaced.
  Duration longest_replaced() const { return longest_replaced_; }

  // Returns the newest known version of the model on the engine; nothing when it is not known
  // better than from its announcements.
  std::optional<std::int64_t> KnownVersion(const std::string& id, std::int64_t incarnation,
                                           const std::string& model) const;

 private:
  enum class Phase {
    kIdle,
    // Its state is asked for before the order.
    kLooking,
    // The order is out.
    kOrdering,
    // The order was accepted; its effect is awaited.
    kLoading,
  };

  // A model that the engine should load.
  struct Need {
    std::string model;
    std::int64_t version = 0;
    // What it has, as far as is known, and for how long that has been replaced.
    std::int64_t has = 0;
    Duration replaced_for{0};
  };

  struct Progress {
    std::int64_t incarnation = 0;
    Phase phase = Phase::kIdle;
    bool awaits_answer = false;
    // The last look got no answer; it takes nobody's turn meanwhile.
    bool is_unreachable = false;

    Instant next_at{0};
    Instant ordered_at{0};
    // What the last order was for.
    Need ordered;
    std::optional<EngineState> state;
  };

  static std::optional<Need> NeedOf(const RolloutEngine& engine, const Progress& progress,
                                    const NamedWeights& named, Instant now);
  // Returns how many of so many engines may wait for their runs or load on a roll-out in time.
  std::size_t MostAtOnce(std::size_t engines) const;
  // Returns how many of the engines answer.
  std::size_t Reachable(std::span<const RolloutEngine> engines) const;
  // Returns how many do.
  std::size_t Busy() const;
  // Returns whether too many of the engines wait for their turn, where the oldest weights have been
  // replaced for so long.
  bool IsBehind(std::size_t waiting, std::size_t engines, Duration replaced_for) const;
  void Begin(std::span<const RolloutEngine> engines, const NamedWeights& named, Instant now);
  std::optional<RolloutAction> Step(const RolloutEngine& engine, Progress* progress,
                                    const NamedWeights& named, Instant now);
  Progress* Find(const std::string& id, std::int64_t incarnation);

  WeightsRolloutOptions options_;
  std::map<std::string, Progress> progress_;
  std::size_t outdated_ = 0;
  Duration longest_replaced_{0};
};

}  // namespace kumquat

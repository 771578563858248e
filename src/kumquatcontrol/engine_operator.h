// Carries out the roll-out of weights while this replica leads.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/orders/named_weights.h"
#include "coordination/orders/weights_rollout.h"
#include "engine_codec.h"
#include "protocol/control_news.h"
#include "transport/backend_client.h"
#include "utils/histogram.h"
#include "utils/hooks.h"

namespace kumquat {

struct EngineOperatorOptions {
  // This replica's name, under which it orders.
  std::string holder;
  // No two replicas may order within this time of each other.
  Duration lease = std::chrono::seconds(3);
  // Engines refuse orders under an older fencing number than they have seen. Then there is no need
  // to wait for a lease whose holder is dead, frozen or cut off.
  bool engines_check_fences = false;
  WeightsRolloutOptions rollout;
};

struct EngineOperatorHooks {
  Clock clock;
  // Returns the term that this replica leads in; nothing when it doesn't.
  std::function<std::optional<std::int64_t>()> term;
  // Tells, after a round of a majority, whether this replica leads still.
  std::function<void(std::function<void(bool confirmed)> done)> confirm;
  std::function<std::vector<RolloutEngine>()> engines;
  // The weights that operators have named; outlives the operator.
  const NamedWeights* named = nullptr;
  // Returns whether the replica that led in the term before this one is known and hasn't been
  // heard since.
  std::function<bool()> former_leader_is_silent;
  // Tells routers what became of engines.
  std::function<void(const EngineNews& news)> publish;
  // Outlives the operator.
  Metrics* metrics = nullptr;
};

class EngineOperator {
 public:
  EngineOperator(EngineOperatorOptions options, EngineOperatorHooks hooks, EngineCodec codec,
                 BackendClient* client);

  // Does what is due; called every few 10 ms.
  void Tick();

  // Tells the metrics what the roll-out waits for; nothing where another replica leads.
  void Measure();

 private:
  void BeginTerm(std::int64_t term);
  void EndTerm();
  bool HasWaited(Instant now) const;
  bool MayOrder(Instant now) const;
  void ConfirmWhenDue(Instant now);
  void Perform(const EngineStateQuery& look);
  void Perform(const OrderWeights& order);
  // Makes a call whose whole answer, or its lack, goes to `done`.
  void Call(BackendCallRequest request,
            std::function<void(int status, std::string_view body)> done);
  // Returns what routers should know of engines that load, did so lately or have old weights.
  EngineNews MakeNews(Instant now) const;
  void Publish(Instant now);

  EngineOperatorOptions options_;
  EngineOperatorHooks hooks_;
  EngineCodec codec_;
  BackendClient* client_;
  std::optional<std::int64_t> term_;
  std::optional<WeightsRollout> rollout_;
  Instant term_began_at_{0};
  // When the last confirmed round began.
  Instant confirmed_at_{0};
  bool is_confirming_ = false;
  std::map<std::int64_t, std::unique_ptr<BackendCall>> calls_;
  std::int64_t last_call_ = 0;
  EngineNews published_;
  Instant published_at_{0};
};

}  // namespace kumquat

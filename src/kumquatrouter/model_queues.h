// The requests that wait for a place on an engine, one queue for each version of a model.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "coordination/admission/fair_queue.h"
#include "protocol/error_kind.h"
#include "protocol/lists.h"
#include "utils/hooks.h"

namespace kumquat {

class ModelQueues {
 public:
  // Says whether an engine with the model has a free place.
  using HasRoom = std::function<bool(const ModelVersion& model)>;

  ModelQueues(FairQueueOptions options, HasRoom has_room, Clock clock);

  // What a waiting request learns: its turn has come, or it can't start in time.
  struct Hooks {
    std::function<void()> on_turn;
    std::function<void(const Error& refusal)> on_refused;
  };

  // Lets the request start at once, lets it wait, or refuses it. A hook runs exactly once, perhaps
  // before this returns, unless Remove() comes first. Returns the id for Remove().
  std::uint64_t Enter(const ModelVersion& model, QueuedRequest request, Hooks hooks);

  // The caller of the request is gone.
  void Remove(const ModelVersion& model, std::uint64_t id);

  // Starts what can start, refuses what can't start in time; called when a place came free.
  void Drain();

  std::size_t waiting() const { return hooks_.size(); }

 private:
  void DrainQueue(const ModelVersion& model, FairQueue* queue);
  std::optional<Hooks> TakeHooks(std::uint64_t id);

  FairQueueOptions options_;
  HasRoom has_room_;
  Clock clock_;
  std::map<ModelVersion, FairQueue> queues_;
  std::map<std::uint64_t, Hooks> hooks_;
  std::uint64_t last_id_ = 0;
};

}  // namespace kumquat

#include "model_queues.h"

#include <utility>

namespace kumquat {
namespace {

Error Overloaded(Duration retry_after) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after);
  return {ErrorKind::kOverloaded, "", std::max(seconds, std::chrono::seconds(1))};
}

}  // namespace

ModelQueues::ModelQueues(FairQueueOptions options, HasRoom has_room, Clock clock)
    : options_(options), has_room_(std::move(has_room)), clock_(std::move(clock)) {}

std::uint64_t ModelQueues::Enter(const ModelVersion& model, QueuedRequest request, Hooks hooks) {
  request.id = ++last_id_;
  FairQueue& queue = queues_.try_emplace(model, options_).first->second;
  if (queue.size() == 0 && has_room_(model)) {
    hooks.on_turn();
    return request.id;
  }
  const PushResult answer = queue.Push(request, clock_());
  if (!answer.accepted) {
    hooks.on_refused(Overloaded(answer.retry_after));
    return request.id;
  }
  hooks_[request.id] = std::move(hooks);
  return request.id;
}

void ModelQueues::Remove(const ModelVersion& model, std::uint64_t id) {
  hooks_.erase(id);
  const auto queue = queues_.find(model);
  if (queue != queues_.end()) queue->second.Remove(id);
}

void ModelQueues::Drain() {
  for (auto& [model, queue] : queues_) DrainQueue(model, &queue);
}

void ModelQueues::DrainQueue(const ModelVersion& model, FairQueue* queue) {
  while (queue->size() > 0 && has_room_(model)) {
    const auto next = queue->Pop(clock_());
    if (!next) break;
    if (const auto hooks = TakeHooks(next->id)) hooks->on_turn();
  }
  const auto retry_after = std::chrono::seconds(1);
  for (const std::uint64_t id : queue->TakeExpired(clock_())) {
    if (const auto hooks = TakeHooks(id)) hooks->on_refused(Overloaded(retry_after));
  }
}

std::optional<ModelQueues::Hooks> ModelQueues::TakeHooks(std::uint64_t id) {
  const auto entry = hooks_.find(id);
  if (entry == hooks_.end()) return std::nullopt;
  Hooks hooks = std::move(entry->second);
  hooks_.erase(entry);
  return hooks;
}

}  // namespace kumquat

#include "coordination/orders/weights_rollout.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "utils/durations.h"

namespace kumquat {
namespace {

std::int64_t VersionIn(const std::map<std::string, std::int64_t>& weights,
                       const std::string& model) {
  const auto found = weights.find(model);
  return found != weights.end() ? found->second : 0;
}

}  // namespace

WeightsRollout::Progress* WeightsRollout::Find(const std::string& id, std::int64_t incarnation) {
  const auto found = progress_.find(id);
  const bool is_same = found != progress_.end() && found->second.incarnation == incarnation;
  return is_same ? &found->second : nullptr;
}

// Takes the higher of the announced and the last reported version, as the report of the same
// incarnation may be newer than the announcement.
std::optional<WeightsRollout::PendingUpdate> WeightsRollout::FindPendingUpdate(
    const RolloutEngine& engine, const Progress& progress, const NamedWeights& named, Instant now) {
  std::optional<PendingUpdate> update;
  for (const auto& [model, announced] : engine.weights) {
    const std::int64_t reported = progress.state ? VersionIn(progress.state->weights, model) : 0;
    const std::int64_t current_version = std::max(announced, reported);
    const auto time_since_replaced = named.TimeSinceReplaced(model, current_version, now);
    if (!time_since_replaced || (update && *time_since_replaced <= update->time_since_replaced))
      continue;
    update = PendingUpdate{model, named.Newest(model), current_version, *time_since_replaced};
  }
  return update;
}

std::vector<RolloutAction> WeightsRollout::Advance(std::span<const RolloutEngine> engines,
                                                   const NamedWeights& named, Instant now) {
  advanced_at_ = now;
  for (const RolloutEngine& engine : engines) {
    Progress& progress = progress_[engine.id];
    if (progress.incarnation == engine.incarnation) continue;
    progress = {};
    progress.incarnation = engine.incarnation;
    progress.known_since = now;
  }
  std::erase_if(progress_, [&](const auto& entry) {
    return std::none_of(engines.begin(), engines.end(),
                        [&](const RolloutEngine& engine) { return engine.id == entry.first; });
  });
  StartUpdates(engines, named, now);
  std::vector<RolloutAction> actions;
  for (const RolloutEngine& engine : engines) {
    Progress& progress = progress_.at(engine.id);
    if (progress.awaits_answer || now < progress.next_at) continue;
    if (auto action = Step(engine, &progress, named, now)) actions.push_back(std::move(*action));
  }
  return actions;
}

std::size_t WeightsRollout::CountActive() const {
  return static_cast<std::size_t>(
      std::count_if(progress_.begin(), progress_.end(), [](const auto& entry) {
        return entry.second.phase != Phase::kIdle && !entry.second.is_unreachable;
      }));
}

std::size_t WeightsRollout::CountReachable(std::span<const RolloutEngine> engines) const {
  return static_cast<std::size_t>(std::count_if(
      engines.begin(), engines.end(),
      [this](const RolloutEngine& engine) { return !progress_.at(engine.id).is_unreachable; }));
}

std::size_t WeightsRollout::MaxConcurrentUpdates(std::size_t engines) const {
  const double max_active =
      std::ceil(options_.max_updating_fraction * static_cast<double>(engines));
  return std::max<std::size_t>(1, static_cast<std::size_t>(max_active));
}

// On schedule, the number of waiting engines falls linearly from all engines to none.
bool WeightsRollout::IsBehindSchedule(std::size_t waiting, std::size_t engines,
                                      Duration time_since_replaced) const {
  const double lag = Seconds(time_since_replaced) / Seconds(options_.longest_lag);
  const double left =
      (options_.catch_up_end - lag) / (options_.catch_up_end - options_.catch_up_start);
  return static_cast<double>(waiting) > std::min(left, 1.0) * static_cast<double>(engines);
}

// Starts the updates of idle engines, those whose weights were replaced first before the others.
void WeightsRollout::StartUpdates(std::span<const RolloutEngine> engines, const NamedWeights& named,
                                  Instant now) {
  outdated_ = 0;
  longest_time_since_replaced_ = Duration(0);
  const std::size_t reachable = CountReachable(engines);
  const std::size_t max_active = MaxConcurrentUpdates(reachable);
  std::size_t busy = CountActive();
  struct Waiting {
    Duration time_since_replaced;
    const std::string* id;
    Progress* progress;
  };
  std::vector<Waiting> waiting;
  for (const RolloutEngine& engine : engines) {
    Progress& progress = progress_.at(engine.id);
    const auto update = FindPendingUpdate(engine, progress, named, now);
    if (!update) {
      progress.was_up_to_date = true;
      continue;
    }
    ++outdated_;
    longest_time_since_replaced_ =
        std::max(longest_time_since_replaced_, update->time_since_replaced);
    const bool can_start = progress.phase == Phase::kIdle && now >= progress.next_at;
    if (can_start && progress.is_unreachable) {
      // Unreachable engines are queried without counting towards the limit.
      progress.phase = Phase::kQuerying;
    } else if (can_start) {
      waiting.push_back({update->time_since_replaced, &engine.id, &progress});
    }
  }
  std::stable_sort(waiting.begin(), waiting.end(), [](const Waiting& left, const Waiting& right) {
    return left.time_since_replaced > right.time_since_replaced;
  });
  std::size_t left = waiting.size();
  for (const auto& [time_since_replaced, id, progress] : waiting) {
    if (busy >= max_active && !IsBehindSchedule(left, reachable, time_since_replaced)) break;
    progress->phase = Phase::kQuerying;
    progress->announced_at = now;
    ++busy;
    --left;
  }
  const auto targets = std::min<std::size_t>(
      options_.max_move_targets, static_cast<std::size_t>(std::ceil(options_.move_target_fraction *
                                                                    static_cast<double>(left))));
  move_targets_.clear();
  for (auto last = waiting.rbegin(); move_targets_.size() < targets; ++last) {
    if (last == waiting.rend() || last->progress->phase != Phase::kIdle) break;
    if (IsFree(*last->progress, now)) move_targets_.push_back(*last->id);
  }
}

// An engine that was outdated when this leader got to know it may carry out a former order.
bool WeightsRollout::IsFree(const Progress& progress, Instant now) const {
  if (progress.may_have_order) return false;
  if (progress.state) return !progress.state->is_busy;
  return progress.was_up_to_date || now >= progress.known_since + options_.former_orders_end;
}

std::optional<RolloutAction> WeightsRollout::Step(const RolloutEngine& engine, Progress* progress,
                                                  const NamedWeights& named, Instant now) {
  const auto update = FindPendingUpdate(engine, *progress, named, now);
  if (progress->phase == Phase::kIdle) {
    const bool may_have_former_order = update && !progress->state && !IsFree(*progress, now);
    if (!may_have_former_order || progress->is_unreachable) return std::nullopt;
    progress->awaits_answer = true;
    return EngineStateQuery{engine.id, engine.incarnation, engine.endpoint};
  }
  if (!update) {
    progress->phase = Phase::kIdle;
    const PendingUpdate& ordered = progress->ordered;
    if (VersionIn(engine.weights, ordered.model) >= ordered.version) EndOrder(progress);
    return std::nullopt;
  }
  const bool is_free = progress->state && !progress->state->is_busy;
  if (progress->phase == Phase::kOrdering && is_free) {
    if (now < progress->announced_at + options_.notice) return std::nullopt;
    progress->awaits_answer = true;
    progress->may_have_order = true;
    progress->ordered_at = now;
    progress->ordered = *update;
    return OrderWeights{engine.id,
                        engine.incarnation,
                        engine.endpoint,
                        update->model,
                        update->version,
                        progress->state->orders,
                        update->current_version,
                        update->time_since_replaced};
  }
  progress->awaits_answer = true;
  return EngineStateQuery{engine.id, engine.incarnation, engine.endpoint};
}

// The engine has the weights that it was ordered to load last.
void WeightsRollout::EndOrder(Progress* progress) {
  progress->may_have_order = false;
  if (progress->state) progress->state->is_busy = false;
}

void WeightsRollout::OnEngineState(const std::string& id, std::int64_t incarnation,
                                   const std::optional<EngineState>& state, Instant now) {
  Progress* progress = Find(id, incarnation);
  if (!progress) return;
  progress->awaits_answer = false;
  const bool was_unreachable = std::exchange(progress->is_unreachable, !state.has_value());
  if (!state) {
    progress->phase = Phase::kIdle;
    progress->next_at = now + options_.retry_interval;
    return;
  }
  progress->state = state;
  if (progress->phase == Phase::kIdle && !state->is_busy) return;
  if (was_unreachable && !state->is_busy) {
    // It was queried outside the limit, so its update has to wait for its turn.
    progress->phase = Phase::kIdle;
    return;
  }
  const bool is_loading = progress->phase == Phase::kLoading;
  const bool has_loaded =
      VersionIn(state->weights, progress->ordered.model) >= progress->ordered.version;
  if (is_loading && has_loaded) {
    // If a newer version was named meanwhile, the engine goes back to the waiting ones, where
    // engines with older weights come first.
    progress->phase = Phase::kIdle;
    EndOrder(progress);
    return;
  }
  const bool is_overdue = now > progress->ordered_at + options_.load_timeout;
  const bool may_order = !state->is_busy && (!is_loading || is_overdue);
  // A busy engine carries out an order of this leader or of an earlier one.
  progress->phase = may_order ? Phase::kOrdering : Phase::kLoading;
  progress->next_at = may_order ? now : now + options_.poll_interval;
}

void WeightsRollout::OnOrderOutcome(const std::string& id, std::int64_t incarnation,
                                    OrderOutcome outcome, Instant now) {
  Progress* progress = Find(id, incarnation);
  if (!progress) return;
  progress->awaits_answer = false;
  if (outcome == OrderOutcome::kAccepted) {
    progress->phase = Phase::kLoading;
    progress->next_at = now + options_.first_poll_delay;
    if (progress->state) ++progress->state->orders;
    return;
  }
  const bool is_rejected = outcome == OrderOutcome::kFenced || outcome == OrderOutcome::kRefused;
  progress->phase = is_rejected ? Phase::kIdle : Phase::kQuerying;
  progress->next_at = now + (is_rejected ? options_.retry_interval : options_.poll_interval);
}

std::vector<std::string> WeightsRollout::loading() const {
  std::vector<std::string> ids;
  for (const auto& [id, progress] : progress_) {
    const bool is_active = progress.phase != Phase::kIdle && !progress.is_unreachable;
    if (is_active) ids.push_back(id);
  }
  return ids;
}

Instant WeightsRollout::UnorderedUntil(const std::string& id) const {
  const auto found = progress_.find(id);
  const bool is_free = found != progress_.end() && IsFree(found->second, advanced_at_);
  return is_free ? found->second.announced_at + options_.notice : Instant(0);
}

std::optional<std::int64_t> WeightsRollout::KnownVersion(const std::string& id,
                                                         std::int64_t incarnation,
                                                         const std::string& model) const {
  const auto found = progress_.find(id);
  const bool is_known =
      found != progress_.end() && found->second.incarnation == incarnation && found->second.state;
  if (!is_known) return std::nullopt;
  return VersionIn(found->second.state->weights, model);
}

}  // namespace kumquat

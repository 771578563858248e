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

// What the engine answered last is newer than what it announced, while it is the same incarnation.
std::optional<WeightsRollout::Need> WeightsRollout::NeedOf(const RolloutEngine& engine,
                                                           const Progress& progress,
                                                           const NamedWeights& named, Instant now) {
  std::optional<Need> need;
  for (const auto& [model, announced] : engine.weights) {
    const std::int64_t seen = progress.state ? VersionIn(progress.state->weights, model) : 0;
    const std::int64_t has = std::max(announced, seen);
    const auto replaced_for = named.ReplacedFor(model, has, now);
    if (!replaced_for || (need && *replaced_for <= need->replaced_for)) continue;
    need = Need{model, named.Newest(model), has, *replaced_for};
  }
  return need;
}

std::vector<RolloutAction> WeightsRollout::Advance(std::span<const RolloutEngine> engines,
                                                   const NamedWeights& named, Instant now) {
  for (const RolloutEngine& engine : engines) {
    Progress& progress = progress_[engine.id];
    if (progress.incarnation == engine.incarnation) continue;
    progress = {};
    progress.incarnation = engine.incarnation;
  }
  std::erase_if(progress_, [&](const auto& entry) {
    return std::none_of(engines.begin(), engines.end(),
                        [&](const RolloutEngine& engine) { return engine.id == entry.first; });
  });
  Begin(engines, named, now);
  std::vector<RolloutAction> actions;
  for (const RolloutEngine& engine : engines) {
    Progress& progress = progress_.at(engine.id);
    if (progress.awaits_answer || now < progress.next_at) continue;
    if (auto action = Step(engine, &progress, named, now)) actions.push_back(std::move(*action));
  }
  return actions;
}

std::size_t WeightsRollout::Busy() const {
  return static_cast<std::size_t>(
      std::count_if(progress_.begin(), progress_.end(), [](const auto& entry) {
        return entry.second.phase != Phase::kIdle && !entry.second.is_unreachable;
      }));
}

std::size_t WeightsRollout::Reachable(std::span<const RolloutEngine> engines) const {
  return static_cast<std::size_t>(std::count_if(
      engines.begin(), engines.end(),
      [this](const RolloutEngine& engine) { return !progress_.at(engine.id).is_unreachable; }));
}

std::size_t WeightsRollout::MostAtOnce(std::size_t engines) const {
  const double most = std::ceil(options_.at_once * static_cast<double>(engines));
  return std::max<std::size_t>(1, static_cast<std::size_t>(most));
}

// On schedule, those that wait fall evenly from all engines to none.
bool WeightsRollout::IsBehind(std::size_t waiting, std::size_t engines,
                              Duration replaced_for) const {
  const double lag = Seconds(replaced_for) / Seconds(options_.longest_lag);
  const double left = (options_.begin_within - lag) / (options_.begin_within - options_.hurry_from);
  return static_cast<double>(waiting) > std::min(left, 1.0) * static_cast<double>(engines);
}

// Takes up engines with the weights that have been replaced for longest first.
void WeightsRollout::Begin(std::span<const RolloutEngine> engines, const NamedWeights& named,
                           Instant now) {
  outdated_ = 0;
  longest_replaced_ = Duration(0);
  const std::size_t reachable = Reachable(engines);
  const std::size_t most = MostAtOnce(reachable);
  std::size_t busy = Busy();
  std::vector<std::pair<Duration, Progress*>> waiting;
  for (const RolloutEngine& engine : engines) {
    Progress& progress = progress_.at(engine.id);
    const auto need = NeedOf(engine, progress, named, now);
    if (!need) continue;
    ++outdated_;
    longest_replaced_ = std::max(longest_replaced_, need->replaced_for);
    const bool may_begin = progress.phase == Phase::kIdle && now >= progress.next_at;
    if (may_begin && progress.is_unreachable) {
      // It takes nobody's turn.
      progress.phase = Phase::kLooking;
    } else if (may_begin) {
      waiting.emplace_back(need->replaced_for, &progress);
    }
  }
  std::stable_sort(waiting.begin(), waiting.end(),
                   [](const auto& left, const auto& right) { return left.first > right.first; });
  std::size_t left = waiting.size();
  for (const auto& [replaced_for, progress] : waiting) {
    if (busy >= most && !IsBehind(left, reachable, replaced_for)) break;
    progress->phase = Phase::kLooking;
    ++busy;
    --left;
  }
}

std::optional<RolloutAction> WeightsRollout::Step(const RolloutEngine& engine, Progress* progress,
                                                  const NamedWeights& named, Instant now) {
  if (progress->phase == Phase::kIdle) return std::nullopt;
  const auto need = NeedOf(engine, *progress, named, now);
  if (!need) {
    progress->phase = Phase::kIdle;
    return std::nullopt;
  }
  const bool is_free = progress->state && !progress->state->is_busy;
  if (progress->phase == Phase::kOrdering && is_free) {
    progress->awaits_answer = true;
    progress->ordered_at = now;
    progress->ordered = *need;
    return OrderWeights{engine.id,   engine.incarnation, engine.endpoint,
                        need->model, need->version,      progress->state->orders,
                        need->has,   need->replaced_for};
  }
  progress->awaits_answer = true;
  return LookAtEngine{engine.id, engine.incarnation, engine.endpoint};
}

void WeightsRollout::OnLook(const std::string& id, std::int64_t incarnation,
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
  if (was_unreachable && !state->is_busy) {
    // It looked out of its turn.
    progress->phase = Phase::kIdle;
    return;
  }
  const bool is_loading = progress->phase == Phase::kLoading;
  const bool has_loaded =
      VersionIn(state->weights, progress->ordered.model) >= progress->ordered.version;
  if (is_loading && has_loaded) {
    // Its next version waits until all others have this one, or what is newer by then.
    progress->phase = Phase::kIdle;
    return;
  }
  const bool is_overdue = now > progress->ordered_at + options_.longest_load;
  const bool may_order = !state->is_busy && (!is_loading || is_overdue);
  // A busy engine carries out an order, of this leader or of one before.
  progress->phase = may_order ? Phase::kOrdering : Phase::kLoading;
  progress->next_at = may_order ? now : now + options_.look_interval;
}

void WeightsRollout::OnOrder(const std::string& id, std::int64_t incarnation, OrderOutcome outcome,
                             Instant now) {
  Progress* progress = Find(id, incarnation);
  if (!progress) return;
  progress->awaits_answer = false;
  if (outcome == OrderOutcome::kAccepted) {
    progress->phase = Phase::kLoading;
    progress->next_at = now + options_.first_look;
    if (progress->state) ++progress->state->orders;
    return;
  }
  const bool is_settled = outcome == OrderOutcome::kFenced || outcome == OrderOutcome::kRefused;
  progress->phase = is_settled ? Phase::kIdle : Phase::kLooking;
  progress->next_at = now + (is_settled ? options_.retry_interval : options_.look_interval);
}

std::vector<std::string> WeightsRollout::loading() const {
  std::vector<std::string> ids;
  for (const auto& [id, progress] : progress_) {
    const bool has_turn = progress.phase != Phase::kIdle && !progress.is_unreachable;
    if (has_turn) ids.push_back(id);
  }
  return ids;
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

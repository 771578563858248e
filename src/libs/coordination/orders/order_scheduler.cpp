#include "coordination/orders/order_scheduler.h"

#include <algorithm>
#include <utility>

namespace kumquat {
namespace {

constexpr int kTermShift = 32;

std::vector<ModelVersion> Sorted(std::vector<ModelVersion> models) {
  std::sort(models.begin(), models.end());
  return models;
}

}  // namespace

OrderScheduler::OrderScheduler(OrderSchedulerOptions options, Send send)
    : options_(options), send_(std::move(send)) {}

void OrderScheduler::BeginTerm(std::int64_t term, Instant now) {
  term_ = term;
  term_began_ = now;
  orders_in_term_ = 0;
  for (auto& [id, engine] : engines_) engine.pending.reset();
}

void OrderScheduler::OnAnnouncement(const Announcement& announcement, Instant now) {
  const auto [entry, is_new] = engines_.try_emplace(announcement.backend_id);
  Engine& engine = entry->second;
  const auto sequence_of = [](const Announcement& a) {
    return std::pair(a.incarnation, a.sequence);
  };
  // A repeated announcement does not show which models the engine holds now.
  if (!is_new && sequence_of(announcement) <= sequence_of(engine.announcement)) return;
  // A restarted engine has lost the order that its last incarnation received.
  if (announcement.incarnation != engine.announcement.incarnation) engine.pending.reset();
  engine.announcement = announcement;
  engine.heard_at = now;
  if (engine.pending && Sorted(announcement.models) == *engine.pending) engine.pending.reset();
}

void OrderScheduler::RemoveEngine(const std::string& engine_id) { engines_.erase(engine_id); }

void OrderScheduler::Tick(const WantedPlacement& wanted, Instant now) {
  std::size_t loads = loading(now);
  for (auto& [id, engine] : engines_) {
    const auto target_models = wanted.find(id);
    if (target_models == wanted.end() || target_models->second.empty()) continue;
    if (Sorted(engine.announcement.models) == target_models->second) continue;
    if (IsLoading(engine, now) || !MayOrder(engine, now)) continue;
    if (loads >= options_.loads_at_once) return;
    ++loads;
    engine.pending = target_models->second;
    engine.ordered_at = now;
    send_(engine.announcement, {(term_ << kTermShift) + ++orders_in_term_, target_models->second});
  }
}

std::size_t OrderScheduler::loading(Instant now) const {
  return static_cast<std::size_t>(
      std::count_if(engines_.begin(), engines_.end(),
                    [&](const auto& entry) { return IsLoading(entry.second, now); }));
}

bool OrderScheduler::MayOrder(const Engine& engine, Instant now) const {
  if (engine.announcement.state != BackendState::kServing) return false;
  if (engine.announcement.checks_fencing) return true;
  const Instant safe_from = term_began_ + options_.leader_lease + options_.max_message_lifetime;
  return now >= safe_from && engine.heard_at >= safe_from;
}

bool OrderScheduler::IsLoading(const Engine& engine, Instant now) const {
  return engine.pending && now - engine.ordered_at < options_.retry_after;
}

}  // namespace kumquat

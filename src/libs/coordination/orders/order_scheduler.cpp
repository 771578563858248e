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
  for (auto& [id, engine] : engines_) engine.ordered.reset();
}

void OrderScheduler::Heard(const Announcement& announcement, Instant now) {
  const auto [entry, is_new] = engines_.try_emplace(announcement.backend_id);
  Engine& engine = entry->second;
  const auto order_of = [](const Announcement& a) { return std::pair(a.incarnation, a.sequence); };
  // One that is told again says nothing about what the engine holds now.
  if (!is_new && order_of(announcement) <= order_of(engine.announcement)) return;
  // A new incarnation has lost what it was ordered to load.
  if (announcement.incarnation != engine.announcement.incarnation) engine.ordered.reset();
  engine.announcement = announcement;
  engine.heard_at = now;
  if (engine.ordered && Sorted(announcement.models) == *engine.ordered) engine.ordered.reset();
}

void OrderScheduler::Forget(const std::string& engine_id) { engines_.erase(engine_id); }

void OrderScheduler::Tick(const WantedPlacement& wanted, Instant now) {
  std::size_t loads = loading(now);
  for (auto& [id, engine] : engines_) {
    const auto wants = wanted.find(id);
    if (wants == wanted.end() || wants->second.empty()) continue;
    if (Sorted(engine.announcement.models) == wants->second) continue;
    if (IsLoading(engine, now) || !MayOrder(engine, now)) continue;
    if (loads >= options_.loads_at_once) return;
    ++loads;
    engine.ordered = wants->second;
    engine.ordered_at = now;
    send_(engine.announcement, {(term_ << kTermShift) + ++orders_in_term_, wants->second});
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
  const Instant safe_from = term_began_ + options_.leader_lease + options_.message_life;
  return now >= safe_from && engine.heard_at >= safe_from;
}

bool OrderScheduler::IsLoading(const Engine& engine, Instant now) const {
  return engine.ordered && now - engine.ordered_at < options_.retry_after;
}

}  // namespace kumquat

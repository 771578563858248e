#include "state/control_service/engine_orders.h"

#include <utility>

namespace kumquat::Internal {
namespace {

// An engine or a router that nothing new is heard of counts as gone after this.
constexpr Duration kSilenceLimit = std::chrono::seconds(10);

}  // namespace

EngineOrders::EngineOrders(const OrderSchedulerOptions& options, OrderScheduler::Send send,
                           std::int64_t term, Instant now)
    : scheduler_(options, std::move(send)) {
  scheduler_.BeginTerm(term, now);
}

void EngineOrders::OnReport(const BackendReport& report, Instant now) {
  demand_[report.router_id] = {report.demand, now};
  for (const Announcement& announcement : report.announcements) {
    if (announcement.kind == BackendKind::kEngine) TakeAnnouncement(announcement, now);
  }
}

void EngineOrders::TakeAnnouncement(const Announcement& announcement, Instant now) {
  const auto [engine, added] = engines_.try_emplace(announcement.backend_id);
  const auto order_of = [](const Announcement& a) { return std::pair(a.incarnation, a.sequence); };
  // An announcement that is told again says nothing about what the engine holds now.
  if (!added && order_of(announcement) <= order_of(engine->second.announcement)) return;
  engine->second = {announcement, now};
  scheduler_.OnAnnouncement(announcement, now);
}

void EngineOrders::ForgetSilent(Instant now) {
  const auto silent = [now](const auto& entry) {
    return now - entry.second.heard_at > kSilenceLimit;
  };
  std::erase_if(demand_, silent);
  std::erase_if(engines_, [&](const auto& entry) {
    if (!silent(entry)) return false;
    scheduler_.RemoveEngine(entry.first);
    return true;
  });
}

void EngineOrders::Advance(const AllowanceList& allowances, Instant now) {
  ForgetSilent(now);
  std::vector<Announcement> engines;
  for (const auto& [id, engine] : engines_) engines.push_back(engine.announcement);
  ModelDemand demand;
  for (const auto& [router, entry] : demand_) {
    for (const ModelRequests& model : entry.requests) demand[model.model] += model.requests;
  }
  scheduler_.Tick(DeriveWantedPlacement(engines, allowances, demand), now);
}

}  // namespace kumquat::Internal

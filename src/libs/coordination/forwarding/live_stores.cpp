#include "coordination/forwarding/live_stores.h"

namespace kumquat {
namespace {

// How long a report that a store is alive counts. Replicas repeat their reports every second, and
// report changes at once, so a single late or lost report doesn't matter.
constexpr Duration kAliveReportLifetime = std::chrono::milliseconds(2500);
// How long a report that a store is dead counts. One replica may notice that a store died half a
// second before the others, whose reports still say that it is alive until then.
constexpr Duration kDeadReportLifetime = std::chrono::milliseconds(1500);

}  // namespace

void LiveStores::Update(const std::map<std::string, bool>& alive, Instant now) {
  for (const auto& [store, is_alive] : alive) {
    Reports& reports = stores_[store];
    (is_alive ? reports.alive_at : reports.dead_at) = now;
  }
}

bool LiveStores::IsAlive(const Endpoint& store, Instant now) const {
  const auto found = stores_.find(store.ToString());
  if (found == stores_.end()) return false;
  const Reports& reports = found->second;
  const bool reported_alive =
      reports.alive_at != Instant(0) && now - reports.alive_at < kAliveReportLifetime;
  const bool reported_dead =
      reports.dead_at != Instant(0) && now - reports.dead_at < kDeadReportLifetime;
  return reported_alive && !reported_dead;
}

}  // namespace kumquat

#include "coordination/forwarding/live_stores.h"

namespace kumquat {
namespace {

// Replicas repeat themselves every second, and say at once what has changed.
constexpr Duration kLately = std::chrono::milliseconds(2500);
// A replica that sees a store die may do so half a second before the others.
constexpr Duration kDeadLately = std::chrono::milliseconds(1500);

}  // namespace

void LiveStores::Update(const std::map<std::string, bool>& alive, Instant now) {
  for (const auto& [store, is_alive] : alive) {
    Words& words = stores_[store];
    (is_alive ? words.alive_at : words.dead_at) = now;
  }
}

bool LiveStores::IsAlive(const Endpoint& store, Instant now) const {
  const auto found = stores_.find(store.ToString());
  if (found == stores_.end()) return false;
  const Words& words = found->second;
  const bool said_alive = words.alive_at != Instant(0) && now - words.alive_at < kLately;
  const bool said_dead = words.dead_at != Instant(0) && now - words.dead_at < kDeadLately;
  return said_alive && !said_dead;
}

}  // namespace kumquat

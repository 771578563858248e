// Sends engines the orders that bring them to the wanted placement, protected by fencing numbers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/orders/wanted_placement.h"
#include "protocol/announcement.h"
#include "protocol/engine_messages.h"
#include "utils/hooks.h"

namespace kumquat {

struct OrderSchedulerOptions {
  // Maximum number of engines that load at the same time.
  std::size_t loads_at_once = 2;
  // Longest time for which a deposed leader may still send orders.
  Duration leader_lease = std::chrono::seconds(3);
  // Longest time after sending an order at which it may still take effect.
  Duration max_message_lifetime = std::chrono::seconds(5);
  // Time after which an order without effect is sent again, with a new fencing number.
  Duration retry_after = std::chrono::seconds(5);
};

// Decides which orders the leader of a term sends. A fencing number has the term in its high 32
// bits and a counter in its low 32 bits, so the numbers of a later leader are always higher.
//
// An engine that checks fencing numbers refuses the orders of a deposed leader itself. An engine
// that ignores them gets no order until no order of an earlier leader can take effect any more: the
// lease of the earlier leader and the longest lifetime of a message must have passed since this
// term began, and the engine must have announced after that which models it holds.
class OrderScheduler {
 public:
  // Sends an order to an engine. The caller must confirm its leadership just before each Tick().
  using Send = std::function<void(const Announcement& engine, const EngineOrder& order)>;

  OrderScheduler(OrderSchedulerOptions options, Send send);

  // Starts a term in which this replica is the leader.
  void BeginTerm(std::int64_t term, Instant now);

  // Records an announcement of an engine. Ignores one that is not newer than its last one.
  void OnAnnouncement(const Announcement& engine, Instant now);

  // Removes an engine that is gone.
  void RemoveEngine(const std::string& engine_id);

  // Sends the orders that are due to reach the wanted placement.
  void Tick(const WantedPlacement& wanted, Instant now);

  // Returns the number of engines with an order that has had no effect yet and is not overdue.
  std::size_t loading(Instant now) const;

 private:
  struct Engine {
    Announcement announcement;
    Instant heard_at{0};
    // The models of the last order, and when it was sent. Empty once the order has taken effect.
    std::optional<std::vector<ModelVersion>> pending;
    Instant ordered_at{0};
  };

  bool MayOrder(const Engine& engine, Instant now) const;
  bool IsLoading(const Engine& engine, Instant now) const;

  OrderSchedulerOptions options_;
  Send send_;
  std::int64_t term_ = 0;
  Instant term_began_{0};
  std::int64_t orders_in_term_ = 0;
  std::map<std::string, Engine> engines_;
};

}  // namespace kumquat

// Sends engines the orders that bring them to the wanted placement, under fencing numbers.
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
  // Engines that may load at once.
  std::size_t loads_at_once = 2;
  // Longest time for which a deposed leader may still send.
  Duration leader_lease = std::chrono::seconds(3);
  // Longest time from sending an order to its last possible effect.
  Duration message_life = std::chrono::seconds(5);
  // Time after which an order without effect is sent again, under a new number.
  Duration retry_after = std::chrono::seconds(5);
};

// Decides for the leader of one term. Fencing numbers are the term in the high 32 bits and a
// counter in the low ones, so any later leader's are higher.
//
// An engine that checks fencing refuses the orders of a deposed leader by itself. One that ignores
// the number gets no order until every order of an earlier leader has had its effect: the earlier
// leader's lease and the longest life of a message have passed since this term began, and the
// engine was heard of after that, which reads back what it holds.
class OrderScheduler {
 public:
  // Sends an order to an engine; the caller has confirmed its leadership just before Tick().
  using Send = std::function<void(const Announcement& engine, const EngineOrder& order)>;

  OrderScheduler(OrderSchedulerOptions options, Send send);

  // This replica became leader in the term.
  void BeginTerm(std::int64_t term, Instant now);

  // An announcement that is newer than the last one of this engine.
  void Heard(const Announcement& engine, Instant now);

  // The engine is gone.
  void Forget(const std::string& engine_id);

  // Sends the orders that are due for the wanted placement.
  void Tick(const WantedPlacement& wanted, Instant now);

  // Returns the engines that load now, as far as is known.
  std::size_t loading(Instant now) const;

 private:
  struct Engine {
    Announcement announcement;
    Instant heard_at{0};
    // What was ordered last, and when; nothing when it had its effect.
    std::optional<std::vector<ModelVersion>> ordered;
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

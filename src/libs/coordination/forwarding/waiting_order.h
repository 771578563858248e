// The order in which a router tries to send requests that wait for a backend server: by rank, then
// by the recent use of their organisations, least first, then by arrival.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "utils/hooks.h"

namespace kumquat {

// A request that waits.
struct WaitingRequest {
  // Lower ranks are tried first.
  std::int64_t rank = 0;
  // Empty for requests without an organisation, which count as one.
  std::string organisation;
  Instant arrived{0};
};

class WaitingOrder {
 public:
  // Adds to the recent use of an organisation by requests of this rank; call it when a request is
  // sent. `amount` is its prompt tokens, or 1 for a request without a prompt.
  void AddUse(std::int64_t rank, std::string_view organisation, std::int64_t amount, Instant now);

  // Calls `try_send` with the index of each request, in order. The order takes in what AddUse adds
  // meanwhile. A request that can't be sent doesn't hold up those after it.
  void TryInOrder(std::span<const WaitingRequest> requests, Instant now,
                  const std::function<void(std::size_t index)>& try_send) const;

  // Call when a request didn't fit. It would fit at an engine whose queue is no longer than
  // `longest_queue`.
  void NoteDenied(std::int64_t rank, std::string_view organisation, Duration longest_queue,
                  Instant now);

  // Returns how long the queue of an engine may be at which a request is sent while others wait, so
  // that there is room for organisations of its rank that use far less and were denied recently;
  // nullopt if there are none.
  std::optional<Duration> QueueLimit(std::int64_t rank, std::string_view organisation,
                                     Instant now) const;

  // Returns whether the organisation has recently used more than twice as much as the others of
  // this rank on average. Never true of the only one.
  bool IsOverShare(std::int64_t rank, std::string_view organisation, Instant now) const;

  // Returns the part of all recent use that is of more urgent ranks than this one, from 0 to 1.
  double MoreUrgentShare(std::int64_t rank, Instant now) const;

  // Returns how many organisations have a recent use; one that has several ranks counts for each.
  std::size_t size() const { return uses_.size(); }

 private:
  struct Use {
    double amount = 0;
    Instant at{0};

    double AmountAt(Instant now) const;
    void Add(double added, Instant now);
  };
  struct RankTotal {
    Use use;
    std::size_t organisations = 0;
  };

  struct Denial {
    Instant at{0};
    Duration longest_queue{0};
  };

  double AmountOf(std::int64_t rank, std::string_view organisation, Instant now) const;
  // Returns the recent use as a power of two; 0 for less than 1.
  int UseStep(std::int64_t rank, std::string_view organisation, Instant now) const;
  void Prune(Instant now);

  std::map<std::pair<std::int64_t, std::string>, Use> uses_;
  // The sums of the uses, by rank.
  std::map<std::int64_t, RankTotal> totals_;
  // By rank and organisation.
  std::map<std::pair<std::int64_t, std::string>, Denial> denials_;
  Instant pruned_at_{0};
};

}  // namespace kumquat

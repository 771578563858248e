// Whether an accepted edit is in force on every router.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "protocol/lists.h"
#include "utils/hooks.h"

namespace kumquat {

// The revisions of the two lists.
struct Revisions {
  std::int64_t plans = 0;
  std::int64_t allowances = 0;

  std::int64_t Of(ListName list) const { return list == ListName::kPlans ? plans : allowances; }

  bool operator==(const Revisions&) const = default;
};

// The leader's book of the leases that let routers serve by a revision. A revision is in force
// when each lease that was answered with a lower one has ended, or its router has reported that it
// holds the revision. A router never goes back to a lower revision than it held.
//
// One tracker lives as long as one leader's term. Nothing is in force for its first whole lease, as
// leases that the leader before answered may still run. After InForce() the caller confirms its
// leadership by a round that begins later, before it tells anyone: a router whose lease has ended
// may go on while a majority of the replicas is proven down, and such a round ends that.
class InForceTracker {
 public:
  InForceTracker(Duration lease, Instant term_began) : lease_(lease), term_began_(term_began) {}

  // A renewal came in from a router that holds these revisions.
  void OnReport(const std::string& router_id, std::int64_t incarnation, const Revisions& held);

  // A renewal that came in at `received` is about to be answered with these revisions.
  void OnLease(const std::string& router_id, std::int64_t incarnation, const Revisions& answered,
               Instant received);

  bool InForce(ListName list, std::int64_t revision, Instant now) const;

  // Forgets leases that have ended.
  void Expire(Instant now);

  // Returns the number of routers with a lease, for status.
  std::size_t routers() const { return routers_.size(); }

 private:
  struct Lease {
    Revisions revisions;
    Instant ends{0};
  };

  // A router's id with its incarnation.
  using Router = std::pair<std::string, std::int64_t>;

  Duration lease_;
  Instant term_began_;
  std::map<Router, std::vector<Lease>> routers_;
};

}  // namespace kumquat

// Determines whether an accepted edit of plans or allowances is in force on every router.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "protocol/lists.h"
#include "utils/hooks.h"

namespace kumquat {

// The revisions of the plan list and the allowance list.
struct Revisions {
  std::int64_t plans = 0;
  std::int64_t allowances = 0;

  std::int64_t Of(ListName list) const { return list == ListName::kPlans ? plans : allowances; }

  bool operator==(const Revisions&) const = default;
};

// The leader's record of the leases under which routers may serve with a revision. A revision is in
// force once every lease that was granted with a lower one has ended, or its router has reported
// that it has the revision. A router never returns to a lower revision than it had.
//
// A tracker exists for one term of a leader. No revision is in force during the first whole lease
// of the term, since leases that the previous leader granted may still be valid. After InForce()
// returned true the caller must confirm its leadership by a round that begins later, before it
// reports the result: a router whose lease has ended continues to serve while its own probes show
// without a break that a majority of the voters is down (see PlanLease). A round that a majority
// acknowledges can end only after such a router has stopped serving.
class InForceTracker {
 public:
  // `lease` is the duration of each lease that this leader grants.
  InForceTracker(Duration lease, Instant term_began) : lease_(lease), term_began_(term_began) {}

  // A renewal request was received from a router that has these revisions.
  void OnReport(const std::string& router_id, std::int64_t incarnation, const Revisions& held);

  // A renewal request that was received at `received` is about to be answered with these revisions.
  // Must be called before the answer is sent.
  void OnLeaseGranted(const std::string& router_id, std::int64_t incarnation,
                      const Revisions& answered, Instant received);

  // Returns whether no router can still serve with a lower revision of the list, provided that the
  // caller then confirms its leadership (see above).
  bool InForce(ListName list, std::int64_t revision, Instant now) const;

  // Removes leases that have ended.
  void Expire(Instant now);

  // Returns the number of routers with a recorded lease, for the status report.
  std::size_t routers() const { return routers_.size(); }

 private:
  // A lease of one router, with the lowest revisions that the router may use under it.
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

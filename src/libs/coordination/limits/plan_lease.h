// Whether a router may serve by the lists that it has.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "coordination/limits/outage_proof.h"
#include "protocol/control_messages.h"
#include "protocol/lists.h"
#include "utils/hooks.h"

namespace kumquat {

struct PlanLeaseOptions {
  // How long a replica neither votes nor acknowledges after it begins to listen.
  Duration startup_quiet = std::chrono::seconds(1);
};

// Holds the lists and the lease under which they may be used.
//
// New work is served (a) within the lease of a renewal that a leader confirmed; it runs from the
// moment the request was sent; and (b) after it, while a majority of the voters that the last
// answer named is proven down without a break since a moment within the lease.
//
// Neither serves a revoked plan after the operator was told that its successor is in force. An
// edit is answered only when, in this order, it is committed; one whole lease has passed on the
// leader's clock since the leader that answers could first answer renewals with it, and not
// before; and a majority has acknowledged a round that began after that wait. With (a), a lease
// for the old revision was sent before the wait began, so it ended within it. With (b), the chain
// began within such a lease, so before that round; the round needs an acknowledgement of at least
// one voter of the proven majority, and a voter gives none between two of the chain's refusals,
// nor until `startup_quiet` after the last, when the chain has stopped counting. So the round ends
// only after the router has stopped. This holds too when the edit was committed, its leader
// crashed or was cut off before it answered, and the majority went down and came back: the new
// leader waits one whole lease of its own. docs/DECISIONS/plan-lease.md has the argument in full,
// with what the replicas must keep for it.
class PlanLease {
 public:
  explicit PlanLease(PlanLeaseOptions options = {});

  // Takes the answer to a renewal that was sent at `sent`. False when it was dropped: it has a
  // lower term or revision than one seen before, or a newer revision without its list.
  bool Apply(const LeaseAnswer& answer, Instant sent);

  // Takes the result of a probe of a voter, named as in LeaseAnswer::voters.
  void OnProbe(const std::string& voter, ProbeResult result, Instant sent, Instant seen);

  // Returns whether new work may be served.
  bool MayServe(Instant now) const;

  // Returns whether a lease that ended (or ends) at `lease_end` goes on by (b).
  bool OutageCovers(Instant lease_end, Instant now) const;

  const Lists& lists() const { return lists_; }
  std::int64_t term() const { return term_; }
  // The addresses to probe while there is no answer; empty before the first answer.
  const std::vector<std::string>& voters() const { return voters_; }
  // The end of the newest lease; nothing before the first answer.
  std::optional<Instant> lease_end() const { return lease_end_; }

 private:
  Lists lists_;
  std::int64_t term_ = 0;
  std::vector<std::string> voters_;
  std::optional<Instant> lease_end_;
  OutageProof outage_;
};

}  // namespace kumquat

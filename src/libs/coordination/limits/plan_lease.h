// The lease under which a router may serve requests with its copy of the lists.
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
  // How long a replica neither votes nor acknowledges after it starts to listen.
  Duration startup_quiet = std::chrono::seconds(1);
};

// Holds the lists and the lease under which they may be used.
//
// New requests are served
// (a) during the lease of a renewal that a leader confirmed, which runs from the moment the renewal
//     was sent; and
// (b) after that lease, while a majority of the voters named in the last answer has been proven
//     down without interruption since the lease's end or earlier (see OutageProof).
//
// Once the operator was told that the successor of a revoked plan is in force, neither rule allows
// the revoked plan to be served. The leader answers an edit only after these steps, in this order:
// 1. The edit is committed.
// 2. One whole lease has passed on the leader's clock since this leader could first answer renewals
//    with the edit.
// 3. A majority has acknowledged a heartbeat round that began after that wait.
//
// Under (a), the renewal for the old revision was sent before the wait began, so its lease ended
// during the wait. Under (b), the streak of refusals (consecutive ones less than `startup_quiet`
// apart) of each voter of the majority proven down began no later than the end of such a lease, so
// before that round. The round needs an acknowledgement from at least one of these voters. A voter
// gives none between two refusals of the streak, nor until `startup_quiet` after the last one, when
// the streak no longer counts. So the round ends only after the router has stopped serving. This
// also holds when the edit was committed, its leader crashed or was partitioned before it answered,
// and the majority went down and came back: the new leader waits one whole lease of its own.
// docs/DECISIONS/plan-lease.md has the full argument and what it requires of the replicas.
class PlanLease {
 public:
  explicit PlanLease(PlanLeaseOptions options = {});

  // Applies the answer to a renewal that was sent at `sent`. Returns false if the answer was
  // dropped: it has a lower term or revision than an earlier answer, or a newer revision without
  // the list.
  bool Apply(const LeaseAnswer& answer, Instant sent);

  // Records the result of a probe of a voter, named as in LeaseAnswer::voters. See
  // OutageProof::OnProbe().
  void OnProbe(const std::string& voter, ProbeResult result, Instant sent, Instant seen);

  // Returns whether new requests may be served.
  bool MayServe(Instant now) const;

  // Returns whether rule (b) extends a lease with the given end until `now`.
  bool OutageExtendsLease(Instant lease_end, Instant now) const;

  const Lists& lists() const { return lists_; }
  std::int64_t term() const { return term_; }
  // The addresses to probe while renewals get no answer; empty before the first answer.
  const std::vector<std::string>& voters() const { return voters_; }
  // The end of the newest lease; nullopt before the first answer.
  std::optional<Instant> lease_end() const { return lease_end_; }

 private:
  Lists lists_;
  std::int64_t term_ = 0;
  std::vector<std::string> voters_;
  std::optional<Instant> lease_end_;
  OutageProof outage_;
};

}  // namespace kumquat

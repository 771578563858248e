// What a leader keeps for the length of its term only.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/in_force/in_force_tracker.h"
#include "coordination/limits/share_ledger.h"
#include "protocol/control_messages.h"
#include "state/control/control_state.h"
#include "utils/hooks.h"

namespace kumquat::Internal {

// The leases that this leader answered, the shares that it granted, and its logical clock.
class LeaderTerm {
 public:
  LeaderTerm(std::uint64_t term, Duration lease, const ControlState& state, Instant now);

  std::uint64_t term() const { return term_; }
  std::size_t routers() const { return in_force_.routers(); }

  // Returns the time to put into the next command.
  LogicalTime TimeAt(Instant now) const;

  // Takes the lists as applied. Returns the revision to tell the routers of, when one has changed.
  std::optional<std::int64_t> SetLists(const Lists& lists);

  // Books a renewal as it comes in and returns the shares for its answer.
  std::vector<ShareGrant> Renew(const LeaseRequest& request, Instant now);

  // Books and returns the answer to a renewal, which came in at `received`.
  LeaseAnswer Answer(const LeaseRequest& request, std::vector<ShareGrant> shares,
                     const Lists& lists, Instant received);

  bool InForce(ListName list, std::int64_t revision, Instant now) const;

  void Expire(Instant now) { in_force_.Expire(now); }

 private:
  std::uint64_t term_;
  Duration lease_;
  Instant began_;
  LogicalTime began_at_;
  Revisions revisions_;
  InForceTracker in_force_;
  ShareLedger shares_;
};

}  // namespace kumquat::Internal

// The control leader's record of shares: which router holds how much of an organisation's capacity.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/limits/share_division.h"
#include "protocol/control_messages.h"
#include "protocol/lists.h"
#include "utils/hooks.h"

namespace kumquat {

struct ShareLedgerOptions {
  // How long a grant is valid. The same value must be sent as LeaseAnswer::lease_ms.
  Duration lease = std::chrono::seconds(3);
  // The capacity divided by this is reserved for routers that have no share of it yet.
  std::int64_t reserve_divisor = 20;
  // How long a division of a capacity is reused before it is recomputed from the current demand,
  // multiplied by the number of participating routers. Bounds the cost for many routers.
  Duration division_lifetime_per_router = std::chrono::microseconds(500);
};

// Grants each organisation's capacity to the routers as leased shares. The sum over all routers of
// what each may believe it holds stays within the plan: an amount is outstanding until its lease
// ends, or until a later request of the same router reports a lower `held`.
//
// A ledger exists for one leader's term. During its first whole lease it only confirms what routers
// report as held, as shares granted by the previous leader may still be valid. The caller must
// confirm its leadership by a heartbeat round that begins after Renew() and that a majority has
// acknowledged before the answer is sent; without that round it must not send the answer.
//
// Requests of one router are ordered by (incarnation, sequence). A router applies only the answer
// to the newest request that it sent, which is why a lower `held` is final.
class ShareLedger {
 public:
  // `now` is the start of the term.
  ShareLedger(ShareLedgerOptions options, Instant now);

  // Takes over the capacities of the applied lists. A reduced capacity is in force one lease later,
  // but not before the first lease of this ledger is over: until then routers may hold shares of
  // the larger capacity.
  void SetLists(const Lists& lists);

  // Sets the capacity of one organisation; zero in all fields if it has none.
  void SetCapacity(const std::string& organisation, const Capacity& capacity);

  // Answers a request with one grant for each organisation in it, in the same order. A late request
  // of an older incarnation or with an older sequence changes nothing and gets no grants. A
  // duplicate of the newest request gets the same grants again.
  std::vector<ShareGrant> Renew(const LeaseRequest& request, Instant now);

  // Returns how much of an organisation's capacity routers may hold as far as this ledger knows;
  // for status reports.
  Capacity Outstanding(const std::string& organisation) const;

  // Returns whether the ledger still only confirms held shares instead of granting new ones.
  bool confirming_only(Instant now) const { return now < term_start_ + options_.lease; }

 private:
  // One router's share of one organisation's capacity.
  struct Claim {
    Capacity wanted;
    // What the answer to the newest request granted.
    Capacity granted;
    // What the router may believe it holds.
    Capacity amount;
    // For each of the account's periods, the portion of `amount` granted since the period's start.
    std::vector<Capacity> granted_since_start;
    Instant lease_end{0};
  };

  // The time from one reduction of a capacity to the next. The sum of the outstanding grants made
  // since its start never exceeds the largest capacity of this and all later periods, also after
  // older grants have expired.
  struct CapacityPeriod {
    Capacity capacity;
    // Sum over the claims of what was granted since this period's start.
    Capacity granted_since_start;
    // When the ledger first noticed that a later period has begun; grants made in this period
    // expire within one lease of that.
    std::optional<Instant> superseded_at;
  };

  struct Account {
    // Oldest first; the last one is current.
    std::vector<CapacityPeriod> periods = std::vector<CapacityPeriod>(1);
    // By router id.
    std::map<std::string, Claim> claims;
    // Sum of `amount` over the claims.
    Capacity amount;

    const Capacity& capacity() const { return periods.back().capacity; }
    // No claim expires before this moment.
    Instant earliest_lease_end{0};
    ShareDivision division;
    Instant divided_at{0};
    bool division_valid = false;
  };

  struct Router {
    std::int64_t incarnation = 0;
    std::int64_t sequence = 0;
    std::vector<std::string> organisations;
    Instant lease_end{0};
  };

  Capacity RenewClaim(Account* account, const std::string& router_id, const ShareRequest& request,
                      Instant now);
  Capacity MaxGrant(const Account& others, const Capacity& held, Instant now) const;
  static Capacity RoomInPeriods(const Account& others);
  static void AddToPeriods(Account* account, const Claim& claim);
  static void SubtractFromPeriods(Account* account, const Claim& claim);
  void DropExpiredPeriods(Account* account, Instant now) const;
  void UpdateDivisionIfDue(Account* account, Instant now);
  void DropExpiredClaims(Account* account, Instant now);
  void DropExpiredRouters(Instant now);
  void RemoveClaim(const std::string& organisation, const std::string& router_id);
  void RemoveRouter(const std::string& router_id);
  std::vector<ShareGrant> RepeatGrants(const LeaseRequest& request) const;

  ShareLedgerOptions options_;
  Instant term_start_;
  Instant next_sweep_;
  std::map<std::string, Account> accounts_;
  std::map<std::string, Router> routers_;
};

}  // namespace kumquat

// The control leader's book of shares: which router holds which part of an organisation's capacity.
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
  // How long a grant lasts; the same figure goes out as LeaseAnswer::lease_ms.
  Duration lease = std::chrono::seconds(3);
  // One part in so many of a capacity is kept back for routers that come new to it.
  std::int64_t reserve_divisor = 20;
  // How long a division of a capacity is used before the demand is looked at again, for each
  // router that takes part; it bounds the work for large numbers of routers.
  Duration division_lifetime_per_router = std::chrono::microseconds(500);
};

// Hands out each organisation's capacity to the routers as leased shares. The sum over routers of
// what any of them may believe to hold stays within the plan: an amount is outstanding until its
// lease ends, or until a later request of the same router reports a lower `held`.
//
// One ledger lives as long as one leader's term. For its first whole lease it only confirms what
// routers present as held, as shares of the leader before may still be out. The caller has to
// confirm its leadership by a round of a majority that begins after Renew() and ends before the
// answer goes out; without it the answer is not sent.
//
// Requests of one router are ordered by (incarnation, sequence). A router applies only the answer
// to the newest request that it sent; this is what makes a lower `held` final.
class ShareLedger {
 public:
  // `now` is the moment the term began.
  ShareLedger(ShareLedgerOptions options, Instant now);

  // Takes the lists as applied. A capacity that shrinks is in force one lease later, and not
  // before the first lease of this ledger is over: until then routers may hold shares of the
  // larger one.
  void SetLists(const Lists& lists);

  // Sets the capacity of one organisation; zero in all parts when it has none.
  void SetCapacity(const std::string& organisation, const Capacity& capacity);

  // Answers a request: one grant for each organisation in it, in its order. A late request of an
  // older incarnation or an older sequence changes nothing and gets no grants; the newest
  // request again gets the same grants again.
  std::vector<ShareGrant> Renew(const LeaseRequest& request, Instant now);

  // Returns what routers may hold of an organisation by this book; for status.
  Capacity Outstanding(const std::string& organisation) const;

  // Returns whether only held shares are confirmed now.
  bool confirming_only(Instant now) const { return now < began_ + options_.lease; }

 private:
  // One router's part in one organisation's capacity.
  struct Claim {
    Capacity wanted;
    // The answer to the newest request.
    Capacity granted;
    // What the router may believe to hold.
    Capacity amount;
    // For each of the account's eras, the part of `amount` that was granted since it began.
    std::vector<Capacity> committed;
    Instant ends{0};
  };

  // The time from one shrinking of a capacity to the next. What was granted since it began stays
  // within its capacity, or a later one that is larger, also after older grants have ended.
  struct Era {
    Capacity capacity;
    // Sum over the claims.
    Capacity committed;
    // When the ledger first saw that the era was over; its grants end one lease later.
    std::optional<Instant> over_at;
  };

  struct Account {
    // The oldest first; the last one is the present one.
    std::vector<Era> eras = std::vector<Era>(1);
    // By router.
    std::map<std::string, Claim> claims;
    // Sum over the claims.
    Capacity amount;

    const Capacity& capacity() const { return eras.back().capacity; }
    // No claim ends before this moment.
    Instant earliest_end{0};
    ShareDivision division;
    Instant divided_at{0};
    bool division_valid = false;
  };

  struct Router {
    std::int64_t incarnation = 0;
    std::int64_t sequence = 0;
    std::vector<std::string> organisations;
    Instant ends{0};
  };

  Capacity RenewClaim(Account* account, const std::string& router_id, const ShareRequest& request,
                      Instant now);
  Capacity MostGrantable(const Account& others, const Capacity& held, Instant now) const;
  static Capacity RoomInEras(const Account& others);
  static void AddCommitted(Account* account, const Claim& claim);
  static void SubtractCommitted(Account* account, const Claim& claim);
  void DropEndedEras(Account* account, Instant now) const;
  void DivideWhenDue(Account* account, Instant now);
  void DropLapsedClaims(Account* account, Instant now);
  void DropLapsedRouters(Instant now);
  void RemoveClaim(const std::string& organisation, const std::string& router_id);
  void RemoveRouter(const std::string& router_id);
  std::vector<ShareGrant> SameGrantsAgain(const LeaseRequest& request) const;

  ShareLedgerOptions options_;
  Instant began_;
  Instant next_sweep_;
  std::map<std::string, Account> accounts_;
  std::map<std::string, Router> routers_;
};

}  // namespace kumquat

// The control leader's book of shares: which router holds which part of an organisation's capacity.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "protocol/control_messages.h"
#include "protocol/lists.h"
#include "utils/hooks.h"

namespace kumquat {

struct ShareLedgerOptions {
  // How long a grant lasts; the same figure goes out as LeaseAnswer::lease_ms.
  Duration lease = std::chrono::seconds(3);
  // One part in so many of a capacity is kept back for routers that come new to it.
  std::int64_t reserve_divisor = 20;
  // How long a computed division is used before the demand is looked at again.
  Duration division_lifetime = std::chrono::milliseconds(50);
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

  // Takes the lists as applied. A capacity that shrinks is in force one lease later: until then
  // routers may hold shares of the larger one.
  void SetLists(const Lists& lists);

  // Sets the capacity of one organisation; zero in all parts when it has none.
  void SetCapacity(const std::string& organisation, const Capacity& capacity);

  // Answers a request: one grant for each organisation in it, in its order. A late request of an
  // older incarnation or an older sequence changes nothing and gets no grants; the newest
  // request again gets the same grants again.
  std::vector<ShareGrant> Renew(const LeaseRequest& request, Instant now);

  // Returns what routers may hold of an organisation by this book; for tests and status.
  Capacity Outstanding(const std::string& organisation, Instant now) const;

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
    // The part of `amount` that was granted since the capacity last shrank.
    Capacity committed;
    Instant ends{0};
  };

  struct Account {
    Capacity capacity;
    // By router.
    std::map<std::string, Claim> claims;
    // Sums over the claims.
    Capacity amount;
    Capacity committed;
    // No claim ends before this moment.
    Instant earliest_end{0};
    // The highest share that the division gives to a router, and when it was computed.
    Capacity level;
    Capacity remainder;
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
  Capacity TargetOf(const Account& account, const std::string& router_id, const Claim& claim,
                    Instant now) const;
  void Divide(Account* account, Instant now);
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

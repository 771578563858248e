#include "coordination/limits/share_ledger.h"

#include <algorithm>
#include <set>

#include "coordination/limits/capacity_math.h"

namespace kumquat {
namespace {

using Internal::Difference;
using Internal::Higher;
using Internal::kCapacityParts;
using Internal::Lower;
using Internal::Sum;

// After so many leases the units that rounding leaves over go to other routers.
constexpr std::int64_t kLeasesPerRound = 4;

}  // namespace

ShareLedger::ShareLedger(ShareLedgerOptions options, Instant now)
    : options_(options), began_(now), next_sweep_(now + options.lease) {}

void ShareLedger::SetLists(const Lists& lists) {
  std::set<std::string> listed;
  for (const Organisation& organisation : lists.plans) {
    listed.insert(organisation.name);
    const Allowance* allowance = lists.AllowanceOf(organisation);
    SetCapacity(organisation.name, allowance != nullptr ? allowance->capacity : Capacity{});
  }
  for (const auto& [organisation, account] : accounts_) {
    if (!listed.contains(organisation)) SetCapacity(organisation, Capacity{});
  }
}

void ShareLedger::SetCapacity(const std::string& organisation, const Capacity& capacity) {
  Account& account = accounts_[organisation];
  account.division_valid = false;
  const bool shrinks = Internal::AnyPartBelow(capacity, account.capacity());
  if (!shrinks) {
    account.eras.back().capacity = capacity;
    return;
  }
  account.eras.push_back({capacity, {}, std::nullopt});
  for (auto& [router_id, claim] : account.claims) claim.committed.emplace_back();
}

// Returns how much may be granted so that the grants of each era stay within its bound.
Capacity ShareLedger::RoomInEras(const Account& others) {
  Capacity room = Difference(others.capacity(), others.eras.back().committed);
  Capacity largest = others.capacity();
  for (auto era = others.eras.rbegin(); era != others.eras.rend(); ++era) {
    largest = Higher(largest, era->capacity);
    room = Lower(room, Difference(largest, era->committed));
  }
  return room;
}

void ShareLedger::AddCommitted(Account* account, const Claim& claim) {
  for (std::size_t i = 0; i < account->eras.size(); ++i) {
    account->eras[i].committed = Sum(account->eras[i].committed, claim.committed[i]);
  }
}

void ShareLedger::SubtractCommitted(Account* account, const Claim& claim) {
  for (std::size_t i = 0; i < account->eras.size(); ++i) {
    account->eras[i].committed = Difference(account->eras[i].committed, claim.committed[i]);
  }
}

void ShareLedger::DropEndedEras(Account* account, Instant now) const {
  for (std::size_t i = 0; i + 1 < account->eras.size(); ++i) {
    if (!account->eras[i].over_at) account->eras[i].over_at = now;
  }
  while (account->eras.size() > 1 && now >= *account->eras.front().over_at + options_.lease) {
    account->eras.erase(account->eras.begin());
    for (auto& [router_id, claim] : account->claims) claim.committed.erase(claim.committed.begin());
  }
}

std::vector<ShareGrant> ShareLedger::Renew(const LeaseRequest& request, Instant now) {
  DropLapsedRouters(now);
  if (const auto known = routers_.find(request.router_id); known != routers_.end()) {
    const Router& router = known->second;
    if (request.router_incarnation < router.incarnation) return {};
    if (request.router_incarnation > router.incarnation) {
      RemoveRouter(request.router_id);
    } else if (request.sequence < router.sequence) {
      return {};
    } else if (request.sequence == router.sequence) {
      return SameGrantsAgain(request);
    }
  }

  std::vector<ShareGrant> grants;
  std::vector<std::string> organisations;
  std::set<std::string_view> seen;
  for (const ShareRequest& share : request.shares) {
    if (!seen.insert(share.organisation).second) continue;
    Account& account = accounts_[share.organisation];
    grants.push_back({share.organisation, RenewClaim(&account, request.router_id, share, now)});
    organisations.push_back(share.organisation);
  }
  Router& router = routers_[request.router_id];
  for (const std::string& organisation : router.organisations) {
    if (!seen.contains(organisation)) RemoveClaim(organisation, request.router_id);
  }
  router = {request.router_incarnation, request.sequence, std::move(organisations),
            now + options_.lease};
  return grants;
}

Capacity ShareLedger::Outstanding(const std::string& organisation) const {
  const auto account = accounts_.find(organisation);
  return account != accounts_.end() ? account->second.amount : Capacity{};
}

Capacity ShareLedger::RenewClaim(Account* account, const std::string& router_id,
                                 const ShareRequest& request, Instant now) {
  DropLapsedClaims(account, now);
  DropEndedEras(account, now);
  Claim& claim = account->claims[router_id];
  claim.committed.resize(account->eras.size());
  claim.wanted = request.wanted;
  DivideWhenDue(account, now);
  account->amount = Difference(account->amount, claim.amount);
  SubtractCommitted(account, claim);

  // A leader that knows nothing has to believe what is presented; later it knows better.
  const Capacity held = confirming_only(now) ? request.held : Lower(request.held, claim.amount);
  const Capacity part = account->division.PartOf({router_id, claim.wanted});
  claim.granted = Lower(part, MostGrantable(*account, held, now));
  claim.amount = Higher(held, claim.granted);
  for (Capacity& committed : claim.committed) {
    committed = Higher(Lower(held, committed), claim.granted);
  }
  claim.ends = now + options_.lease;

  account->amount = Sum(account->amount, claim.amount);
  AddCommitted(account, claim);
  account->earliest_end = std::min(account->earliest_end, claim.ends);
  return claim.granted;
}

// `others` has the sums without the router's own claim. While more is out than the capacity (it
// shrank, or late requests were presented to a new leader), each router may keep what it holds as
// far as the grants made since leave room.
Capacity ShareLedger::MostGrantable(const Account& others, const Capacity& held,
                                    Instant now) const {
  const Capacity room = RoomInEras(others);
  Capacity result;
  for (const auto part : kCapacityParts) {
    const std::int64_t capacity = others.capacity().*part;
    const std::int64_t free = capacity - others.amount.*part;
    const std::int64_t reserve = capacity / options_.reserve_divisor;
    // Routers that come new share what is free, as more of them may come.
    const std::int64_t raised = held.*part == 0 ? (free + 1) / 2 : free - reserve;
    const std::int64_t kept = std::min(held.*part, room.*part);
    const std::int64_t most = confirming_only(now) ? kept : std::max(raised, kept);
    result.*part = std::max<std::int64_t>(most, 0);
  }
  return result;
}

void ShareLedger::DivideWhenDue(Account* account, Instant now) {
  const auto routers = static_cast<std::int64_t>(account->claims.size());
  const Duration lifetime = options_.division_lifetime_per_router * routers;
  if (account->division_valid && now < account->divided_at + lifetime) return;

  std::vector<ShareDivision::Demand> demands;
  demands.reserve(account->claims.size());
  for (const auto& [router_id, claim] : account->claims) {
    demands.push_back({router_id, claim.wanted});
  }
  Capacity divided = account->capacity();
  for (const auto part : kCapacityParts) divided.*part -= divided.*part / options_.reserve_divisor;
  const auto round = static_cast<std::uint64_t>(now / (options_.lease * kLeasesPerRound));
  account->division = ShareDivision(divided, demands, round);
  account->divided_at = now;
  account->division_valid = true;
}

void ShareLedger::DropLapsedClaims(Account* account, Instant now) {
  if (now < account->earliest_end) return;
  account->earliest_end = now + options_.lease;
  for (auto it = account->claims.begin(); it != account->claims.end();) {
    if (it->second.ends <= now) {
      account->amount = Difference(account->amount, it->second.amount);
      SubtractCommitted(account, it->second);
      it = account->claims.erase(it);
      continue;
    }
    account->earliest_end = std::min(account->earliest_end, it->second.ends);
    ++it;
  }
}

void ShareLedger::DropLapsedRouters(Instant now) {
  if (now < next_sweep_) return;
  next_sweep_ = now + options_.lease;
  std::erase_if(routers_, [now](const auto& entry) { return entry.second.ends <= now; });
  for (auto& [organisation, account] : accounts_) DropLapsedClaims(&account, now);
  std::erase_if(accounts_, [](const auto& entry) {
    return entry.second.claims.empty() && entry.second.capacity() == Capacity{};
  });
}

void ShareLedger::RemoveClaim(const std::string& organisation, const std::string& router_id) {
  const auto found = accounts_.find(organisation);
  if (found == accounts_.end()) return;
  Account& account = found->second;
  const auto claim = account.claims.find(router_id);
  if (claim == account.claims.end()) return;
  account.amount = Difference(account.amount, claim->second.amount);
  SubtractCommitted(&account, claim->second);
  account.claims.erase(claim);
}

void ShareLedger::RemoveRouter(const std::string& router_id) {
  const auto router = routers_.find(router_id);
  for (const std::string& organisation : router->second.organisations) {
    RemoveClaim(organisation, router_id);
  }
  routers_.erase(router);
}

std::vector<ShareGrant> ShareLedger::SameGrantsAgain(const LeaseRequest& request) const {
  std::vector<ShareGrant> grants;
  for (const ShareRequest& share : request.shares) {
    const auto account = accounts_.find(share.organisation);
    if (account == accounts_.end()) continue;
    const auto claim = account->second.claims.find(request.router_id);
    if (claim == account->second.claims.end()) continue;
    grants.push_back({share.organisation, claim->second.granted});
  }
  return grants;
}

}  // namespace kumquat

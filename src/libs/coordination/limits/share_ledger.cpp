#include "coordination/limits/share_ledger.h"

#include <algorithm>
#include <set>

#include "coordination/limits/capacity_math.h"

namespace kumquat {
namespace {

using Internal::Difference;
using Internal::ElementwiseMax;
using Internal::ElementwiseMin;
using Internal::kCapacityFields;
using Internal::Sum;

// The routers that get the remainder of the integer division (see ShareDivision) are chosen anew
// after this many leases.
constexpr std::int64_t kLeasesPerRotation = 4;

}  // namespace

ShareLedger::ShareLedger(ShareLedgerOptions options, Instant now)
    : options_(options), term_start_(now), next_sweep_(now + options.lease) {}

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
  const bool shrinks = Internal::AnyFieldBelow(capacity, account.capacity());
  if (!shrinks) {
    account.periods.back().capacity = capacity;
    return;
  }
  account.periods.push_back({capacity, {}, std::nullopt});
  for (auto& [router_id, claim] : account.claims) claim.granted_since_start.emplace_back();
}

// Returns how much may be granted such that the outstanding grants made since the start of each
// period stay within its limit: the largest capacity of that period and all later ones.
Capacity ShareLedger::RoomInPeriods(const Account& others) {
  Capacity room = Difference(others.capacity(), others.periods.back().granted_since_start);
  Capacity largest = others.capacity();
  for (auto period = others.periods.rbegin(); period != others.periods.rend(); ++period) {
    largest = ElementwiseMax(largest, period->capacity);
    room = ElementwiseMin(room, Difference(largest, period->granted_since_start));
  }
  return room;
}

void ShareLedger::AddToPeriods(Account* account, const Claim& claim) {
  for (std::size_t i = 0; i < account->periods.size(); ++i) {
    account->periods[i].granted_since_start =
        Sum(account->periods[i].granted_since_start, claim.granted_since_start[i]);
  }
}

void ShareLedger::SubtractFromPeriods(Account* account, const Claim& claim) {
  for (std::size_t i = 0; i < account->periods.size(); ++i) {
    account->periods[i].granted_since_start =
        Difference(account->periods[i].granted_since_start, claim.granted_since_start[i]);
  }
}

void ShareLedger::DropExpiredPeriods(Account* account, Instant now) const {
  for (std::size_t i = 0; i + 1 < account->periods.size(); ++i) {
    if (!account->periods[i].superseded_at) account->periods[i].superseded_at = now;
  }
  while (account->periods.size() > 1 &&
         now >= *account->periods.front().superseded_at + options_.lease) {
    account->periods.erase(account->periods.begin());
    for (auto& [router_id, claim] : account->claims)
      claim.granted_since_start.erase(claim.granted_since_start.begin());
  }
}

std::vector<ShareGrant> ShareLedger::Renew(const LeaseRequest& request, Instant now) {
  DropExpiredRouters(now);
  if (const auto known = routers_.find(request.router_id); known != routers_.end()) {
    const Router& router = known->second;
    if (request.router_incarnation < router.incarnation) return {};
    if (request.router_incarnation > router.incarnation) {
      RemoveRouter(request.router_id);
    } else if (request.sequence < router.sequence) {
      return {};
    } else if (request.sequence == router.sequence) {
      return RepeatGrants(request);
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
  DropExpiredClaims(account, now);
  DropExpiredPeriods(account, now);
  Claim& claim = account->claims[router_id];
  claim.granted_since_start.resize(account->periods.size());
  claim.wanted = request.wanted;
  UpdateDivisionIfDue(account, now);
  account->amount = Difference(account->amount, claim.amount);
  SubtractFromPeriods(account, claim);

  // In its first lease a new leader has no record of earlier grants and must accept what the router
  // reports. After that its own record is the upper bound.
  const Capacity held =
      confirming_only(now) ? request.held : ElementwiseMin(request.held, claim.amount);
  const Capacity fair_share = account->division.ShareOf({router_id, claim.wanted});
  claim.granted = ElementwiseMin(fair_share, MaxGrant(*account, held, now));
  claim.amount = ElementwiseMax(held, claim.granted);
  for (Capacity& granted_since_start : claim.granted_since_start) {
    granted_since_start = ElementwiseMax(ElementwiseMin(held, granted_since_start), claim.granted);
  }
  claim.lease_end = now + options_.lease;

  account->amount = Sum(account->amount, claim.amount);
  AddToPeriods(account, claim);
  account->earliest_lease_end = std::min(account->earliest_lease_end, claim.lease_end);
  return claim.granted;
}

// `others` has the sums without the router's own claim. While more is outstanding than the capacity
// (it was reduced, or late requests reported held shares to a new leader), each router may keep
// what it holds as far as the grants made since then leave room.
Capacity ShareLedger::MaxGrant(const Account& others, const Capacity& held, Instant now) const {
  const Capacity room = RoomInPeriods(others);
  Capacity result;
  for (const auto field : kCapacityFields) {
    const std::int64_t capacity = others.capacity().*field;
    const std::int64_t free = capacity - others.amount.*field;
    const std::int64_t reserve = capacity / options_.reserve_divisor;
    // A router without a share gets at most half of what is free, as more new routers may follow.
    const std::int64_t raised = held.*field == 0 ? (free + 1) / 2 : free - reserve;
    const std::int64_t kept = std::min(held.*field, room.*field);
    const std::int64_t limit = confirming_only(now) ? kept : std::max(raised, kept);
    result.*field = std::max<std::int64_t>(limit, 0);
  }
  return result;
}

void ShareLedger::UpdateDivisionIfDue(Account* account, Instant now) {
  const auto routers = static_cast<std::int64_t>(account->claims.size());
  const Duration lifetime = options_.division_lifetime_per_router * routers;
  if (account->division_valid && now < account->divided_at + lifetime) return;

  std::vector<ShareDivision::Demand> demands;
  demands.reserve(account->claims.size());
  for (const auto& [router_id, claim] : account->claims) {
    demands.push_back({router_id, claim.wanted});
  }
  Capacity pool = account->capacity();
  for (const auto field : kCapacityFields) pool.*field -= pool.*field / options_.reserve_divisor;
  const auto rotation = static_cast<std::uint64_t>(now / (options_.lease * kLeasesPerRotation));
  account->division = ShareDivision(pool, demands, rotation);
  account->divided_at = now;
  account->division_valid = true;
}

void ShareLedger::DropExpiredClaims(Account* account, Instant now) {
  if (now < account->earliest_lease_end) return;
  account->earliest_lease_end = now + options_.lease;
  for (auto it = account->claims.begin(); it != account->claims.end();) {
    if (it->second.lease_end <= now) {
      account->amount = Difference(account->amount, it->second.amount);
      SubtractFromPeriods(account, it->second);
      it = account->claims.erase(it);
      continue;
    }
    account->earliest_lease_end = std::min(account->earliest_lease_end, it->second.lease_end);
    ++it;
  }
}

void ShareLedger::DropExpiredRouters(Instant now) {
  if (now < next_sweep_) return;
  next_sweep_ = now + options_.lease;
  std::erase_if(routers_, [now](const auto& entry) { return entry.second.lease_end <= now; });
  for (auto& [organisation, account] : accounts_) DropExpiredClaims(&account, now);
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
  SubtractFromPeriods(&account, claim->second);
  account.claims.erase(claim);
}

void ShareLedger::RemoveRouter(const std::string& router_id) {
  const auto router = routers_.find(router_id);
  for (const std::string& organisation : router->second.organisations) {
    RemoveClaim(organisation, router_id);
  }
  routers_.erase(router);
}

std::vector<ShareGrant> ShareLedger::RepeatGrants(const LeaseRequest& request) const {
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

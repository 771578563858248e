#include "coordination/in_force/in_force_tracker.h"

#include <algorithm>

namespace kumquat {

void InForceTracker::OnReport(const std::string& router_id, std::int64_t incarnation,
                              const Revisions& held) {
  const auto router = routers_.find({router_id, incarnation});
  if (router == routers_.end()) return;
  for (Lease& lease : router->second) {
    lease.revisions.plans = std::max(lease.revisions.plans, held.plans);
    lease.revisions.allowances = std::max(lease.revisions.allowances, held.allowances);
  }
}

void InForceTracker::OnLeaseGranted(const std::string& router_id, std::int64_t incarnation,
                                    const Revisions& answered, Instant received) {
  std::vector<Lease>& leases = routers_[{router_id, incarnation}];
  const Instant ends = received + lease_;
  const auto same = std::find_if(leases.begin(), leases.end(),
                                 [&](const Lease& lease) { return lease.revisions == answered; });
  if (same == leases.end()) {
    leases.push_back({answered, ends});
  } else {
    same->ends = std::max(same->ends, ends);
  }
}

bool InForceTracker::InForce(ListName list, std::int64_t revision, Instant now) const {
  if (now < term_began_ + lease_) return false;
  return std::all_of(routers_.begin(), routers_.end(), [&](const auto& router) {
    return std::all_of(router.second.begin(), router.second.end(), [&](const Lease& lease) {
      return lease.ends <= now || lease.revisions.Of(list) >= revision;
    });
  });
}

void InForceTracker::Expire(Instant now) {
  for (auto& [router, leases] : routers_) {
    std::erase_if(leases, [&](const Lease& lease) { return lease.ends <= now; });
  }
  std::erase_if(routers_, [](const auto& router) { return router.second.empty(); });
}

}  // namespace kumquat

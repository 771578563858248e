#include "coordination/forwarding/backend_pool.h"

#include <algorithm>
#include <span>
#include <utility>

#include "utils/durations.h"

namespace kumquat {
namespace {

// Bounds of the backoff after a failed call; each consecutive failure doubles it.
constexpr Duration kMinBackoff = std::chrono::milliseconds(150);
constexpr Duration kMaxBackoff = std::chrono::seconds(2);
// Bounds of the backoff after another server answered at its address. They are longer, since that
// is seldom a mistake: if every router still sent a request there each second, they would use up
// the repeat budget of the service.
constexpr Duration kMinMisdirectedBackoff = std::chrono::seconds(1);
constexpr Duration kMaxMisdirectedBackoff = std::chrono::seconds(60);
// Weight of the newest answer in the moving average of failures.
constexpr double kFailureRateWeight = 0.15;
// Cost of a failure rate of 1, in the unit of the load: requests per slot.
constexpr double kFailureRateCost = 4;
// Cost of another failure domain, in the same unit: the network adds a millisecond or so each way.
constexpr double kOtherDomainCost = 0.3;

void Fill(const MemberRecord& record, PooledBackend* backend) {
  const Announcement& announcement = *record.backend;
  backend->endpoint = record.endpoint;
  backend->failure_domain = record.failure_domain;
  backend->service = announcement.service;
  backend->software_version = announcement.software_version;
  backend->slots = std::max<std::int64_t>(1, announcement.concurrent_requests);
  backend->is_leaving = record.leaving;
  for (const ModelVersion& model : announcement.models) {
    std::int64_t& known = backend->weights[model.model];
    known = std::max(known, model.VersionNumber());
  }
}

}  // namespace

std::int64_t PooledBackend::VersionOf(std::string_view model) const {
  const auto found = weights.find(model);
  return found != weights.end() ? found->second : 0;
}

void BackendPool::Update(const MemberRecord& record) {
  if (!record.backend) return;
  auto& backend = backends_[record.id];
  if (!backend || record.incarnation > backend->incarnation) {
    backend = std::make_unique<PooledBackend>();
    backend->id = record.id;
    backend->incarnation = record.incarnation;
  }
  if (record.incarnation == backend->incarnation) Fill(record, backend.get());
}

void BackendPool::Retain(const std::function<bool(std::string_view id)>& is_known) {
  std::erase_if(backends_, [&](const auto& entry) {
    return entry.second->in_flight == 0 && !is_known(entry.first);
  });
}

PooledBackend* BackendPool::Find(const BackendChoice& choice) {
  const auto found = backends_.find(choice.backend_id);
  if (found == backends_.end() || found->second->incarnation != choice.incarnation) return nullptr;
  return found->second.get();
}

std::vector<PooledBackend*> BackendPool::Candidates(std::string_view service,
                                                    std::span<const BackendChoice> avoid,
                                                    Instant now, const Filter& filter) {
  std::vector<PooledBackend*> usable;
  std::vector<PooledBackend*> unusable;
  for (const auto& [id, backend] : backends_) {
    if (backend->service != service || backend->is_leaving) continue;
    if (std::find(avoid.begin(), avoid.end(), backend->choice()) != avoid.end()) continue;
    if (filter && !filter(*backend)) continue;
    (backend->is_usable(now) ? usable : unusable).push_back(backend.get());
  }
  return usable.empty() ? unusable : usable;
}

std::vector<PooledBackend*> BackendPool::DueForProbe(Instant now) {
  std::vector<PooledBackend*> due;
  for (const auto& [id, backend] : backends_) {
    const bool is_due = backend->needs_probe && now >= backend->backoff_until;
    if (is_due && !backend->is_leaving) due.push_back(backend.get());
  }
  return due;
}

const PooledBackend* BackendPool::PickProbeWitness(const BackendChoice& suspect, Instant now,
                                                   const Random& random) {
  const PooledBackend* witness = nullptr;
  std::uint64_t eligible = 0;
  for (const auto& [id, backend] : backends_) {
    const bool is_healthy =
        backend->is_usable(now) && backend->failures == 0 && !backend->is_leaving;
    if (!is_healthy || backend->choice() == suspect) continue;
    if (random() % ++eligible == 0) witness = backend.get();
  }
  return witness;
}

bool BackendPool::HasAny(std::string_view service) const {
  return std::any_of(backends_.begin(), backends_.end(), [service](const auto& entry) {
    return entry.second->service == service && !entry.second->is_leaving;
  });
}

bool BackendPool::HasVersion(std::string_view service, std::string_view software_version,
                             const BackendChoice& except) const {
  return std::any_of(backends_.begin(), backends_.end(), [&](const auto& entry) {
    const PooledBackend& backend = *entry.second;
    return backend.service == service && backend.software_version == software_version &&
           !backend.is_leaving && backend.choice() != except;
  });
}

void BackendPool::OnAnswer(PooledBackend& backend, bool is_failure) {
  backend.failures = 0;
  backend.backoff_until = Instant(0);
  backend.needs_probe = false;
  backend.misdirected = 0;
  backend.failure_rate += kFailureRateWeight * ((is_failure ? 1.0 : 0.0) - backend.failure_rate);
}

void BackendPool::OnFailure(PooledBackend& backend, CallFailure failure, Instant now) {
  backend.failure_rate += kFailureRateWeight * (1.0 - backend.failure_rate);
  // An answer that broke off is weaker evidence than a connection that failed, so it causes no
  // backoff.
  if (failure == CallFailure::kBroken) return;
  backend.needs_probe = true;
  backend.backoff_until = now + DoubledPause(kMinBackoff, kMaxBackoff, backend.failures);
  ++backend.failures;
}

void BackendPool::OnMisdirected(PooledBackend& backend, Instant now) {
  backend.backoff_until =
      now + DoubledPause(kMinMisdirectedBackoff, kMaxMisdirectedBackoff, backend.misdirected);
  ++backend.misdirected;
}

void BackendPool::OnReachable(PooledBackend& backend) {
  backend.needs_probe = false;
  backend.backoff_until = Instant(0);
}

PooledBackend* ChooseLeastBusy(std::span<PooledBackend* const> candidates,
                               std::string_view failure_domain, const Random& random) {
  PooledBackend* best = nullptr;
  double best_cost = 0;
  std::uint64_t ties = 0;
  for (PooledBackend* candidate : candidates) {
    double cost =
        static_cast<double>(candidate->in_flight + 1) / static_cast<double>(candidate->slots);
    cost += kFailureRateCost * candidate->failure_rate;
    if (candidate->failure_domain != failure_domain) cost += kOtherDomainCost;
    const bool is_tie = best && cost == best_cost;
    ties = is_tie ? ties + 1 : 1;
    const bool is_better = !best || cost < best_cost || (is_tie && random() % ties == 0);
    if (!is_better) continue;
    best = candidate;
    best_cost = cost;
  }
  return best;
}

}  // namespace kumquat

#include "coordination/forwarding/lost_runs.h"

#include <algorithm>
#include <utility>

namespace kumquat {
namespace {

// A server that ends may take connections for this long after it lost those it had.
constexpr Duration kListenerLag = std::chrono::milliseconds(200);

}  // namespace

void LostRuns::Add(const BackendChoice& backend, LostRun run) {
  const auto known = backends_.find(backend.backend_id);
  if (known == backends_.end() && backends_.size() >= kMaxBackends) return;
  Backend& entry = backends_[backend.backend_id];
  if (entry.incarnation > backend.incarnation) return;
  if (entry.incarnation < backend.incarnation) entry = {backend.incarnation, false, Instant(0), {}};
  // Whether it was reachable before this loss says nothing about the loss.
  entry.was_reachable = false;
  entry.last_lost_at = run.lost_at;
  if (entry.runs.size() >= kMaxRuns && !run.is_past_beginning) {
    const auto replaced = std::find_if(entry.runs.begin(), entry.runs.end(),
                                       [](const LostRun& one) { return one.is_past_beginning; });
    if (replaced != entry.runs.end()) entry.runs.erase(replaced);
  }
  if (entry.runs.size() < kMaxRuns) entry.runs.push_back(std::move(run));
}

std::vector<LostRun> LostRuns::Take(const BackendChoice& backend, Instant now, Duration max_age) {
  const auto found = backends_.find(backend.backend_id);
  if (found == backends_.end() || found->second.incarnation != backend.incarnation) return {};
  std::vector<LostRun> runs = std::move(found->second.runs);
  backends_.erase(found);
  std::erase_if(runs, [&](const LostRun& run) { return now - run.lost_at > max_age; });
  return runs;
}

std::vector<LostRun> LostRuns::OnRefused(const BackendChoice& backend, Instant now) {
  return Take(backend, now, kRefusalWindow);
}

std::vector<LostRun> LostRuns::OnLaterIncarnation(const BackendChoice& backend, Instant now) {
  const auto found = backends_.find(backend.backend_id);
  const bool was_reachable = found != backends_.end() && found->second.was_reachable;
  return Take(backend, now, was_reachable ? kRefusalWindow : kRestartWindow);
}

void LostRuns::OnReachable(const BackendChoice& backend, Instant begun) {
  const auto found = backends_.find(backend.backend_id);
  if (found == backends_.end() || found->second.incarnation != backend.incarnation) return;
  if (begun - found->second.last_lost_at >= kListenerLag) found->second.was_reachable = true;
}

bool LostRuns::IsUnproven(const BackendChoice& backend, Instant now) const {
  const auto found = backends_.find(backend.backend_id);
  return found != backends_.end() && found->second.incarnation == backend.incarnation &&
         found->second.MayBeProven(now);
}

bool LostRuns::Backend::MayBeProven(Instant now) const {
  return !runs.empty() && !was_reachable && now - last_lost_at <= kRefusalWindow;
}

std::vector<BackendChoice> LostRuns::Unproven(Instant now) {
  std::vector<BackendChoice> unproven;
  for (auto& [id, backend] : backends_) {
    std::erase_if(backend.runs,
                  [&](const LostRun& run) { return now - run.lost_at > kRestartWindow; });
    if (backend.MayBeProven(now)) unproven.push_back({id, backend.incarnation});
  }
  std::erase_if(backends_, [](const auto& item) { return item.second.runs.empty(); });
  return unproven;
}

std::optional<BackendChoice> LostRuns::OlderIncarnation(std::string_view backend_id,
                                                        std::int64_t incarnation) const {
  const auto found = backends_.find(backend_id);
  if (found == backends_.end() || found->second.incarnation >= incarnation) return std::nullopt;
  return BackendChoice{found->first, found->second.incarnation};
}

}  // namespace kumquat

#include "coordination/forwarding/abandoned_runs.h"

#include <algorithm>
#include <utility>

namespace kumquat {

void AbandonedRuns::Add(const BackendChoice& backend, LostRun run, Instant ends_by) {
  const auto known = backends_.find(backend.backend_id);
  if (known == backends_.end() && backends_.size() >= kMaxBackends) return;
  Backend& entry = backends_[backend.backend_id];
  if (entry.incarnation > backend.incarnation) return;
  if (entry.incarnation < backend.incarnation) entry = {backend.incarnation, {}};
  if (entry.runs.size() >= kMaxRuns) entry.runs.erase(entry.runs.begin());
  const Instant latest_end = run.lost_at + kLongestRun;
  entry.runs.push_back({std::move(run), std::min(ends_by, latest_end)});
}

void AbandonedRuns::OnAnswering(const BackendChoice& backend, Instant now) {
  const auto found = backends_.find(backend.backend_id);
  if (found == backends_.end() || found->second.incarnation != backend.incarnation) return;
  std::erase_if(found->second.runs, [now](const Abandoned& one) { return one.ends_by <= now; });
  if (found->second.runs.empty()) backends_.erase(found);
}

void AbandonedRuns::OnLeaving(const BackendChoice& backend) {
  const auto found = backends_.find(backend.backend_id);
  if (found == backends_.end() || found->second.incarnation != backend.incarnation) return;
  backends_.erase(found);
}

std::vector<LostRun> AbandonedRuns::Take(const BackendChoice& backend, Instant now,
                                         Duration window) {
  const auto found = backends_.find(backend.backend_id);
  if (found == backends_.end() || found->second.incarnation != backend.incarnation) return {};
  std::vector<LostRun> runs;
  for (Abandoned& one : found->second.runs) {
    if (now - one.ends_by <= window) runs.push_back(std::move(one.run));
  }
  backends_.erase(found);
  return runs;
}

std::vector<LostRun> AbandonedRuns::OnRefused(const BackendChoice& backend, Instant now) {
  return Take(backend, now, LostRuns::kRefusalWindow);
}

std::vector<LostRun> AbandonedRuns::OnLaterIncarnation(const BackendChoice& backend, Instant now) {
  return Take(backend, now, LostRuns::kRestartWindow);
}

std::optional<BackendChoice> AbandonedRuns::OlderIncarnation(std::string_view backend_id,
                                                             std::int64_t incarnation) const {
  const auto found = backends_.find(backend_id);
  if (found == backends_.end() || found->second.incarnation >= incarnation) return std::nullopt;
  return BackendChoice{found->first, found->second.incarnation};
}

std::vector<BackendChoice> AbandonedRuns::Backends(Instant now) {
  std::vector<BackendChoice> backends;
  for (auto& [id, backend] : backends_) {
    std::erase_if(backend.runs, [now](const Abandoned& one) {
      return now - one.ends_by > LostRuns::kRestartWindow;
    });
    if (!backend.runs.empty()) backends.push_back({id, backend.incarnation});
  }
  std::erase_if(backends_, [](const auto& item) { return item.second.runs.empty(); });
  return backends;
}

std::size_t AbandonedRuns::size() const {
  std::size_t runs = 0;
  for (const auto& [id, backend] : backends_) runs += backend.runs.size();
  return runs;
}

}  // namespace kumquat

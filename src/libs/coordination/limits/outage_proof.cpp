#include "coordination/limits/outage_proof.h"

#include <algorithm>

#include "coordination/limits/usable_lease.h"

namespace kumquat {

OutageProof::OutageProof(Duration startup_quiet) : max_refusal_gap_(UsableLease(startup_quiet)) {}

void OutageProof::OnProbe(const std::string& voter, ProbeResult result, Instant sent,
                          Instant seen) {
  if (result != ProbeResult::kRefused) {
    streaks_.erase(voter);
    return;
  }
  const auto found = streaks_.find(voter);
  // The refusal happened at an unknown moment between `sent` and `seen`, so two refusals are at
  // most the time from the earlier `sent` to the later `seen` apart.
  if (found == streaks_.end() || seen - found->second.last_sent >= max_refusal_gap_) {
    streaks_[voter] = {seen, sent};
    return;
  }
  found->second.last_sent = std::max(found->second.last_sent, sent);
}

bool OutageProof::IsProvenSince(const std::vector<std::string>& voters, Instant moment,
                                Instant now) const {
  const auto proven_down = std::count_if(voters.begin(), voters.end(), [&](const auto& voter) {
    const auto found = streaks_.find(voter);
    if (found == streaks_.end()) return false;
    return found->second.first_seen <= moment && now - found->second.last_sent < max_refusal_gap_;
  });
  return !voters.empty() && static_cast<std::size_t>(proven_down) > voters.size() / 2;
}

}  // namespace kumquat

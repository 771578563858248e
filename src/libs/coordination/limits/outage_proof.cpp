#include "coordination/limits/outage_proof.h"

#include <algorithm>

#include "coordination/limits/usable_lease.h"

namespace kumquat {

OutageProof::OutageProof(Duration startup_quiet) : longest_gap_(UsableLease(startup_quiet)) {}

void OutageProof::OnProbe(const std::string& voter, ProbeResult result, Instant sent,
                          Instant seen) {
  if (result != ProbeResult::kRefused) {
    chains_.erase(voter);
    return;
  }
  const auto found = chains_.find(voter);
  // The refusal itself lies somewhere between `sent` and `seen`, so the longest time between two
  // of them runs from the one's `sent` to the other's `seen`.
  if (found == chains_.end() || seen - found->second.last_sent >= longest_gap_) {
    chains_[voter] = {seen, sent};
    return;
  }
  found->second.last_sent = std::max(found->second.last_sent, sent);
}

bool OutageProof::Covers(const std::vector<std::string>& voters, Instant moment,
                         Instant now) const {
  const auto proven_down = std::count_if(voters.begin(), voters.end(), [&](const auto& voter) {
    const auto found = chains_.find(voter);
    if (found == chains_.end()) return false;
    return found->second.began <= moment && now - found->second.last_sent < longest_gap_;
  });
  return !voters.empty() && static_cast<std::size_t>(proven_down) > voters.size() / 2;
}

}  // namespace kumquat

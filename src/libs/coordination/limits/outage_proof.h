// Proof that a majority of the control replicas is down.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "utils/hooks.h"

namespace kumquat {

// Result of a connection attempt to a replica's address.
enum class ProbeResult {
  // The connection was refused: no process listens on the address.
  kRefused,
  // Anything else: accepted, timed out or unreachable. It proves nothing, and the voter's series of
  // refusals ends.
  kNotRefused,
};

// Tracks the probe results of each voter. A voter is proven down during a period in which every
// probe was refused and consecutive refusals are less than `startup_quiet` apart: a replica neither
// votes nor acknowledges during the first `startup_quiet` after it starts to listen, so it can't
// have done either between two such refusals.
class OutageProof {
 public:
  // `startup_quiet` is the value that the replicas use; the margin for clock drift is subtracted
  // here.
  explicit OutageProof(Duration startup_quiet);

  // Records the result of a probe that was sent at `sent` and answered at `seen`, both on this
  // router's clock.
  void OnProbe(const std::string& voter, ProbeResult result, Instant sent, Instant seen);

  // Returns whether a majority of the voters has been proven down without interruption from
  // `moment` or earlier until `now`.
  bool IsProvenSince(const std::vector<std::string>& voters, Instant moment, Instant now) const;

 private:
  // An unbroken series of refused probes of one voter.
  struct RefusalStreak {
    // When the first refusal was observed.
    Instant first_seen;
    // When the newest refused probe was sent.
    Instant last_sent;
  };

  Duration max_refusal_gap_;
  std::map<std::string, RefusalStreak> streaks_;
};

}  // namespace kumquat

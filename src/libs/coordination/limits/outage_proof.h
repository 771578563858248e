// Proof that a majority of the control replicas is down.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "utils/hooks.h"

namespace kumquat {

// What a probe of a replica's address showed.
enum class ProbeResult {
  // The connection was refused: nothing listens there.
  kRefused,
  // Anything else: accepted, silent, unreachable. It proves nothing and breaks the chain.
  kNotRefused,
};

// Follows the probes of each voter. A voter is proven down over a stretch of time in which every
// probe was refused and consecutive refusals lie closer together than `startup_quiet`: a replica
// neither votes nor acknowledges in its first `startup_quiet` after it begins to listen, so it
// can't have done either between two such refusals.
class OutageProof {
 public:
  // `startup_quiet` is the replicas' own; a margin for clocks that run apart is taken off here.
  explicit OutageProof(Duration startup_quiet);

  // Takes one probe: begun at `sent` and decided at `seen`, on this router's clock.
  void OnProbe(const std::string& voter, ProbeResult result, Instant sent, Instant seen);

  // Returns whether a majority of the voters is proven down without a break from `moment` or
  // earlier until now.
  bool Covers(const std::vector<std::string>& voters, Instant moment, Instant now) const;

 private:
  // Consecutive refusals.
  struct Chain {
    Instant began;
    Instant last_sent;
  };

  Duration longest_gap_;
  std::map<std::string, Chain> chains_;
};

}  // namespace kumquat

// Decides until when requests may begin on weights that a newer version has replaced.
//
// No request may begin on them once they have been replaced for longer than a maximum lag. The
// expected wait of a request at its engine is an estimate that is too low under load. Two checks
// are therefore needed: a request that is expected to begin too late isn't sent, and a request that
// was sent and still hasn't begun shortly before the limit is cancelled at its engine.
#pragma once

#include <cstdint>
#include <string_view>

#include "coordination/orders/named_weights.h"
#include "utils/hooks.h"

namespace kumquat {

class WeightsLimit {
 public:
  // `named_weights` is not owned and must outlive this object.
  WeightsLimit(const NamedWeights* named_weights, Duration longest_lag)
      : named_weights_(named_weights), longest_lag_(longest_lag) {}

  // Returns whether a request that is sent now, and expected to wait at its engine for
  // `expected_wait`, may begin after the maximum lag.
  bool BeginsTooLate(std::string_view model, std::int64_t version, Duration expected_wait,
                     Instant now) const;

  // Returns whether a request that still waits at its engine must be cancelled now.
  bool MustCancel(std::string_view model, std::int64_t version, Instant now) const;

 private:
  const NamedWeights* named_weights_;
  Duration longest_lag_;
};

}  // namespace kumquat

// Decides until when requests may begin on weights that were replaced.
//
// Past a longest lag no request may begin on them. How long a request waits at its engine is only
// an estimate, which load makes too low, so that two limits are needed: what is expected to begin
// too late isn't sent, and what was sent and hasn't begun shortly before is taken back.
#pragma once

#include <cstdint>
#include <string_view>

#include "coordination/orders/named_weights.h"
#include "utils/hooks.h"

namespace kumquat {

class WeightsLimit {
 public:
  // The names outlive the limit.
  WeightsLimit(const NamedWeights* named_weights, Duration longest_lag)
      : named_weights_(named_weights), longest_lag_(longest_lag) {}

  // Returns whether a request that is sent now, and expected to wait for so long at its engine, may
  // begin past the longest lag.
  bool BeginsTooLate(std::string_view model, std::int64_t version, Duration expected_wait,
                     Instant now) const;

  // Returns whether a request that still waits at its engine has to be taken back.
  bool MustTakeBack(std::string_view model, std::int64_t version, Instant now) const;

 private:
  const NamedWeights* named_weights_;
  Duration longest_lag_;
};

}  // namespace kumquat

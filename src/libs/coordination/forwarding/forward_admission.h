// Decides whether a request is still worth sending, and when a caller that is refused comes back.
//
// The load that it answers: for some seconds engines get more than they can do, because some of
// them crashed or load weights. Then a request that is sent all the same begins late, and makes
// those behind it late, until callers give up before their first event and nobody is served. A
// request that would begin too late is refused at once instead, so that the engines' time goes to
// those that they can serve.
#pragma once

#include "utils/hooks.h"

namespace kumquat {

struct ForwardAdmissionOptions {
  // A request is sent if it is expected to begin within this part of its objective. Less than all
  // of it, since requests begin somewhat later than expected (docs/MEASUREMENTS.md).
  double begin_within = 0.7;
};

class ForwardAdmission {
 public:
  ForwardAdmission(const ForwardAdmissionOptions& options, Random random);

  // Returns whether a request would begin too late that has waited for so long and would begin
  // after `expected` on the best engine.
  bool IsTooLate(Duration objective, Duration waited, Duration expected) const;

  // Returns when to come back where engines have too much to do. Overload lasts for seconds, and
  // callers come back once or twice only, so the time grows with what the caller has left; it is
  // drawn, so that those who are refused together don't come back together.
  Duration ComeBackAfterOverload(Duration time_left) const;

  // Returns when to come back to a router that has just started and doesn't know the configuration
  // yet.
  Duration ComeBackAfterStart() const;

 private:
  Duration DrawBetween(Duration lowest, Duration highest) const;

  ForwardAdmissionOptions options_;
  Random random_;
};

}  // namespace kumquat

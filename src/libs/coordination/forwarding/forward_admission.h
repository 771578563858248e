// Admission control for forwarded requests: decides whether a request can still be served in time,
// and when a refused caller should retry.
//
// It handles overload of some seconds, when engines crash or load weights and the rest get more
// than they can do. If requests were still sent then, each would begin late and delay those queued
// behind it, until callers give up before their first event and nobody is served. A request that
// would begin too late is therefore refused at once, so that the engines' time goes to requests
// that they can serve in time.
#pragma once

#include "utils/hooks.h"

namespace kumquat {

struct ForwardAdmissionOptions {
  // A request is sent if it is expected to begin within this share of its latency objective. The
  // share is below 1 because requests begin somewhat later than expected (docs/MEASUREMENTS.md).
  double begin_within = 0.7;
};

class ForwardAdmission {
 public:
  ForwardAdmission(const ForwardAdmissionOptions& options, Random random);

  // Returns whether a request would begin too late for its objective, when it has already waited
  // for `waited` and is expected to begin `expected` from now on the best engine.
  bool IsTooLate(Duration objective, Duration waited, Duration expected) const;

  // Returns how long the queue of an engine may be for a request to fit that hasn't waited, and of
  // which the time until it begins is `own_time` without a queue. Not positive if none may.
  Duration LongestQueue(Duration objective, Duration own_time) const;

  // Returns how long a queue lasts if this share of the engine's time, from 0 to 1, goes to more
  // urgent requests that come later and are admitted first.
  static Duration OvertakenQueue(Duration queue_time, double more_urgent_share);

  // Returns whether a request that the engine begins with after `queue_time` takes the last part of
  // the queues that still let requests begin in time. While requests wait, it is kept for those
  // organisations that use less.
  bool TakesLastRoom(Duration objective, Duration queue_time) const;

  // Returns whether a request that hasn't run can't be on time any more, so that waiting on is of
  // no use: it would begin after more than twice its objective.
  static bool IsHopeless(Duration objective, Duration waited, Duration expected);

  // Returns after what delay the caller of a hopeless request should retry: when the engines have
  // worked off so much that a request expected to begin after `expected` now would begin in time,
  // but at most after a third of the time left. Drawn at random around that.
  Duration RetryAfterBacklog(Duration objective, Duration expected, Duration time_left) const;

  // Returns after what delay a caller should retry when the engines are overloaded. `time_left` is
  // the time until its deadline. Overload lasts for seconds and callers retry only once or twice,
  // so the delay grows with the time left. It is random, so that callers that were refused together
  // don't retry together.
  Duration RetryAfterOverload(Duration time_left) const;

  // Returns after what delay, drawn at random, a caller should retry when the router has just
  // started and doesn't know the configuration yet.
  Duration RetryAfterStart() const;

  // Returns after what delay, drawn at random, a caller should retry when this router shuts down
  // and others can serve the request.
  Duration RetryAfterElsewhere() const;

 private:
  // Returns after what time requests with this objective may begin.
  Duration BeginsWithin(Duration objective) const;
  // Returns a random duration between the bounds, both included.
  Duration DrawBetween(Duration lowest, Duration highest) const;

  ForwardAdmissionOptions options_;
  Random random_;
};

}  // namespace kumquat

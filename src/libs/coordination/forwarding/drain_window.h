// Decides, during a planned stop, which requests a router still takes on and when the stop ends.
//
// The load balancer goes on sending connections until it has noticed that the router isn't ready.
// A request that is taken on too late would be cut at the end of the grace period with its outcome
// unknown; one that is refused at once as not run is served by another router.
#pragma once

#include "utils/hooks.h"

namespace kumquat {

class DrainWindow {
 public:
  // The process was asked to stop at `asked`, and ends before `grace` has passed from then on.
  // Since `told` it tells the load balancer so, which is later where the process was busy.
  DrainWindow(Instant asked, Instant told, Duration grace)
      : asked_(asked), told_(told), grace_(grace) {}

  // Returns whether the load balancer may still send new connections.
  bool IsBalancerUnaware(Instant now) const;

  // Returns whether a request that is read now is taken on. `longest` is how long its answer may
  // take; a `once_only` request may not be sent again after its answer is lost.
  bool TakesOn(Instant now, Duration longest, bool once_only) const;

  // Returns when requests that are still in progress get their final answer.
  Instant answers_due() const;

  // Returns when the process ends, even if answers are still being written.
  Instant ends() const;

 private:
  // How long the load balancer takes to notice.
  Duration DetectionTime() const;

  Instant asked_;
  Instant told_;
  Duration grace_;
};

}  // namespace kumquat

// Limits how often one router sends requests again, so that all routers together stay within what a
// service allows.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace kumquat {

// What a service allows over all routers in any time window of a fixed length: up to
// `ratio` x requests + `slack` repeats. A repeat is a send that arrives at a backend server after
// another one of the same request, even if it is refused there. A send that resumes a run from a
// copy is no repeat if the engine accepts it.
struct RepeatAllowance {
  double ratio = 0.2;
  double slack = 50;
};

// A token bucket for each service. Each request adds `ratio` tokens and each repeat takes one. The
// capacity of a bucket is this router's share of 80% of the slack, and at least 1, so that the
// repeats of all routers stay within the allowance in any time window without a coordinator that
// hands out shares. Buckets start empty, since the previous run of a restarted router may have used
// up the share a moment before.
class RepeatBudget {
 public:
  explicit RepeatBudget(const RepeatAllowance& allowance) : allowance_(allowance) {}

  // Sets the number of routers among which the slack is divided; 0 while it isn't known, when each
  // service has a single repeat beside those that requests add.
  void SetRouters(std::int64_t routers);
  std::int64_t routers() const { return routers_; }

  // A request for the service arrived; adds to its bucket.
  void OnRequest(const std::string& service);

  // Takes one repeat for the service; false when none is left.
  bool TryRepeat(const std::string& service);

  // Takes `count` repeats, or none, for what may wait: leaves one to those that can't, unless the
  // bucket is full.
  bool TryOptionalRepeats(const std::string& service, int count);

  // Gives back a repeat that was taken but not used.
  void ReturnRepeat(const std::string& service);

  // Returns how many repeats the service's bucket holds, with fractions.
  double available(const std::string& service) const;

 private:
  double BucketCapacity() const;

  RepeatAllowance allowance_;
  std::int64_t routers_ = 0;
  std::map<std::string, double> available_;
};

}  // namespace kumquat

// Bounds what one router sends beyond the first arrival of each request, so that all routers
// together stay within what a service allows.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace kumquat {

// What a service allows in any stretch of time of a fixed length, over all routers: arrivals beyond
// the first of each request up to `ratio` x requests + `slack`.
struct RepeatAllowance {
  double ratio = 0.2;
  double slack = 50;
};

// A bucket for each service. A request pays in `ratio`; a repeat takes one. What may be saved up is
// this router's part of the slack, so that in any stretch of time the repeats of all routers stay
// within the allowance without anyone handing out shares. A router that starts begins with nothing:
// the one before it may have used the part up a moment ago.
class RepeatBudget {
 public:
  explicit RepeatBudget(const RepeatAllowance& allowance) : allowance_(allowance) {}

  // Sets among how many routers the slack is divided.
  void SetRouters(std::int64_t routers);

  // A request for the service came in.
  void OnRequest(const std::string& service);

  // Takes one repeat; false when there is none left.
  bool TryRepeat(const std::string& service);

  // Returns what is saved up for the service, for metrics.
  double saved(const std::string& service) const;

 private:
  double MaxSaved() const;

  RepeatAllowance allowance_;
  std::int64_t routers_ = 1;
  std::map<std::string, double> saved_;
};

}  // namespace kumquat

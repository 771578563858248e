// Counts the repeats that arrive at engines against what a service allows in any window.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

#include "coordination/forwarding/repeat_budget.h"
#include "utils/hooks.h"

namespace kumquat {

// Arrivals by the rule's count, and by the stricter one in which a run that goes on counts too. All
// have to be told in the order of their times.
class RepeatArrivals {
 public:
  // Windows of length `window` are looked at that end at multiples of `step`.
  RepeatArrivals(const RepeatAllowance& allowance, Duration window, Duration step)
      : allowance_(allowance), window_(window), step_(step) {}

  void OnRequest(Instant now) { requests_.push_back(now); }
  void OnRepeat(Instant now) { repeats_.push_back(now); }
  void OnSameRun(Instant now) { same_runs_.push_back(now); }

  std::size_t repeats() const { return repeats_.size(); }
  std::size_t same_runs() const { return same_runs_.size(); }

  // Returns by how much the repeats of the worst window that ends from `begin` to `end` exceed the
  // allowance; negative if they are within it.
  double WorstExcess(Instant begin, Instant end) const { return WorstExcess(repeats_, begin, end); }
  double WorstStrictExcess(Instant begin, Instant end) const {
    std::vector<Instant> all = repeats_;
    all.insert(all.end(), same_runs_.begin(), same_runs_.end());
    std::sort(all.begin(), all.end());
    return WorstExcess(all, begin, end);
  }

 private:
  static double Count(const std::vector<Instant>& times, Instant after, Instant until) {
    return static_cast<double>(std::upper_bound(times.begin(), times.end(), until) -
                               std::upper_bound(times.begin(), times.end(), after));
  }

  double WorstExcess(const std::vector<Instant>& repeats, Instant first, Instant last) const {
    double worst = -allowance_.slack;
    for (Instant end = first; end <= last; end += step_) {
      const Instant begin = end - window_;
      const double requests =
          std::max({Count(requests_, begin, end), Count(requests_, begin - window_, begin),
                    Count(requests_, begin - window_ / 2, end - window_ / 2)});
      const double allowed = allowance_.ratio * requests + allowance_.slack;
      worst = std::max(worst, Count(repeats, begin, end) - allowed);
    }
    return worst;
  }

  RepeatAllowance allowance_;
  Duration window_;
  Duration step_;
  std::vector<Instant> requests_;
  std::vector<Instant> repeats_;
  std::vector<Instant> same_runs_;
};

}  // namespace kumquat

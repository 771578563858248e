// Limits the retries of a router, beyond the first few of each request, to an initial budget plus a
// fraction of its successful requests.
#pragma once

#include <optional>

#include "utils/hooks.h"

namespace kumquat {

struct RetryBudgetOptions {
  // The first retries of each request are not charged to the budget, because a request that was
  // accepted once should be resumed.
  int free_retries = 2;
  // Retries that each successful request adds to the budget.
  double retries_per_success = 0.1;
  // The initial and the maximum budget, in retries.
  double max_budget = 20;
  // Upper bound of the backoff before the first retry. It doubles with each further retry up to
  // `max_backoff`. The actual backoff is random, between half of the bound and the bound.
  Duration initial_backoff = std::chrono::milliseconds(20);
  Duration max_backoff = std::chrono::seconds(2);
};

// Decides whether a failed request may be retried, and after which backoff.
class RetryBudget {
 public:
  RetryBudget(RetryBudgetOptions options, Random random);

  void OnSuccess();

  // Returns the jittered backoff before the next retry, and charges the retry to the budget unless
  // it is free. Returns nothing, and charges nothing, when the budget is used up or the retry would
  // not begin before the deadline. `retries_before` is the number of retries that this request has
  // already made.
  std::optional<Duration> TryRetry(int retries_before, Instant now, Instant deadline);

 private:
  RetryBudgetOptions options_;
  Random random_;
  double budget_;
};

}  // namespace kumquat

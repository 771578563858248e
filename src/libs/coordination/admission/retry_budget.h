// Bounds the retries of one router to a share of its successes.
#pragma once

#include <optional>

#include "utils/hooks.h"

namespace kumquat {

struct RetryBudgetOptions {
  // First retries of each request that cost nothing: an accepted request is worth its resumption.
  int free_retries = 2;
  // Retries that each success pays for.
  double retries_per_success = 0.1;
  // Retries that a router may make before its first success, and the most that it may save up.
  double most_saved = 20;
  // Backoff before the first retry; it doubles with each further one.
  Duration shortest_backoff = std::chrono::milliseconds(20);
  Duration longest_backoff = std::chrono::seconds(2);
};

// Says whether and when to try again.
class RetryBudget {
 public:
  RetryBudget(RetryBudgetOptions options, Random random);

  void OnSuccess();

  // Takes one retry from the budget, where it isn't free, and returns the jittered time to wait
  // before it. Nothing when the budget is used up, or the retry would begin past the deadline.
  // `retries_before` counts the request's own retries so far.
  std::optional<Duration> TryRetry(int retries_before, Instant now, Instant deadline);

 private:
  RetryBudgetOptions options_;
  Random random_;
  double saved_;
};

}  // namespace kumquat

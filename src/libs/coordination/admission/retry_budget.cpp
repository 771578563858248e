#include "coordination/admission/retry_budget.h"

#include <algorithm>
#include <utility>

namespace kumquat {

RetryBudget::RetryBudget(RetryBudgetOptions options, Random random)
    : options_(options), random_(std::move(random)), budget_(options.max_budget) {}

void RetryBudget::OnSuccess() {
  budget_ = std::min(budget_ + options_.retries_per_success, options_.max_budget);
}

std::optional<Duration> RetryBudget::TryRetry(int retries_before, Instant now, Instant deadline) {
  const bool is_free = retries_before < options_.free_retries;
  if (!is_free && budget_ < 1) return std::nullopt;
  Duration upper_bound = options_.initial_backoff;
  for (int i = 0; i < retries_before && upper_bound < options_.max_backoff; ++i) upper_bound *= 2;
  upper_bound = std::min(upper_bound, options_.max_backoff);
  // Jitter over the upper half spreads the retries of requests that failed at the same time.
  const Duration half = upper_bound / 2;
  const auto spread = static_cast<std::uint64_t>((upper_bound - half).count()) + 1;
  const Duration backoff = half + Duration(static_cast<Duration::rep>(random_() % spread));
  if (now + backoff >= deadline) return std::nullopt;
  if (!is_free) budget_ -= 1;
  return backoff;
}

}  // namespace kumquat

#include "coordination/admission/retry_budget.h"

#include <algorithm>
#include <utility>

namespace kumquat {

RetryBudget::RetryBudget(RetryBudgetOptions options, Random random)
    : options_(options), random_(std::move(random)), saved_(options.most_saved) {}

void RetryBudget::OnSuccess() {
  saved_ = std::min(saved_ + options_.retries_per_success, options_.most_saved);
}

std::optional<Duration> RetryBudget::TryRetry(int retries_before, Instant now, Instant deadline) {
  const bool is_free = retries_before < options_.free_retries;
  if (!is_free && saved_ < 1) return std::nullopt;
  Duration most = options_.shortest_backoff;
  for (int i = 0; i < retries_before && most < options_.longest_backoff; ++i) most *= 2;
  most = std::min(most, options_.longest_backoff);
  // Anywhere in the upper half, so that requests that failed together come back apart.
  const Duration half = most / 2;
  const auto spread = static_cast<std::uint64_t>((most - half).count()) + 1;
  const Duration backoff = half + Duration(static_cast<Duration::rep>(random_() % spread));
  if (now + backoff >= deadline) return std::nullopt;
  if (!is_free) saved_ -= 1;
  return backoff;
}

}  // namespace kumquat

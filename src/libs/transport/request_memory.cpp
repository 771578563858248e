#include "transport/request_memory.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace kumquat {
namespace {

// Requests that have kept no more than this are dropped only when the limit is far exceeded, so
// that a few large ones don't drive out the many small ones of ordinary callers.
constexpr std::int64_t kSmallRequestBytes = 32 * 1024;
// The limit is far exceeded by a quarter of itself.
constexpr std::int64_t kFarExceededDivisor = 4;
// A request is alone while others keep no more than the limit divided by this.
constexpr std::int64_t kAloneDivisor = 2;
// How far below the limit a drop goes, as a part of it; spares a search for each arriving piece.
constexpr std::int64_t kSpareDivisor = 8;

// After a search that found too little, none is made for this long unless much more is kept: each
// visits all connections, and pieces of a byte may come by the thousand.
constexpr Duration kFutileInterval = std::chrono::milliseconds(20);
constexpr std::int64_t kFutileDivisor = 32;
// A request of which nothing came for this long doesn't come on. Slow links take less for the next
// piece.
constexpr Duration kStalledAfter = std::chrono::milliseconds(500);
// The rate of a younger request isn't known yet, and counts as if it had taken this long.
constexpr Duration kShortestAge = std::chrono::seconds(1);

struct Victim {
  std::int64_t number = 0;
  std::int64_t bytes = 0;
  bool is_stalled = false;
  double bytes_per_microsecond = 0;
  bool is_request = false;

  bool GoesBefore(const Victim& other) const {
    if (is_stalled != other.is_stalled) return is_stalled;
    return is_stalled ? bytes > other.bytes : bytes_per_microsecond < other.bytes_per_microsecond;
  }
};

}  // namespace

std::unique_ptr<RequestMemory::Account> RequestMemory::Open(Hooks hooks) {
  accounts_.emplace(++last_number_, std::move(hooks));
  return std::make_unique<Account>(this, last_number_);
}

std::vector<std::int64_t> RequestMemory::DroppableAccounts(Instant now) const {
  std::vector<Victim> victims;
  for (const auto& [number, hooks] : accounts_) {
    const auto droppable = hooks.droppable();
    if (!droppable) continue;
    const Duration age = std::max(kShortestAge, now - droppable->began_at);
    victims.push_back({number, droppable->bytes, now - droppable->last_input_at >= kStalledAfter,
                       static_cast<double>(droppable->bytes) / static_cast<double>(age.count()),
                       droppable->is_request});
  }
  if (victims.empty()) return {};
  std::sort(victims.begin(), victims.end(),
            [](const Victim& left, const Victim& right) { return left.GoesBefore(right); });
  // A single request is served whatever its size, unless much is kept of others beside it.
  const bool is_alone =
      victims.back().is_request && kept_bytes_ - victims.back().bytes <= max_bytes_ / kAloneDivisor;
  if (is_alone) victims.pop_back();
  const auto first_small =
      std::stable_partition(victims.begin(), victims.end(),
                            [](const Victim& victim) { return victim.bytes > kSmallRequestBytes; });
  const bool is_far_exceeded = kept_bytes_ > max_bytes_ + max_bytes_ / kFarExceededDivisor;
  if (!is_far_exceeded) victims.erase(first_small, victims.end());
  std::vector<std::int64_t> numbers;
  numbers.reserve(victims.size());
  for (const Victim& victim : victims) numbers.push_back(victim.number);
  return numbers;
}

bool RequestMemory::is_far_exceeded(std::int64_t own_bytes) const {
  return kept_bytes_ > max_bytes_ + max_bytes_ / kFarExceededDivisor &&
         kept_bytes_ - own_bytes > max_bytes_ / kAloneDivisor;
}

void RequestMemory::Enforce(Instant now) {
  if (!is_exceeded()) return;
  const bool is_futile = futile_at_ && now - *futile_at_ < kFutileInterval &&
                         kept_bytes_ - futile_bytes_ < max_bytes_ / kFutileDivisor;
  if (is_futile) return;
  futile_at_.reset();
  for (const std::int64_t number : DroppableAccounts(now)) {
    if (kept_bytes_ <= max_bytes_ - max_bytes_ / kSpareDivisor) return;
    // A drop may have closed other accounts.
    const auto account = accounts_.find(number);
    if (account == accounts_.end()) continue;
    const auto drop = account->second.drop;
    drop();
  }
  if (!is_exceeded()) return;
  futile_at_ = now;
  futile_bytes_ = kept_bytes_;
}

}  // namespace kumquat

#include "coordination/limits/share_holder.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "coordination/limits/capacity_math.h"
#include "coordination/limits/usable_lease.h"
#include "utils/durations.h"

namespace kumquat {
namespace {

using Internal::AnyPartBelow;
using Internal::kCapacityParts;

// What is asked for above the measured demand.
constexpr double kHeadroom = 2;
// Requests of the largest size seen that a share should admit each second.
constexpr std::int64_t kLeastRequestsPerSecond = 4;
// Below this rate, in requests a second, there is no demand.
constexpr double kNoDemand = 0.05;
// A new share asks this much more often, for this many renewal intervals, until it has enough.
constexpr int kSettlingRequests = 4;
constexpr int kSettlingIntervals = 2;

std::int64_t WithHeadroom(double demand) {
  return static_cast<std::int64_t>(std::ceil(demand * kHeadroom)) + 1;
}

}  // namespace

ShareHolder::ShareHolder(ShareHolderOptions options, OutageCovers outage_covers)
    : options_(options), outage_covers_(std::move(outage_covers)) {}

AdmissionAnswer ShareHolder::TryAcquire(const std::string& organisation,
                                        std::int64_t estimated_tokens, Instant now,
                                        std::optional<Instant> asked_first) {
  const auto [entry, created] = shares_.try_emplace(organisation);
  Share& share = entry->second;
  if (created) share.created_at = now;
  if (!asked_first) {
    share.request_demand.Add(1, options_.demand_memory, now);
    share.token_demand.Add(static_cast<double>(estimated_tokens), options_.demand_memory, now);
    share.largest_request = std::max(share.largest_request, estimated_tokens);
  }
  const std::optional<Duration> wait = TimeUntilPlace(share, estimated_tokens, now);
  const Duration shortage = wait.value_or(options_.retry_after);
  if (!wait || shortage.count() > 0) {
    if (!asked_first) share.unmet.Add(1, options_.demand_memory, now);
    const Instant first = asked_first.value_or(now);
    // A place that comes free by the rate within the longest wait is worth waiting for.
    if (wait && now + *wait <= first + options_.longest_wait) {
      // Control gave all that was asked for, so it may give more.
      if (!AnyPartBelow(share.granted, share.answered_wanted)) hurry_ = true;
      return {AdmissionVerdict::kWait, *wait};
    }
    return FallShort(&share, shortage, first, now);
  }

  share.requests.Take(1, now);
  share.tokens.Take(static_cast<double>(estimated_tokens), now);
  ++share.running;
  return {AdmissionVerdict::kOk, Duration(0)};
}

void ShareHolder::Release(const std::string& organisation) {
  const auto share = shares_.find(organisation);
  if (share != shares_.end() && share->second.running > 0) --share->second.running;
}

void ShareHolder::Settle(const std::string& organisation, std::int64_t estimated_tokens,
                         std::int64_t real_tokens, Instant now) {
  const auto share = shares_.find(organisation);
  if (share == shares_.end()) return;
  share->second.tokens.Take(static_cast<double>(real_tokens - estimated_tokens), now);
}

bool ShareHolder::RequestDue(Instant now) const {
  if (!sent_at_) return true;
  const Duration since = now - *sent_at_;
  if (hurry_) return since >= options_.shortest_interval;
  if (settling_) return since >= options_.renew_interval / kSettlingRequests;
  return since >= options_.renew_interval;
}

SharesToRenew ShareHolder::BeginRequest(Instant now) {
  SharesToRenew result;
  result.sequence = ++sequence_;
  sent_at_ = now;
  answer_awaited_ = true;
  hurry_ = false;
  settling_ = false;
  for (auto it = shares_.begin(); it != shares_.end();) {
    Share& share = it->second;
    share.wanted = Wanted(share, now);
    if (share.wanted == Capacity{}) {
      it = shares_.erase(it);
      continue;
    }
    share.reported = Believed(share, now);
    share.asked_in = sequence_;
    result.shares.push_back({it->first, share.reported, share.wanted});
    ++it;
  }
  return result;
}

bool ShareHolder::Apply(std::int64_t sequence, const LeaseAnswer& answer, Instant now) {
  if (answer.term < term_) return false;
  if (sequence != sequence_ || !answer_awaited_) return false;
  answer_awaited_ = false;
  term_ = answer.term;

  std::map<std::string, Capacity> granted;
  for (const ShareGrant& grant : answer.shares) granted[grant.organisation] = grant.granted;
  const Instant lease_end = *sent_at_ + UsableLease(std::chrono::milliseconds(answer.lease_ms));
  for (auto& [organisation, share] : shares_) {
    // The answer says nothing of a share that came up after the request had gone out.
    if (share.asked_in != sequence) continue;
    ApplyGrant(&share, granted[organisation], answer.term, lease_end, now);
  }
  return true;
}

Capacity ShareHolder::Held(const std::string& organisation, Instant now) const {
  const auto share = shares_.find(organisation);
  if (share == shares_.end() || !IsValid(share->second, now)) return {};
  return share->second.granted;
}

bool ShareHolder::IsValid(const Share& share, Instant now) const {
  if (share.term == 0) return false;
  if (now < share.lease_end) return true;
  return outage_covers_ && outage_covers_(share.lease_end, now);
}

Capacity ShareHolder::Believed(const Share& share, Instant now) const {
  if (!IsValid(share, now)) return {};
  Capacity result = share.granted;
  const std::int64_t running = std::min(share.running, share.counted_running);
  result.concurrent_requests = std::max(result.concurrent_requests, running);
  return result;
}

Capacity ShareHolder::Wanted(const Share& share, Instant now) const {
  const Duration memory = options_.demand_memory;
  const double requests = share.request_demand.Rate(memory, now);
  if (requests < kNoDemand && share.running == 0 && !share.tokens.InDebt(now)) return {};
  const double unmet = share.unmet.Rate(memory, now) * Seconds(memory);
  Capacity wanted;
  // What waits now should get through within about a second.
  const std::int64_t burst = kLeastRequestsPerSecond + static_cast<std::int64_t>(std::ceil(unmet));
  wanted.requests_per_second = WithHeadroom(requests) + burst;
  wanted.tokens_per_second =
      WithHeadroom(share.token_demand.Rate(memory, now)) + burst * share.largest_request;
  wanted.concurrent_requests = WithHeadroom(static_cast<double>(share.running) + unmet);
  return wanted;
}

std::optional<Duration> ShareHolder::TimeUntilPlace(const Share& share, std::int64_t tokens,
                                                    Instant now) const {
  if (!IsValid(share, now) || share.running >= share.granted.concurrent_requests) {
    return std::nullopt;
  }
  Duration wait = share.requests.TimeUntilUnit(now);
  if (tokens > 0) wait = std::max(wait, share.tokens.TimeUntilUnit(now));
  if (wait == Duration::max()) return std::nullopt;
  return wait;
}

// Asks control unless it has answered since the request came, or has said lately that there is no
// more.
AdmissionAnswer ShareHolder::FallShort(Share* share, Duration retry_after, Instant asked_first,
                                       Instant now) {
  const bool answered = share->answered_from && *share->answered_from >= asked_first;
  const bool told_lately = share->answered_from && IsValid(*share, now) &&
                           now - *share->answered_from < options_.renew_interval &&
                           AnyPartBelow(share->granted, share->answered_wanted);
  const bool waited = now - asked_first >= options_.longest_wait;
  if (answered || told_lately || waited) return {AdmissionVerdict::kRefused, retry_after};
  hurry_ = true;
  return {AdmissionVerdict::kWait, options_.expected_answer};
}

// A leader in its first lease confirms what was reported when the request was sent; by now the
// share may have run out and be another router's. So the first answer of a new leader gives no
// more than is still held, as far as it only confirms.
void ShareHolder::ApplyGrant(Share* share, Capacity granted, std::int64_t term, Instant lease_end,
                             Instant now) {
  const Capacity believed = Believed(*share, now);
  if (share->term != term) {
    for (const auto part : kCapacityParts) {
      if (granted.*part > share->reported.*part) continue;
      granted.*part = std::min(granted.*part, believed.*part);
    }
  }
  // What is given back is reported soon, as another router may wait for it.
  if (IsValid(*share, now) && AnyPartBelow(granted, share->granted)) hurry_ = true;
  share->granted = granted;
  share->counted_running =
      std::max(granted.concurrent_requests,
               std::min(share->reported.concurrent_requests, believed.concurrent_requests));
  share->term = term;
  share->lease_end = lease_end;
  share->answered_from = sent_at_;
  share->answered_wanted = share->wanted;
  const Duration settling_time = options_.renew_interval * kSettlingIntervals;
  if (AnyPartBelow(granted, share->wanted) && now - share->created_at < settling_time) {
    settling_ = true;
  }
  share->requests.SetRate(granted.requests_per_second, now);
  share->tokens.SetRate(granted.tokens_per_second, now);
}

}  // namespace kumquat

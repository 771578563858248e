#include "coordination/limits/share_holder.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "coordination/limits/capacity_math.h"
#include "coordination/limits/usable_lease.h"
#include "utils/durations.h"

namespace kumquat {
namespace {

using Internal::AnyFieldBelow;
using Internal::kCapacityFields;

// The wanted share is the measured demand times this.
constexpr double kHeadroomFactor = 2;
// A share should admit at least this many requests per second of the largest size seen.
constexpr std::int64_t kMinRequestsPerSecond = 4;
// A demand below this rate, in requests per second, counts as none.
constexpr double kMinDemandRate = 0.05;
// A new share that is too small is renewed this many times per renewal interval, for the given
// number of intervals.
constexpr int kRampUpRequestsPerInterval = 4;
constexpr int kRampUpIntervals = 2;

std::int64_t WithHeadroom(double demand) {
  return static_cast<std::int64_t>(std::ceil(demand * kHeadroomFactor)) + 1;
}

}  // namespace

ShareHolder::ShareHolder(ShareHolderOptions options, OutageExtendsLease outage_extends_lease)
    : options_(options), outage_extends_lease_(std::move(outage_extends_lease)) {}

AdmissionAnswer ShareHolder::TryAcquire(const std::string& organisation,
                                        std::int64_t estimated_tokens, Instant now,
                                        std::optional<Instant> first_asked_at) {
  const auto [entry, created] = shares_.try_emplace(organisation);
  Share& share = entry->second;
  if (created) share.created_at = now;
  if (!first_asked_at) {
    share.request_demand.Add(1, options_.demand_time_constant, now);
    share.token_demand.Add(static_cast<double>(estimated_tokens), options_.demand_time_constant,
                           now);
    share.largest_request = std::max(share.largest_request, estimated_tokens);
  }
  const std::optional<Duration> wait = TimeUntilAdmission(share, estimated_tokens, now);
  const Duration retry_delay = wait.value_or(options_.retry_after);
  if (!wait || retry_delay.count() > 0) {
    if (!first_asked_at) share.unmet_demand.Add(1, options_.demand_time_constant, now);
    const Instant first = first_asked_at.value_or(now);
    // The rate limit admits the request within the maximum wait, so waiting is better than
    // refusing.
    if (wait && now + *wait <= first + options_.max_wait) {
      // Control granted everything that was wanted, so it may grant more.
      if (!AnyFieldBelow(share.granted, share.last_answered_wanted)) renew_early_ = true;
      return {AdmissionVerdict::kWait, *wait};
    }
    return WaitOrRefuse(&share, retry_delay, first, now);
  }

  share.requests.Take(1, now);
  share.tokens.Take(static_cast<double>(estimated_tokens), now);
  ++share.running;
  return {AdmissionVerdict::kAdmitted, Duration(0)};
}

void ShareHolder::Release(const std::string& organisation) {
  const auto share = shares_.find(organisation);
  if (share != shares_.end() && share->second.running > 0) --share->second.running;
}

void ShareHolder::Settle(const std::string& organisation, std::int64_t estimated_tokens,
                         std::int64_t actual_tokens, Instant now) {
  const auto share = shares_.find(organisation);
  if (share == shares_.end()) return;
  share->second.tokens.Take(static_cast<double>(actual_tokens - estimated_tokens), now);
}

bool ShareHolder::IsRequestDue(Instant now) const {
  if (!sent_at_) return true;
  const Duration elapsed = now - *sent_at_;
  if (renew_early_) return elapsed >= options_.min_interval;
  if (ramping_up_) return elapsed >= options_.renew_interval / kRampUpRequestsPerInterval;
  return elapsed >= options_.renew_interval;
}

SharesToRenew ShareHolder::BeginRequest(Instant now) {
  SharesToRenew result;
  result.sequence = ++sequence_;
  sent_at_ = now;
  answer_awaited_ = true;
  renew_early_ = false;
  ramping_up_ = false;
  for (auto it = shares_.begin(); it != shares_.end();) {
    Share& share = it->second;
    share.wanted = Wanted(share, now);
    if (share.wanted == Capacity{}) {
      it = shares_.erase(it);
      continue;
    }
    share.reported = HeldWithRunning(share, now);
    share.request_sequence = sequence_;
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
    // The answer does not cover a share that was created after the request was sent.
    if (share.request_sequence != sequence) continue;
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
  return outage_extends_lease_ && outage_extends_lease_(share.lease_end, now);
}

Capacity ShareHolder::HeldWithRunning(const Share& share, Instant now) const {
  if (!IsValid(share, now)) return {};
  Capacity result = share.granted;
  const std::int64_t running = std::min(share.running, share.counted_running);
  result.concurrent_requests = std::max(result.concurrent_requests, running);
  return result;
}

Capacity ShareHolder::Wanted(const Share& share, Instant now) const {
  const Duration time_constant = options_.demand_time_constant;
  const double requests = share.request_demand.Rate(time_constant, now);
  if (requests < kMinDemandRate && share.running == 0 && !share.tokens.InDebt(now)) return {};
  const double unmet = share.unmet_demand.Rate(time_constant, now) * Seconds(time_constant);
  Capacity wanted;
  // The requests that wait now should be admitted within about a second.
  const std::int64_t burst = kMinRequestsPerSecond + static_cast<std::int64_t>(std::ceil(unmet));
  wanted.requests_per_second = WithHeadroom(requests) + burst;
  wanted.tokens_per_second =
      WithHeadroom(share.token_demand.Rate(time_constant, now)) + burst * share.largest_request;
  wanted.concurrent_requests = WithHeadroom(static_cast<double>(share.running) + unmet);
  return wanted;
}

std::optional<Duration> ShareHolder::TimeUntilAdmission(const Share& share, std::int64_t tokens,
                                                        Instant now) const {
  if (!IsValid(share, now) || share.running >= share.granted.concurrent_requests) {
    return std::nullopt;
  }
  Duration wait = share.requests.TimeUntilUnit(now);
  if (tokens > 0) wait = std::max(wait, share.tokens.TimeUntilUnit(now));
  if (wait == Duration::max()) return std::nullopt;
  return wait;
}

// Lets the request wait for control's next answer, unless one of the reasons for a refusal that
// TryAcquire() lists holds.
AdmissionAnswer ShareHolder::WaitOrRefuse(Share* share, Duration retry_after,
                                          Instant first_asked_at, Instant now) {
  const bool answered =
      share->last_answered_sent_at && *share->last_answered_sent_at >= first_asked_at;
  const bool recently_denied = share->last_answered_sent_at && IsValid(*share, now) &&
                               now - *share->last_answered_sent_at < options_.renew_interval &&
                               AnyFieldBelow(share->granted, share->last_answered_wanted);
  const bool waited = now - first_asked_at >= options_.max_wait;
  if (answered || recently_denied || waited) return {AdmissionVerdict::kRefused, retry_after};
  renew_early_ = true;
  return {AdmissionVerdict::kWait, options_.expected_answer_delay};
}

// A leader in its first lease confirms what was reported when the request was sent. By the time of
// the answer that share may have expired and been granted to another router. So where the first
// answer of a new leader only confirms, no more is applied than is still held.
void ShareHolder::ApplyGrant(Share* share, Capacity granted, std::int64_t term, Instant lease_end,
                             Instant now) {
  const Capacity believed = HeldWithRunning(*share, now);
  if (share->term != term) {
    for (const auto field : kCapacityFields) {
      if (granted.*field > share->reported.*field) continue;
      granted.*field = std::min(granted.*field, believed.*field);
    }
  }
  // A reduction is reported early, as another router may be waiting for the freed capacity.
  if (IsValid(*share, now) && AnyFieldBelow(granted, share->granted)) renew_early_ = true;
  share->granted = granted;
  share->counted_running =
      std::max(granted.concurrent_requests,
               std::min(share->reported.concurrent_requests, believed.concurrent_requests));
  share->term = term;
  share->lease_end = lease_end;
  share->last_answered_sent_at = sent_at_;
  share->last_answered_wanted = share->wanted;
  const Duration ramp_up_time = options_.renew_interval * kRampUpIntervals;
  if (AnyFieldBelow(granted, share->wanted) && now - share->created_at < ramp_up_time) {
    ramping_up_ = true;
  }
  share->requests.SetRate(granted.requests_per_second, now);
  share->tokens.SetRate(granted.tokens_per_second, now);
}

}  // namespace kumquat

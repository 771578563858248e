#include "coordination/limits/quota_ledger.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace kumquat {
namespace {

// Advances leave this share of the burst to requests that wait. With half of it, routers that get a
// request a second for each of 60 organisations found reserves too rarely: 0.981 of requests within
// the quota were admitted instead of 0.991.
constexpr double kAdvanceFloor = 0.25;
// One router's advance takes at most this share of what may be advanced, as others ask next.
constexpr double kAdvanceShare = 0.25;
// What all routers together may use while no leader answers, as a share of the level. It isn't
// taken from the bucket, so that the quota's tolerance has to cover it.
constexpr double kOutageShare = 0.1;
// A new leader starts with this share of what the rate gave while nobody granted. Routers may have
// used the rest (QuotaHolderOptions::outage_rate).
constexpr double kUngrantedShare = 0.5;

// The largest request that is granted beyond the burst. A bucket would never hold more.
constexpr std::int64_t kMaxUnitsBeyondBurst = 36'000;
constexpr double kMaxWaitSeconds = 60;

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

void QuotaLedger::Bucket::Fill(Instant now) {
  while (!advances.empty() && now - advances.front().first > kQuotaUnitLifetime) {
    advanced -= advances.front().second;
    advances.pop_front();
  }
  Add(rate * Seconds(now - filled_at));
  filled_at = now;
}

// What routers may still use and the level are together at most the burst and what the rate gives
// in the lifetime of a unit: so much may be used beyond the rate in any window.
void QuotaLedger::Bucket::Add(double units) {
  const double most = burst + rate * Seconds(kQuotaUnitLifetime) - advanced;
  level = std::min({level + units, burst, std::max(level, most)});
}

void QuotaLedger::Bucket::Advance(double units, Instant now) {
  level -= units;
  advanced += units;
  advances.emplace_back(now, units);
}

// `ungranted` is how long nobody has granted.
void QuotaLedger::Bucket::Restart(Instant now, Duration ungranted) {
  level = std::clamp(kUngrantedShare * rate * Seconds(ungranted), 0.0, burst);
  filled_at = now;
  advances.clear();
  advanced = 0;
}

void QuotaLedger::SetQuotas(const std::vector<RoutedOrganisation>& organisations, Instant now) {
  std::map<std::string, Bucket> buckets;
  for (const RoutedOrganisation& organisation : organisations) {
    if (!organisation.quota) continue;
    Bucket& bucket = buckets[organisation.name];
    const auto known = buckets_.find(organisation.name);
    if (known != buckets_.end()) {
      known->second.Fill(now);
      bucket = known->second;
    }
    bucket.rate = static_cast<double>(organisation.quota->rate_per_second);
    // Without any burst a level above zero would never be reached.
    bucket.burst = static_cast<double>(std::max<std::int64_t>(1, organisation.quota->burst));
    if (known == buckets_.end()) bucket.level = bucket.burst;
    bucket.filled_at = now;
    bucket.Add(0);
  }
  buckets_ = std::move(buckets);
}

bool QuotaLedger::IsNew(const QuotaAsked& asked) {
  Asker& asker = askers_[asked.router];
  const std::pair newest(asker.incarnation, asker.number);
  if (std::pair(asked.incarnation, asked.number) <= newest) return false;
  asker = {asked.incarnation, asked.number};
  return true;
}

QuotaGranted QuotaLedger::Grant(const QuotaAsked& asked, std::uint64_t term, std::int64_t routers,
                                Instant now, std::optional<Instant> sole_leader_since) {
  if (std::exchange(term_, term) != term) {
    const Duration ungranted = now - sole_leader_since.value_or(now);
    askers_.clear();
    for (auto& [name, bucket] : buckets_) bucket.Restart(now, ungranted);
  }
  QuotaGranted granted{asked.router, asked.incarnation, asked.number, term, {}};
  if (!IsNew(asked)) return granted;
  for (const QuotaAsked::Organisation& organisation : asked.organisations) {
    const auto found = buckets_.find(organisation.name);
    if (found == buckets_.end()) {
      granted.organisations.push_back(GrantAll(organisation));
      continue;
    }
    found->second.Fill(now);
    granted.organisations.push_back(GrantTo(found->second, organisation, routers, now));
  }
  return granted;
}

// The quota was removed, which the router doesn't know yet.
QuotaGranted::Organisation QuotaLedger::GrantAll(const QuotaAsked::Organisation& asked) {
  const std::int64_t units =
      std::accumulate(asked.waiting.begin(), asked.waiting.end(), std::int64_t{0});
  return {asked.name, units, Duration(0), 0};
}

QuotaGranted::Organisation QuotaLedger::GrantTo(Bucket& bucket,
                                                const QuotaAsked::Organisation& asked,
                                                std::int64_t routers, Instant now) {
  bucket.Add(static_cast<double>(asked.returned));
  QuotaGranted::Organisation granted;
  granted.name = asked.name;
  bool is_short = false;
  for (const std::int64_t units : asked.waiting) {
    const bool is_too_large =
        units > static_cast<std::int64_t>(bucket.burst) + kMaxUnitsBeyondBurst;
    is_short = bucket.level <= 0 || is_too_large;
    if (is_short) break;
    bucket.level -= static_cast<double>(units);
    granted.units += units;
  }
  const double to_advance = (bucket.level - bucket.burst * kAdvanceFloor) * kAdvanceShare;
  if (!is_short && to_advance >= 1) {
    const auto advance = std::min(asked.advance, static_cast<std::int64_t>(to_advance));
    if (advance > 0) bucket.Advance(static_cast<double>(advance), now);
    granted.units += advance;
  }
  if (is_short && bucket.rate > 0) {
    const double wait = std::clamp((1 - bucket.level) / bucket.rate, 0.0, kMaxWaitSeconds);
    granted.available_after =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
  }
  granted.outage_units =
      static_cast<std::int64_t>(std::max(0.0, bucket.level) * kOutageShare /
                                static_cast<double>(std::max<std::int64_t>(1, routers)));
  return granted;
}

}  // namespace kumquat

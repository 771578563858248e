#include "coordination/limits/quota_holder.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kumquat {
namespace {

constexpr Duration kDemandTimeConstant = std::chrono::seconds(1);
// Requests whose units a message names one by one; the others are asked for next time.
constexpr std::size_t kMaxWaitingNamed = 64;
// Over how long granted units are averaged.
constexpr Duration kGrantedTime = std::chrono::seconds(2);
constexpr std::uint64_t kLots = 1'000'000;
// Units that expired longer ago, as the router was frozen, aren't given back: the bucket has filled
// since.
constexpr Duration kLatestReturn = std::chrono::milliseconds(200);
// For how long after it has units again a leader counts as short, unless it says so again.
constexpr Duration kShortFor = std::chrono::milliseconds(200);
// Messages whose answers are still taken.
constexpr std::size_t kMaxUnanswered = 8;

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

QuotaHolder::QuotaHolder(QuotaHolderOptions options, QuotaHolderHooks hooks, std::string router,
                         std::int64_t incarnation)
    : options_(options),
      hooks_(std::move(hooks)),
      router_(std::move(router)),
      incarnation_(incarnation) {}

void QuotaHolder::SetQuotas(const std::vector<RoutedOrganisation>& organisations) {
  std::map<std::string, Account> before = std::exchange(accounts_, {});
  for (const RoutedOrganisation& organisation : organisations) {
    if (!organisation.quota) continue;
    auto known = before.extract(organisation.name);
    Account& account = accounts_[organisation.name];
    if (known) account = std::move(known.mapped());
    account.quota = *organisation.quota;
  }
  for (auto& [name, account] : before) {
    for (const Waiter& waiter : account.waiters) waiter.on_decided(Admit(account, waiter.units));
  }
}

std::int64_t QuotaHolder::Acquire(const std::string& organisation, std::int64_t units,
                                  Instant give_up_at, OnDecided on_decided) {
  const auto found = accounts_.find(organisation);
  if (found == accounts_.end()) {
    on_decided({true, Duration(0)});
    return 0;
  }
  Account& account = found->second;
  const Instant now = hooks_.clock();
  Expire(account, now);
  account.demand.Add(static_cast<double>(units), kDemandTimeConstant, now);
  NoteSize(account, units, now);
  const bool may_go_first = account.waiters.empty();
  if (may_go_first && (TakeReserve(account, units) || TakeInOutage(account, units, now))) {
    on_decided(Admit(account, units));
    return 0;
  }
  const bool is_empty = account.empty_until - now > options_.max_refill_wait;
  const bool is_outage_over = account.answered_at && IsLeaderSilent(now) &&
                              now - *account.answered_at > options_.longest_outage;
  if (is_empty || is_outage_over || WaitsInVain(account, give_up_at, now)) {
    account.has_refused = true;
    on_decided(Refuse(account, now));
    return 0;
  }
  account.waiters.push_back(
      {++last_waiter_, units, give_up_at, std::move(on_decided), 0, Instant(0)});
  const std::int64_t number = last_waiter_;
  Tick();
  return number;
}

void QuotaHolder::Cancel(std::int64_t number) {
  for (auto& [name, account] : accounts_) {
    std::erase_if(account.waiters,
                  [number](const Waiter& waiter) { return waiter.number == number; });
  }
}

void QuotaHolder::Return(const std::string& organisation, std::int64_t units) {
  const auto found = accounts_.find(organisation);
  if (found != accounts_.end()) found->second.returned += units;
}

bool QuotaHolder::TakeReserve(Account& account, std::int64_t units) {
  std::int64_t reserve = 0;
  for (const Amount& amount : account.reserve) reserve += amount.units;
  if (reserve < units) return false;
  while (units > 0) {
    Amount& oldest = account.reserve.front();
    const std::int64_t taken = std::min(units, oldest.units);
    oldest.units -= taken;
    units -= taken;
    if (oldest.units == 0) account.reserve.pop_front();
  }
  return true;
}

bool QuotaHolder::IsLeaderSilent(Instant now) const {
  return silent_since_ && now - *silent_since_ > options_.silence_limit;
}

bool QuotaHolder::TakeInOutage(Account& account, std::int64_t units, Instant now) const {
  if (!IsLeaderSilent(now) || !account.answered_at) return false;
  const Instant ends = *account.answered_at + options_.longest_outage;
  const Instant filled_until = std::min(now, ends);
  if (filled_until > account.outage_filled_at) {
    const double rate = options_.outage_rate * account.granted_lately / Seconds(kGrantedTime);
    account.outage_units += rate * Seconds(filled_until - account.outage_filled_at);
    account.outage_filled_at = filled_until;
  }
  if (now > ends || account.outage_units <= 0) return false;
  const auto wanted = static_cast<double>(units);
  if (account.outage_units < wanted) {
    // A router's part of a small quota is often less than one large request. Drawing lots for the
    // rest admits as much on average, without debt that would add up over the routers.
    const double drawn = static_cast<double>(hooks_.random() % kLots) / kLots * wanted;
    if (drawn >= std::exchange(account.outage_units, 0)) return false;
  } else {
    account.outage_units -= wanted;
  }
  account.outage_used += units;
  return true;
}

// While the leader is short, a request gets its units after those that came earlier.
bool QuotaHolder::WaitsInVain(const Account& account, Instant give_up_at, Instant now) {
  const bool is_short = account.is_short && now < account.empty_until + kShortFor;
  if (!is_short || account.waiters.empty()) return false;
  std::int64_t ahead = 0;
  for (const Waiter& waiter : account.waiters) ahead += waiter.units;
  const double fade = std::exp(-Seconds(now - account.granted_at) / Seconds(kGrantedTime));
  const double rate = account.granted_lately * fade / Seconds(kGrantedTime);
  return static_cast<double>(ahead) > rate * Seconds(give_up_at - now);
}

QuotaDecision QuotaHolder::Admit(Account& account, std::int64_t units) const {
  ++account.counts.admitted;
  account.counts.units_admitted += units;
  return {true, Duration(0)};
}

QuotaDecision QuotaHolder::Refuse(Account& account, Instant now) {
  ++account.counts.refused;
  const auto spread = static_cast<std::uint64_t>(options_.return_spread.count()) + 1;
  const Duration until_refill = std::max(Duration(0), account.empty_until - now);
  return {false, until_refill + Duration(static_cast<std::int64_t>(hooks_.random() % spread))};
}

void QuotaHolder::Expire(Account& account, Instant now) const {
  while (!account.reserve.empty() && account.reserve.front().expires_at <= now) {
    const Amount& expired = account.reserve.front();
    if (now - expired.expires_at <= kLatestReturn) account.returned += expired.units;
    // What lies in reserve for a first request isn't demand that may go on without a leader.
    account.granted_lately =
        std::max(0.0, account.granted_lately - static_cast<double>(expired.units));
    account.reserve.pop_front();
  }
}

void QuotaHolder::DecideWaiting(Account& account, bool refuse_rest, Instant now) {
  std::vector<std::pair<OnDecided, QuotaDecision>> decided;
  bool may_admit = true;
  std::deque<Waiter> still_waiting;
  for (Waiter& waiter : account.waiters) {
    if (now >= waiter.give_up_at) {
      decided.emplace_back(std::move(waiter.on_decided), Refuse(account, now));
      continue;
    }
    // Nobody is admitted before those that came earlier.
    may_admit = may_admit &&
                (TakeReserve(account, waiter.units) || TakeInOutage(account, waiter.units, now));
    if (may_admit) {
      decided.emplace_back(std::move(waiter.on_decided), Admit(account, waiter.units));
    } else if (refuse_rest) {
      decided.emplace_back(std::move(waiter.on_decided), Refuse(account, now));
    } else {
      still_waiting.push_back(std::move(waiter));
    }
  }
  account.waiters = std::move(still_waiting);
  // A hook may acquire or cancel.
  for (const auto& [on_decided, decision] : decided) on_decided(decision);
}

void QuotaHolder::OnGranted(const QuotaGranted& granted) {
  if (granted.router != router_ || granted.incarnation != incarnation_) return;
  const auto asked = unanswered_.find(granted.number);
  if (asked == unanswered_.end()) return;
  const Instant asked_at = asked->second;
  unanswered_.erase(unanswered_.begin(), std::next(asked));
  silent_since_.reset();
  if (!unanswered_.empty()) silent_since_ = unanswered_.begin()->second;
  const bool is_same_leader = std::exchange(term_, granted.term) == granted.term;
  const Instant now = hooks_.clock();
  // A leader that was only slow is charged for what was used meanwhile. A new one isn't: its
  // buckets begin empty, and what nobody granted in between covers it.
  for (auto& [name, account] : accounts_) {
    const std::int64_t used = std::exchange(account.outage_used, 0);
    if (is_same_leader) account.returned -= used;
  }
  for (const QuotaGranted::Organisation& organisation : granted.organisations) {
    const auto found = accounts_.find(organisation.name);
    if (found == accounts_.end()) continue;
    Account& account = found->second;
    account.answered_at = now;
    account.counts.units_granted += organisation.units;
    account.granted_lately *= std::exp(-Seconds(now - account.granted_at) / Seconds(kGrantedTime));
    account.granted_lately += static_cast<double>(organisation.units);
    account.granted_at = now;
    account.empty_until = now + organisation.available_after;
    account.is_short = organisation.available_after > Duration(0);
    account.outage_units = static_cast<double>(organisation.outage_units);
    account.outage_filled_at = now;
    for (Waiter& waiter : account.waiters) {
      if (waiter.asked_number <= granted.number) waiter.asked_number = 0;
    }
    if (organisation.units > 0) {
      account.reserve.push_back({organisation.units, asked_at + kQuotaUnitLifetime});
    }
    Expire(account, now);
  }
  for (const QuotaGranted::Organisation& organisation : granted.organisations) {
    const auto found = accounts_.find(organisation.name);
    if (found == accounts_.end()) continue;
    DecideWaiting(found->second, organisation.available_after > options_.max_refill_wait, now);
  }
}

void QuotaHolder::Tick() {
  const Instant now = hooks_.clock();
  std::vector<std::string> waiting;
  for (auto& [name, account] : accounts_) {
    Expire(account, now);
    if (!account.waiters.empty()) waiting.push_back(name);
  }
  // A hook may replace the quotas.
  for (const std::string& name : waiting) {
    const auto found = accounts_.find(name);
    if (found != accounts_.end()) DecideWaiting(found->second, false, now);
  }
  Ask(now);
}

void QuotaHolder::NoteSize(Account& account, std::int64_t units, Instant now) const {
  if (now >= account.period_ends) {
    const bool is_old = now >= account.period_ends + options_.recent;
    account.largest_before = is_old ? 0 : account.largest;
    account.largest = 0;
    account.period_ends = now + options_.recent;
  }
  account.largest = std::max(account.largest, units);
}

// Returns whether a message has to name the waiting request.
bool QuotaHolder::IsDue(const Account& account, const Waiter& waiter, Instant now) const {
  if (waiter.asked_number == 0) return now >= account.empty_until;
  return now - waiter.asked_at >= options_.answer_timeout;
}

// Returns whether a message is due and may be sent now.
bool QuotaHolder::MayAsk(Instant now) {
  const Duration interval = std::clamp(options_.interval_per_router * routers_,
                                       options_.min_interval, options_.max_interval);
  const Duration passed = now - messages_counted_at_.value_or(now);
  messages_counted_at_ = now;
  messages_left_ =
      std::min(options_.message_burst, messages_left_ + Seconds(passed) / Seconds(interval));
  const bool is_awaited =
      !unanswered_.empty() && asked_at_ && now - *asked_at_ < options_.answer_timeout;
  const bool is_urgent = std::any_of(accounts_.begin(), accounts_.end(), [&](const auto& entry) {
    const Account& account = entry.second;
    return std::any_of(account.waiters.begin(), account.waiters.end(),
                       [&](const Waiter& waiter) { return IsDue(account, waiter, now); });
  });
  // While no leader answers, all replicas get each message.
  if (is_awaited && (!is_urgent || IsLeaderSilent(now))) return false;
  return messages_left_ >= (is_urgent ? 1 : 1 + options_.kept_messages);
}

void QuotaHolder::Ask(Instant now) {
  if (!MayAsk(now)) return;
  QuotaAsked asked{router_, incarnation_, last_number_ + 1, {}};
  for (auto& [name, account] : accounts_) {
    QuotaAsked::Organisation wanted = WantOf(name, account, now);
    // An account that only refuses asks as well, so that the silence of a leader is seen.
    const bool has_refused = std::exchange(account.has_refused, false);
    const bool wants = !wanted.waiting.empty() || wanted.advance > 0 || wanted.returned != 0;
    if (!wants && !has_refused) continue;
    account.counts.units_asked += wanted.advance;
    for (const std::int64_t units : wanted.waiting) account.counts.units_asked += units;
    asked.organisations.push_back(std::move(wanted));
  }
  if (asked.organisations.empty()) return;
  ++last_number_;
  messages_left_ -= 1;
  unanswered_[last_number_] = now;
  if (unanswered_.size() > kMaxUnanswered) unanswered_.erase(unanswered_.begin());
  asked_at_ = now;
  if (!silent_since_) silent_since_ = now;
  hooks_.send(asked);
}

QuotaAsked::Organisation QuotaHolder::WantOf(const std::string& name, Account& account,
                                             Instant now) const {
  QuotaAsked::Organisation wanted;
  wanted.name = name;
  // Told once: if the message is lost, so are the units.
  wanted.returned = std::exchange(account.returned, 0);
  for (Waiter& waiter : account.waiters) {
    if (wanted.waiting.size() >= kMaxWaitingNamed) break;
    if (!IsDue(account, waiter, now)) continue;
    wanted.waiting.push_back(waiter.units);
    waiter.asked_number = last_number_ + 1;
    waiter.asked_at = now;
  }
  std::int64_t reserve = 0;
  for (const Amount& amount : account.reserve) {
    if (amount.expires_at - now > options_.renew_ahead) reserve += amount.units;
  }
  const double demand = account.demand.Rate(kDemandTimeConstant, now) * Seconds(options_.advance);
  std::int64_t largest = std::max(account.largest, account.largest_before);
  if (now >= account.period_ends) largest = account.largest;
  if (now >= account.period_ends + options_.recent) largest = 0;
  // While the bucket is empty an advance would only be refused. Half of it is used up before more
  // is asked for, as each message costs the leader time.
  const bool is_low = demand / 2 > static_cast<double>(reserve) || largest > reserve;
  if (now >= account.empty_until && is_low) {
    wanted.advance = std::max(static_cast<std::int64_t>(demand), largest) - reserve;
  }
  return wanted;
}

std::optional<QuotaStatus> QuotaHolder::StatusOf(const std::string& organisation) const {
  const auto found = accounts_.find(organisation);
  if (found == accounts_.end()) return std::nullopt;
  const Account& account = found->second;
  QuotaStatus status = account.counts;
  status.quota = account.quota;
  for (const Amount& amount : account.reserve) status.reserve += amount.units;
  if (account.answered_at) status.answer_age = hooks_.clock() - *account.answered_at;
  return status;
}

std::vector<std::string> QuotaHolder::organisations() const {
  std::vector<std::string> names;
  names.reserve(accounts_.size());
  for (const auto& [name, account] : accounts_) names.push_back(name);
  return names;
}

}  // namespace kumquat

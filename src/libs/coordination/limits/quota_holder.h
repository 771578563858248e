// A router's side of quotas that hold over all routers together.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/limits/demand_meter.h"
#include "protocol/control_news.h"
#include "protocol/routing_table.h"
#include "utils/hooks.h"

namespace kumquat {

struct QuotaHolderOptions {
  // Mean time between two messages to control under constant demand. Grows with the routers, so
  // that the leader gets at most 1,000 messages a second from 75 routers and 3,000 from 300; the
  // first messages of routers that start are on top.
  Duration min_interval = std::chrono::milliseconds(50);
  Duration interval_per_router = std::chrono::microseconds(1020);
  Duration max_interval = std::chrono::milliseconds(102);
  // Messages that may be sent at once after a pause.
  double message_burst = 4;
  // A message that no request waits for leaves this many for requests that come next.
  double kept_messages = 2;
  Duration answer_timeout = kQuotaAnswerTimeout;
  // No leader answers once this has passed since a message that no answer followed.
  Duration silence_limit = std::chrono::milliseconds(300);
  // For how long a router admits requests without a leader, from the last answer on. Where some
  // routers are cut off and the others get the whole rate, this bounds what is admitted beyond it.
  Duration longest_outage = std::chrono::seconds(1);
  // Without a leader, the part of the rate that was granted lately which goes on.
  double outage_rate = 0.5;
  // The demand of this time is asked for in advance, and at least the largest recent request.
  Duration advance = std::chrono::milliseconds(300);
  // For how long a request counts as recent: at least this long, at most twice as long. Of callers
  // that come once a second on average, one in 150 comes later.
  Duration recent = std::chrono::seconds(5);
  // Reserves that expire within this time are asked for anew.
  Duration renew_ahead = std::chrono::milliseconds(100);
  // A request waits for the bucket to fill if that takes no longer than this; else it is refused.
  Duration max_refill_wait = std::chrono::milliseconds(50);
  // Callers that are refused together return spread over this time.
  Duration return_spread = std::chrono::seconds(1);
};

// What became of a request.
struct QuotaDecision {
  bool is_admitted = false;
  // When a refused caller may come back.
  Duration retry_after{0};
};

struct QuotaHolderHooks {
  Clock clock;
  Random random;
  // Sends to the leader, or to all replicas where it isn't known.
  std::function<void(const QuotaAsked& asked)> send;
};

// What a router knows of an organisation's quota, for metrics and logs.
struct QuotaStatus {
  OrganisationQuota quota;
  std::int64_t reserve = 0;
  std::int64_t admitted = 0;
  std::int64_t refused = 0;
  std::int64_t units_admitted = 0;
  std::int64_t units_asked = 0;
  std::int64_t units_granted = 0;
  // Since the leader's last answer for it; nothing before the first.
  std::optional<Duration> answer_age;
};

// Keeps reserves that the leader granted, each usable for kQuotaUnitLifetime from the moment it was
// asked for, on a clock that counts suspension. A router that was frozen finds them expired.
class QuotaHolder {
 public:
  using OnDecided = std::function<void(const QuotaDecision& decision)>;

  QuotaHolder(QuotaHolderOptions options, QuotaHolderHooks hooks, std::string router,
              std::int64_t incarnation);

  // Replaces the quotas. Requests that wait for one that is gone are admitted.
  void SetQuotas(const std::vector<RoutedOrganisation>& organisations);

  void SetRouters(std::int64_t routers) { routers_ = routers; }

  // Decides on a request of the organisation that counts `units`: at once if possible, else by
  // calling `on_decided` once, no later than `give_up_at`. Returns a number for Cancel() where
  // it waits, 0 otherwise.
  std::int64_t Acquire(const std::string& organisation, std::int64_t units, Instant give_up_at,
                       OnDecided on_decided);

  // The caller of a waiting request has gone.
  void Cancel(std::int64_t number);

  // Gives back the units of an admitted request that has not run.
  void Return(const std::string& organisation, std::int64_t units);

  void OnGranted(const QuotaGranted& granted);

  // Asks for units, gives back unused ones, and decides on requests that have waited too long. Call
  // it every few milliseconds while has_quotas().
  void Tick();

  bool has_quotas() const { return !accounts_.empty(); }

  // Returns nothing for an organisation without a quota.
  std::optional<QuotaStatus> StatusOf(const std::string& organisation) const;
  std::vector<std::string> organisations() const;

 private:
  struct Amount {
    std::int64_t units = 0;
    Instant expires_at{0};
  };
  struct Waiter {
    std::int64_t number = 0;
    std::int64_t units = 0;
    Instant give_up_at{0};
    OnDecided on_decided;
    // The last message that named it, 0 before, and when that was sent.
    std::int64_t asked_number = 0;
    Instant asked_at{0};
  };
  struct Account {
    OrganisationQuota quota;
    std::deque<Amount> reserve;
    std::deque<Waiter> waiters;
    DemandMeter demand;
    // The largest request of the current period of QuotaHolderOptions::recent and of the one
    // before.
    std::int64_t largest = 0;
    std::int64_t largest_before = 0;
    Instant period_ends{0};
    // What was granted and hasn't expired unused, forgotten exponentially.
    double granted_lately = 0;
    Instant granted_at{0};
    // Units that expired unused; given back with the next message.
    std::int64_t returned = 0;
    // Whether the leader couldn't grant all that was asked for last.
    bool is_short = false;
    // Until when the leader has nothing to grant.
    Instant empty_until{0};
    // What may be used without a leader, and since when that fills.
    double outage_units = 0;
    Instant outage_filled_at{0};
    // Whether a request was refused without asking since the last message.
    bool has_refused = false;
    // What was used without a leader since its last answer.
    std::int64_t outage_used = 0;
    std::optional<Instant> answered_at;
    QuotaStatus counts;
  };

  static bool TakeReserve(Account& account, std::int64_t units);
  bool TakeInOutage(Account& account, std::int64_t units, Instant now) const;
  bool IsLeaderSilent(Instant now) const;
  static bool WaitsInVain(const Account& account, Instant give_up_at, Instant now);
  QuotaDecision Admit(Account& account, std::int64_t units) const;
  QuotaDecision Refuse(Account& account, Instant now);
  void Expire(Account& account, Instant now) const;
  void DecideWaiting(Account& account, bool refuse_rest, Instant now);
  void NoteSize(Account& account, std::int64_t units, Instant now) const;
  bool IsDue(const Account& account, const Waiter& waiter, Instant now) const;
  bool MayAsk(Instant now);
  void Ask(Instant now);
  QuotaAsked::Organisation WantOf(const std::string& name, Account& account, Instant now) const;

  QuotaHolderOptions options_;
  QuotaHolderHooks hooks_;
  std::string router_;
  std::int64_t incarnation_ = 0;
  std::int64_t routers_ = 1;
  std::map<std::string, Account> accounts_;
  std::int64_t last_waiter_ = 0;
  std::int64_t last_number_ = 0;
  // When the messages that aren't answered were sent.
  std::map<std::int64_t, Instant> unanswered_;
  std::optional<Instant> asked_at_;
  // How many messages may be sent now, and until when that is counted.
  double messages_left_ = 1;
  std::optional<Instant> messages_counted_at_;
  // Since when messages have gone unanswered; nothing while the last one was answered.
  std::optional<Instant> silent_since_;
  // The term of the leader that answered last.
  std::uint64_t term_ = 0;
};

}  // namespace kumquat

// Quotas over a fleet of routers in virtual time, against one bucket that sees every request.
#pragma once

#include <fmt/format.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "coordination/limits/quota_holder.h"
#include "coordination/limits/quota_ledger.h"
#include "seed.h"

namespace kumquat {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr Duration kStep = milliseconds(5);
inline constexpr Duration kMessageDelay = milliseconds(3);
inline constexpr Duration kWindow = seconds(8);
// The users' tolerance: a tenth of the quota, and this many units.
inline constexpr double kTolerance = 0.1;
inline constexpr std::int64_t kSlack = 72'000;
inline constexpr std::int64_t kLargestRequest = 36'000;
inline constexpr Duration kLongestWait = milliseconds(125);
// The mean of what SendOne() is given.
inline constexpr double kMeanRequest = 0.01 * 36'000 + 0.99 * (9200 + 900) / 2;

struct QuotaFleetOptions {
  int routers = 75;
  int organisations = 16;
  // Demand as a multiple of the quota.
  double load = 1.5;
  // Whether callers reach all routers alike instead of a few that change.
  bool is_even = false;
  // Where not 0, quotas are such that callers of an organisation reach a router so often a second.
  double requests_per_router = 0;
  Duration longest_wait = kLongestWait;
  Duration message_delay = kMessageDelay;
  Duration length = seconds(30);
};

// What one organisation was admitted, and what one bucket would have admitted.
struct Tally {
  std::int64_t rate = 0;
  std::int64_t burst = 0;
  std::deque<std::pair<Instant, std::int64_t>> admitted;
  std::int64_t total = 0;
  std::int64_t window = 0;
  std::int64_t worst_window = 0;
  double level = 0;
  Instant filled_at{0};
  std::int64_t ideal = 0;
};

class QuotaFleet {
 public:
  QuotaFleet(std::uint64_t seed, const QuotaFleetOptions& options)
      : options_(options), generator_(seed) {
    for (int i = 0; i < options.organisations; ++i) AddOrganisation(fmt::format("o{}", i));
    ledger_.SetQuotas(organisations_, now_);
    // The leader is there some seconds before the first request, so that its buckets are full.
    ledger_.Grant({"first", 1, 1, {}}, term_, options.routers, now_);
    now_ += seconds(5);
    for (int i = 0; i < options.routers; ++i) AddRouter();
    ApplyQuotas();
  }

  // Runs the fleet; `trouble` is called in each step.
  void Run(const std::function<void(QuotaFleet&, Instant)>& trouble = {}) {
    const Instant begin = now_;
    while (now_ - begin < options_.length) {
      now_ += kStep;
      if (trouble) trouble(*this, now_ - begin);
      Deliver();
      Send();
      for (Router& router : routers_) {
        if (!router.is_frozen) router.holder->Tick();
      }
    }
  }

  void SetLoad(double load) { options_.load = load; }
  // Elects another leader. A gap of grants counts where the leader is away or back in this step.
  void ChangeLeader() {
    ++term_;
    const bool was_away = !has_leader_ || back_at_ == now_;
    sole_leader_since_ = was_away ? away_since_ : now_;
  }
  void SetLeader(bool is_there) {
    const bool was_there = std::exchange(has_leader_, is_there);
    if (was_there && !is_there) away_since_ = now_;
    if (!was_there && is_there) back_at_ = now_;
  }
  void SetCut(int router, bool is_cut) { routers_[router].is_cut = is_cut; }
  void SetFrozen(int router, bool is_frozen) { routers_[router].is_frozen = is_frozen; }
  void Restart(int router) {
    const std::string name = routers_[router].name;
    routers_[router] = MakeRouter(name);
    routers_[router].holder->SetQuotas(organisations_);
  }
  void ScaleQuotas(double factor) {
    for (RoutedOrganisation& organisation : organisations_) {
      organisation.quota->rate_per_second =
          static_cast<std::int64_t>(organisation.quota->rate_per_second * factor);
      organisation.quota->burst = static_cast<std::int64_t>(organisation.quota->burst * factor);
    }
    ledger_.SetQuotas(organisations_, now_);
    ApplyQuotas();
  }

  // Counts anew from here on.
  void ForgetTallies() {
    for (const RoutedOrganisation& organisation : organisations_) {
      Tally& tally = tallies_[organisation.name];
      tally = Tally{};
      tally.rate = organisation.quota->rate_per_second;
      tally.burst = organisation.quota->burst;
      tally.filled_at = now_;
    }
  }

  void CheckBound(double tolerance = kTolerance) const {
    for (const auto& [name, tally] : tallies_) {
      const double quota = static_cast<double>(tally.rate) * 8 + static_cast<double>(tally.burst);
      const auto bound = static_cast<std::int64_t>(quota * (1 + tolerance)) + kSlack;
      const std::string& organisation = name;
      CAPTURE(organisation);
      CHECK(tally.worst_window <= bound);
    }
  }

  // Returns what was admitted of what one bucket would have admitted.
  double AdmittedPart() const {
    double admitted = 0;
    double ideal = 0;
    for (const auto& [name, tally] : tallies_) {
      admitted += static_cast<double>(tally.total);
      ideal += static_cast<double>(tally.ideal);
    }
    return admitted / ideal;
  }

  // Returns the part of all requests that was admitted.
  double AdmittedRequests() const {
    return static_cast<double>(admitted_requests_) / static_cast<double>(requests_);
  }

  double messages_per_second() const {
    return static_cast<double>(messages_) / std::chrono::duration<double>(options_.length).count();
  }

 private:
  struct Router {
    std::string name;
    std::unique_ptr<QuotaHolder> holder;
    bool is_cut = false;
    bool is_frozen = false;
  };
  struct Message {
    Instant due{0};
    std::function<void()> deliver;
    bool operator<(const Message& other) const { return due > other.due; }
  };

  double Draw(double lowest, double highest) {
    return std::uniform_real_distribution<double>(lowest, highest)(generator_);
  }

  void AddOrganisation(const std::string& name) {
    RoutedOrganisation organisation;
    organisation.name = name;
    OrganisationQuota& quota = organisation.quota.emplace();
    const double even_rate =
        options_.requests_per_router * options_.routers * kMeanRequest / options_.load;
    const double rate =
        even_rate > 0 ? even_rate * std::exp(Draw(-0.7, 0.7)) : std::exp(Draw(10.5, 13.5));
    quota.rate_per_second = static_cast<std::int64_t>(rate);
    quota.burst = quota.rate_per_second;
    quota.counts_tokens = true;
    Tally& tally = tallies_[name];
    tally.rate = quota.rate_per_second;
    tally.burst = quota.burst;
    tally.level = static_cast<double>(tally.burst);
    organisations_.push_back(std::move(organisation));
  }

  Router MakeRouter(const std::string& name) {
    QuotaHolderHooks hooks;
    hooks.clock = [this] { return now_; };
    hooks.random = [this] { return generator_(); };
    hooks.send = [this, name](const QuotaAsked& asked) { SendToLeader(name, asked); };
    Router router;
    router.name = name;
    router.holder =
        std::make_unique<QuotaHolder>(QuotaHolderOptions{}, hooks, name, ++incarnation_);
    router.holder->SetRouters(options_.routers);
    return router;
  }

  void AddRouter() { routers_.push_back(MakeRouter(fmt::format("r{}", routers_.size()))); }

  void ApplyQuotas() {
    for (const Router& router : routers_) router.holder->SetQuotas(organisations_);
  }

  Router& Find(const std::string& name) {
    return *std::find_if(routers_.begin(), routers_.end(),
                         [&](const Router& router) { return router.name == name; });
  }

  void SendToLeader(const std::string& name, const QuotaAsked& asked) {
    ++messages_;
    messages_in_flight_.push(
        {now_ + options_.message_delay, [this, name, asked] {
           if (!has_leader_ || Find(name).is_cut) return;
           const QuotaGranted granted =
               ledger_.Grant(asked, term_, options_.routers, now_, sole_leader_since_);
           messages_in_flight_.push({now_ + options_.message_delay, [this, name, granted] {
                                       Router& router = Find(name);
                                       // What waits at a frozen router is read once it goes on.
                                       if (router.is_frozen) {
                                         frozen_answers_.emplace_back(name, granted);
                                       } else if (!router.is_cut) {
                                         router.holder->OnGranted(granted);
                                       }
                                     }});
         }});
  }

  void Deliver() {
    while (!messages_in_flight_.empty() && messages_in_flight_.top().due <= now_) {
      const auto deliver = messages_in_flight_.top().deliver;
      messages_in_flight_.pop();
      deliver();
    }
    const auto waiting = std::exchange(frozen_answers_, {});
    for (const auto& [name, granted] : waiting) {
      Router& router = Find(name);
      if (router.is_frozen) {
        frozen_answers_.emplace_back(name, granted);
      } else {
        router.holder->OnGranted(granted);
      }
    }
  }

  // The requests of a step. Which routers an organisation's callers reach changes every 5 s.
  void Send() {
    for (const RoutedOrganisation& organisation : organisations_) {
      Tally& tally = tallies_[organisation.name];
      double units = static_cast<double>(tally.rate) * options_.load *
                         std::chrono::duration<double>(kStep).count() +
                     carried_[organisation.name];
      while (units > 0) {
        const std::int64_t size = Draw(0, 1) < 0.01  ? kLargestRequest
                                  : Draw(0, 1) < 0.5 ? 9200
                                                     : 900;
        units -= static_cast<double>(size);
        SendOne(organisation.name, size, tally);
      }
      carried_[organisation.name] = units;
    }
  }

  void SendOne(const std::string& organisation, std::int64_t size, Tally& tally) {
    const auto epoch = static_cast<std::size_t>(now_ / seconds(5));
    const std::size_t first = std::hash<std::string>()(organisation) + 17 * epoch;
    const std::size_t spread = 1 + generator_() % 12;
    const std::size_t drawn = options_.is_even ? generator_() : first + spread * spread;
    Router& router = routers_[drawn % routers_.size()];
    tally.level =
        std::min(static_cast<double>(tally.burst),
                 tally.level + static_cast<double>(tally.rate) *
                                   std::chrono::duration<double>(now_ - tally.filled_at).count());
    tally.filled_at = now_;
    if (tally.level >= static_cast<double>(size)) {
      tally.level -= static_cast<double>(size);
      tally.ideal += size;
    }
    if (router.is_frozen) return;
    ++requests_;
    router.holder->Acquire(organisation, size, now_ + options_.longest_wait,
                           [this, &tally, size](const QuotaDecision& decision) {
                             if (decision.is_admitted) Admitted(tally, size);
                           });
  }

  void Admitted(Tally& tally, std::int64_t size) {
    ++admitted_requests_;
    tally.admitted.emplace_back(now_, size);
    tally.total += size;
    tally.window += size;
    while (now_ - tally.admitted.front().first >= kWindow) {
      tally.window -= tally.admitted.front().second;
      tally.admitted.pop_front();
    }
    tally.worst_window = std::max(tally.worst_window, tally.window);
  }

  QuotaFleetOptions options_;
  std::mt19937_64 generator_;
  Instant now_{seconds(1000)};
  std::uint64_t term_ = 1;
  bool has_leader_ = true;
  Instant away_since_{0};
  Instant back_at_{0};
  // Since when no leader before the one of this term has granted.
  Instant sole_leader_since_{seconds(1000)};
  std::int64_t incarnation_ = 0;
  std::int64_t messages_ = 0;
  std::int64_t requests_ = 0;
  std::int64_t admitted_requests_ = 0;
  std::vector<RoutedOrganisation> organisations_;
  std::map<std::string, Tally> tallies_;
  std::map<std::string, double> carried_;
  QuotaLedger ledger_;
  std::vector<Router> routers_;
  std::priority_queue<Message> messages_in_flight_;
  std::vector<std::pair<std::string, QuotaGranted>> frozen_answers_;
};

}  // namespace kumquat

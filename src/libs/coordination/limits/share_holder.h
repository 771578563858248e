// A router's shares of the organisations' capacities, and the admission of requests by them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/limits/demand_meter.h"
#include "coordination/limits/token_bucket.h"
#include "protocol/control_messages.h"
#include "utils/hooks.h"

namespace kumquat {

struct ShareHolderOptions {
  // Time between two requests to control when nothing hurries.
  Duration renew_interval = std::chrono::seconds(1);
  // Least time between two requests.
  Duration shortest_interval = std::chrono::milliseconds(100);
  // Expected time until control has answered, told to those who wait for it.
  Duration expected_answer = std::chrono::milliseconds(50);
  // How long a shortage may wait for control's answer before it refuses.
  Duration longest_wait = std::chrono::milliseconds(500);
  // When to come back, for those who need a free place or a share.
  Duration retry_after = std::chrono::seconds(1);
  // Time constant of the smoothed demand.
  Duration demand_memory = std::chrono::seconds(2);
};

enum class AdmissionVerdict {
  // Admitted; Release() gives the place back.
  kOk,
  // Control has to be asked for more first; try again after its next answer.
  kWait,
  // The plan's limit is reached, or control has not answered.
  kRefused,
};

struct AdmissionAnswer {
  AdmissionVerdict verdict = AdmissionVerdict::kRefused;
  // kWait: the expected wait. kRefused: when to come back.
  Duration after{0};
};

// The part of a LeaseRequest that this class fills.
struct SharesToRenew {
  std::int64_t sequence = 0;
  std::vector<ShareRequest> shares;
};

// Keeps the granted shares with their lease ends on this router's clock. A lease runs from the
// moment its request was sent, shortened by one in a hundred for clocks that run apart. A share
// whose lease has ended admits nothing; requests that run already go on.
class ShareHolder {
 public:
  // Tells whether the lease that ended at `lease_end` goes on because a majority of the control
  // replicas is proven down since then (PlanLease::OutageCovers).
  using OutageCovers = std::function<bool(Instant lease_end, Instant now)>;

  explicit ShareHolder(ShareHolderOptions options = {}, OutageCovers outage_covers = {});

  // Asks for a place for one request. Whoever was told to wait asks again, with the moment at which
  // it asked first: it is refused only when control has answered a request that was sent since
  // then, so that its own demand was counted.
  AdmissionAnswer TryAcquire(const std::string& organisation, std::int64_t estimated_tokens,
                             Instant now, std::optional<Instant> asked_first = std::nullopt);

  // Gives the place back; the request has ended.
  void Release(const std::string& organisation);

  // Corrects the tokens taken by TryAcquire to those that were really used.
  void Settle(const std::string& organisation, std::int64_t estimated_tokens,
              std::int64_t real_tokens, Instant now);

  // Returns whether a request should be sent now: the renewal is due, a request waits for a share,
  // or share was given back. The caller sends none while one is under way and not timed out.
  bool RequestDue(Instant now) const;

  // Begins the next request: sent now, once. Answers to earlier ones are dropped from here on, and
  // organisations without demand give their shares back.
  SharesToRenew BeginRequest(Instant now);

  // Takes the answer to the request with this sequence. False when it was dropped: it has a lower
  // term than one seen before, or is not the first answer to the newest request.
  bool Apply(std::int64_t sequence, const LeaseAnswer& answer, Instant now);

  // Returns the valid share; all zero when there is none. More requests may still run than its
  // `concurrent_requests` after a share shrank.
  Capacity Held(const std::string& organisation, Instant now) const;

  std::int64_t term() const { return term_; }

 private:
  struct Share {
    Capacity granted;
    // The concurrent requests that the leader counts as taken: more than granted while requests
    // run that began under a larger share.
    std::int64_t counted_running = 0;
    // The term of the leader that granted it, and the end of its lease.
    std::int64_t term = 0;
    Instant lease_end{0};
    // The newest request that named it, and what the newest answered one wanted.
    std::int64_t asked_in = 0;
    Capacity answered_wanted;
    // What the newest request reported.
    Capacity reported;
    Capacity wanted;
    TokenBucket requests;
    TokenBucket tokens;
    std::int64_t running = 0;
    DemandMeter request_demand;
    DemandMeter token_demand;
    // Most tokens of one request.
    std::int64_t largest_request = 0;
    // Requests that found no place.
    DemandMeter unmet;
    // When the request was sent whose answer was applied last.
    std::optional<Instant> answered_from;
    Instant created_at{0};
  };

  bool IsValid(const Share& share, Instant now) const;
  // What the share admits now, or what other parts of the system must count as taken.
  Capacity Believed(const Share& share, Instant now) const;
  Capacity Wanted(const Share& share, Instant now) const;
  // How long until the share admits a request; nothing when that can't be known.
  std::optional<Duration> TimeUntilPlace(const Share& share, std::int64_t tokens,
                                         Instant now) const;
  AdmissionAnswer FallShort(Share* share, Duration retry_after, Instant asked_first, Instant now);
  void ApplyGrant(Share* share, Capacity granted, std::int64_t term, Instant lease_end,
                  Instant now);

  ShareHolderOptions options_;
  OutageCovers outage_covers_;
  std::map<std::string, Share> shares_;
  std::int64_t term_ = 0;
  std::int64_t sequence_ = 0;
  bool answer_awaited_ = false;
  bool hurry_ = false;
  // Whether a new share is still below what is wanted; it is asked for more often.
  bool settling_ = false;
  std::optional<Instant> sent_at_;
};

}  // namespace kumquat

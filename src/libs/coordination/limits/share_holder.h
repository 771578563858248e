// A router's shares of the organisations' capacities, and the admission of requests against them.
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
  // Time between two regular requests to control.
  Duration renew_interval = std::chrono::seconds(1);
  // Minimum time between two requests to control.
  Duration min_interval = std::chrono::milliseconds(100);
  // Expected time until control has answered; returned to callers that have to wait for it.
  Duration expected_answer_delay = std::chrono::milliseconds(50);
  // How long a request may wait for a share, or until the rate limit admits it, before it is
  // refused.
  Duration max_wait = std::chrono::milliseconds(500);
  // When a refused caller should retry if the time can't be calculated, because it needs a free
  // slot or a share.
  Duration retry_after = std::chrono::seconds(1);
  // Time constant of the smoothed demand. See DemandMeter.
  Duration demand_time_constant = std::chrono::seconds(2);
};

enum class AdmissionVerdict {
  // Admitted. The caller must call Release() when the request has ended.
  kAdmitted,
  // Not admitted yet: the rate limit admits it soon, or control has to be asked for a larger share
  // first. The caller tries again after the returned time.
  kWait,
  // The limit of the plan is reached, or control has not answered in time.
  kRefused,
};

struct AdmissionAnswer {
  AdmissionVerdict verdict = AdmissionVerdict::kRefused;
  // kWait: the expected wait. kRefused: the time after which a retry makes sense.
  Duration after{0};
};

// The fields of a LeaseRequest that ShareHolder fills in.
struct SharesToRenew {
  std::int64_t sequence = 0;
  std::vector<ShareRequest> shares;
};

// Keeps the granted shares with the ends of their leases on this router's clock. A lease runs from
// the moment its request was sent, shortened by 1% for clock drift (see UsableLease()). A share
// whose lease has ended admits no requests; running requests continue.
class ShareHolder {
 public:
  // Returns whether a lease that ended at `lease_end` stays valid because a majority of the control
  // replicas has been proven down without interruption since then or earlier
  // (PlanLease::OutageExtendsLease).
  using OutageExtendsLease = std::function<bool(Instant lease_end, Instant now)>;

  explicit ShareHolder(ShareHolderOptions options = {},
                       OutageExtendsLease outage_extends_lease = {});

  // Tries to admit one request. A caller that was told to wait tries again and passes the moment of
  // its first attempt as `first_asked_at`. A request that the rate limit admits within `max_wait`
  // of that moment waits for it. Any other request for which the share is too small waits for a
  // larger one and is refused once one of these holds:
  //
  // (a) Control has answered a renewal that was sent at `first_asked_at` or later, which therefore
  //     counted the request's demand.
  // (b) The last answered renewal was sent less than `renew_interval` ago, and the share that it
  //     granted is still valid but below what was wanted.
  // (c) `max_wait` has passed since `first_asked_at`.
  AdmissionAnswer TryAcquire(const std::string& organisation, std::int64_t estimated_tokens,
                             Instant now, std::optional<Instant> first_asked_at = std::nullopt);

  // Frees the slot of an admitted request that has ended.
  void Release(const std::string& organisation);

  // Replaces the estimated tokens that TryAcquire() took by the number that was actually used.
  void Settle(const std::string& organisation, std::int64_t estimated_tokens,
              std::int64_t actual_tokens, Instant now);

  // Returns whether a request to control should be sent now: the regular renewal is due, a request
  // waits for a share, a new share is still too small, or a share was reduced. The caller sends
  // none while one is in flight and has not timed out.
  bool IsRequestDue(Instant now) const;

  // Returns the next request, which must be sent now and only once. From here on, answers to
  // earlier requests are dropped, and the shares of organisations without demand are given back.
  SharesToRenew BeginRequest(Instant now);

  // Applies the answer to the request with this sequence. Returns false if the answer was dropped:
  // it has a lower term than an earlier answer, or is not the first answer to the newest request.
  bool Apply(std::int64_t sequence, const LeaseAnswer& answer, Instant now);

  // Returns the share if it is valid, else zero in all fields. After a reduction more requests
  // may still run than its `concurrent_requests`.
  Capacity Held(const std::string& organisation, Instant now) const;

  std::int64_t term() const { return term_; }

 private:
  struct Share {
    Capacity granted;
    // The concurrent requests that the leader counts as held: more than granted while requests run
    // that were admitted under a larger share.
    std::int64_t counted_running = 0;
    // The term of the leader that granted the share; 0 before the first grant.
    std::int64_t term = 0;
    Instant lease_end{0};
    // The newest request that included this share.
    std::int64_t request_sequence = 0;
    // What was wanted in the newest request that was answered.
    Capacity last_answered_wanted;
    // What the newest request reported as held and as wanted.
    Capacity reported;
    Capacity wanted;
    // The rate limits of the share, in requests and in tokens.
    TokenBucket requests;
    TokenBucket tokens;
    // Admitted requests that have not ended.
    std::int64_t running = 0;
    DemandMeter request_demand;
    DemandMeter token_demand;
    // The largest token estimate of a single request.
    std::int64_t largest_request = 0;
    // Requests that were not admitted at their first attempt.
    DemandMeter unmet_demand;
    // When the request was sent whose answer was applied last; nullopt before the first one.
    std::optional<Instant> last_answered_sent_at;
    Instant created_at{0};
  };

  bool IsValid(const Share& share, Instant now) const;
  // Returns the valid share, with `concurrent_requests` raised to the running requests that the
  // leader still counts as held.
  Capacity HeldWithRunning(const Share& share, Instant now) const;
  // Returns the demand with headroom; zero in all fields if there is none.
  Capacity Wanted(const Share& share, Instant now) const;
  // Returns how long until the share admits a request; nullopt if that can't be calculated.
  std::optional<Duration> TimeUntilAdmission(const Share& share, std::int64_t tokens,
                                             Instant now) const;
  AdmissionAnswer WaitOrRefuse(Share* share, Duration retry_after, Instant first_asked_at,
                               Instant now);
  void ApplyGrant(Share* share, Capacity granted, std::int64_t term, Instant lease_end,
                  Instant now);

  ShareHolderOptions options_;
  OutageExtendsLease outage_extends_lease_;
  std::map<std::string, Share> shares_;
  std::int64_t term_ = 0;
  std::int64_t sequence_ = 0;
  bool answer_awaited_ = false;
  // Whether the next request should not wait for the regular renewal.
  bool renew_early_ = false;
  // Whether a new share is still below what is wanted; it is then renewed more often.
  bool ramping_up_ = false;
  // When the newest request was sent.
  std::optional<Instant> sent_at_;
};

}  // namespace kumquat

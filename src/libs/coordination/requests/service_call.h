// State machine of one call to a plain service, from its claim to its answer.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "coordination/requests/backend_choice.h"
#include "protocol/control_messages.h"
#include "protocol/error_kind.h"
#include "transport/backend_client.h"
#include "utils/hooks.h"

namespace kumquat {

// Commands that tell the router what to do next. The router executes them in order.
namespace service_command {

// Send claim.begin to control. A retry carries the same claimant.
struct BeginClaim {
  ClaimRequest request;
};

// Send claim.finish to control: how the call ended. The router repeats it until it is acknowledged,
// up to a limit.
struct FinishClaim {
  ClaimFinish finish;
};

// Send claim.release to control: the claimed call was not sent and will not be.
struct ReleaseClaim {
  ClaimId id;
};

// Send the call to the backend server, on a new connection if `new_connection` is set.
struct StartAttempt {
  std::string attempt_id;
  BackendChoice backend;
  bool new_connection = false;
};

// Cancel the attempt; its result is no longer needed.
struct CancelAttempt {
  std::string attempt_id;
  BackendChoice backend;
};

// Send this answer to the caller.
struct Answer {
  RecordedAnswer answer;
};

// Send this error to the caller.
struct Refuse {
  Error error;
};

// Call OnWake() at this time.
struct WakeAt {
  Instant moment{0};
};

// Report a successful attempt to the retry budget.
struct RecordSuccess {};

}  // namespace service_command

using ServiceCommand =
    std::variant<service_command::BeginClaim, service_command::FinishClaim,
                 service_command::ReleaseClaim, service_command::StartAttempt,
                 service_command::CancelAttempt, service_command::Answer, service_command::Refuse,
                 service_command::WakeAt, service_command::RecordSuccess>;
using ServiceCommands = std::vector<ServiceCommand>;

// Callbacks that supply external state to the call.
struct ServiceCallHooks {
  ChooseBackend choose_backend;
  // Returns whether the call is known to crash the backend servers that run it.
  std::function<bool()> is_condemned;
  // Takes a retry from the router's budget and returns the backoff before it; nothing when no
  // retry is allowed (RetryBudget::TryRetry).
  std::function<std::optional<Duration>(int retries_before, Instant now, Instant deadline)>
      try_retry;
};

struct ServiceCallOptions {
  std::string request_id;
  // Whether the operation may run more than once (ServiceOperation::repeatable).
  bool repeatable = false;
  Instant deadline{0};
  // Set for a non-repeatable call with an idempotency key. The claimant must be unique to this
  // request.
  std::optional<ClaimRequest> claim;
  // Repeatable calls: a second attempt is started in parallel after this time; zero disables
  // hedging.
  Duration hedge_after{0};
  // Repeatable calls: maximum number of attempts, hedged ones included.
  int max_attempts = 3;
  // Minimum time that a call needs to run. When less is left before the deadline the call is not
  // sent, and a claim that is granted then is released unused.
  Duration min_time_to_run = std::chrono::milliseconds(100);
};

// State machine of one call: each input returns the commands to execute next. It does no I/O and
// reads no clock.
//
// A repeatable call may be retried within the retry budget and hedged with a second attempt in
// parallel; the first successful answer cancels the other attempt.
//
// A non-repeatable call runs at most once. With an idempotency key it is claimed first. The answer
// to the caller is sent together with claim.finish and does not wait for it: the caller has its
// answer, and if claim.finish is lost, the claim stays running until control ends it as unknown. So
// a later call with the same key gets "running", then "unknown", or the recorded answer, and never
// causes a second run. When the answer to claim.begin is lost, the same claimant asks again. If
// that gets no answer either, the call is refused as not run and is never sent, even if the claim
// is granted later. The claim is released when the call is refused, and once more when a late
// answer grants it.
//
// A non-repeatable call without a key makes one attempt and no claim.
class ServiceCall {
 public:
  ServiceCall(ServiceCallOptions options, ServiceCallHooks hooks);

  // Starts the call. Must be called exactly once.
  ServiceCommands Start(Instant now);

  // Control answered claim.begin.
  ServiceCommands OnClaim(const ClaimAnswer& answer, Instant now);

  // claim.begin failed: it was not sent, timed out, or was refused by a replica. It is retried a
  // limited number of times before the deadline; then the call is refused as not run.
  ServiceCommands OnClaimFailed(Instant now);

  // The complete answer of an attempt was received.
  ServiceCommands OnAnswer(std::string_view attempt_id, const RecordedAnswer& answer, Instant now);

  // An attempt failed.
  ServiceCommands OnFailure(std::string_view attempt_id, CallFailure failure, Instant now);

  // The caller closed its connection. A non-repeatable call that was already sent continues, so
  // that its answer is recorded.
  ServiceCommands OnCallerGone(Instant now);

  // A time requested by WakeAt was reached.
  ServiceCommands OnWake(Instant now);

  // Returns whether the caller has its answer (or has disconnected) and no attempt is running. A
  // late answer to claim.begin should still be passed to OnClaim().
  bool done() const { return phase_ == Phase::kDone; }
  // Returns the number of ignored answers and failures, which came from attempts that were no
  // longer running.
  std::int64_t dropped() const { return dropped_; }
  int attempts() const { return attempts_; }

 private:
  enum class Phase { kNew, kClaiming, kBackingOff, kRunning, kDone };

  struct Attempt {
    std::string id;
    BackendChoice backend;
  };

  // Removes the attempt from the running ones and returns it. Returns nothing, and counts the input
  // as dropped, if it isn't running.
  std::optional<Attempt> RemoveRunningAttempt(std::string_view attempt_id);
  void RequestClaim(ServiceCommands* commands);
  void StartAttempt(Instant now, ServiceCommands* commands);
  void ScheduleHedge(Instant now, ServiceCommands* commands);
  void StartHedge(Instant now, ServiceCommands* commands);
  void OnNonRepeatableFailed(CallFailure failure, Instant now, ServiceCommands* commands);
  void RetryRepeatable(Instant now, ServiceCommands* commands);
  void BackOff(Instant until, ServiceCommands* commands);
  void OnDeadline(ServiceCommands* commands);
  // Each of these ends the call: cancels running attempts, finishes or releases the claim if there
  // is one, and answers the caller unless it has disconnected.
  void FinishWithAnswer(RecordedAnswer answer, ServiceCommands* commands);
  void FinishAndReleaseClaim(ErrorKind kind, ServiceCommands* commands);
  void FinishMayHaveRun(ServiceCommands* commands);
  void CancelRunning(ServiceCommands* commands);

  ServiceCallOptions options_;
  ServiceCallHooks hooks_;
  Phase phase_ = Phase::kNew;
  int claim_requests_ = 0;
  bool claim_held_ = false;
  // Whether the call ended without being sent, so that a claim granted late has to be released.
  bool claim_released_ = false;
  std::vector<Attempt> running_;
  std::vector<BackendChoice> avoid_;
  std::optional<Instant> hedge_at_;
  std::optional<Instant> retry_at_;
  int attempts_ = 0;
  bool caller_gone_ = false;
  bool may_have_run_ = false;
  std::int64_t dropped_ = 0;
};

}  // namespace kumquat

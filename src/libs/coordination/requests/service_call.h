// One call to a plain service, from its claim to its answer.
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

// What the router has to do next; it carries the commands out in their order.
namespace service_command {

// Ask control for the claim. The same command again carries the same claimant.
struct BeginClaim {
  ClaimRequest request;
};

// Tell control how the call ended; to be sent again until it is acknowledged, within a bound.
struct FinishClaim {
  ClaimFinish finish;
};

// Tell control that the claimed call was not sent and won't be.
struct ReleaseClaim {
  ClaimId id;
};

// Send the call to the backend server.
struct StartAttempt {
  std::string attempt_id;
  BackendChoice backend;
  bool new_connection = false;
};

struct CancelAttempt {
  std::string attempt_id;
  BackendChoice backend;
};

// Answer the caller.
struct Answer {
  RecordedAnswer answer;
};

// Answer the caller with an error.
struct Refuse {
  Error error;
};

// Call OnWake() at this moment.
struct WakeAt {
  Instant moment{0};
};

// Tell the retry budget of the success.
struct NoteSuccess {};

}  // namespace service_command

using ServiceCommand =
    std::variant<service_command::BeginClaim, service_command::FinishClaim,
                 service_command::ReleaseClaim, service_command::StartAttempt,
                 service_command::CancelAttempt, service_command::Answer, service_command::Refuse,
                 service_command::WakeAt, service_command::NoteSuccess>;
using ServiceCommands = std::vector<ServiceCommand>;

struct ServiceCallHooks {
  ChooseBackend choose_backend;
  // Takes a retry from the router's budget (RetryBudget::TryRetry).
  std::function<std::optional<Duration>(int retries_before, Instant now, Instant deadline)>
      try_retry;
};

struct ServiceCallOptions {
  std::string request_id;
  // ServiceOperation::repeatable.
  bool repeatable = false;
  Instant deadline{0};
  // Set for a call that may not be repeated and has an idempotency key. The claimant has to be
  // unique to this request.
  std::optional<ClaimRequest> claim;
  // Repeatable calls: a second attempt is sent beside the first after this time; none when zero.
  Duration hedge_after{0};
  // Repeatable calls: most attempts.
  int most_attempts = 3;
  // Time that a call is given to run; a claim that is granted later than this before the deadline
  // is released unused.
  Duration least_time_to_run = std::chrono::milliseconds(100);
};

// Decides for one call.
//
// A repeatable call may be retried within the budget and raced; the loser is cancelled.
//
// A call that may not be repeated goes out once. With an idempotency key it is claimed first. The
// answer to the caller goes out together with claim.finish and does not wait for it: the caller
// has the answer, and a finish that is lost leaves the claim running until control ends it as
// unknown. So the same key sent again gets running, then unknown, or the recorded answer, and
// never a second run. When claim.begin's own answer is lost, the same claimant asks again; when
// that brings nothing either, the call is refused as not run and never sent, whatever answer comes
// later; the claim is released then, and again when it turns out to have been granted.
//
// Without a key there is one attempt and no claim.
class ServiceCall {
 public:
  ServiceCall(ServiceCallOptions options, ServiceCallHooks hooks);

  // Begins; call it once.
  ServiceCommands Start(Instant now);

  // Control answered claim.begin.
  ServiceCommands OnClaim(const ClaimAnswer& answer, Instant now);

  // claim.begin had no answer: it was not sent, timed out, or refused by a replica.
  ServiceCommands OnClaimFailed(Instant now);

  // The whole answer of an attempt came.
  ServiceCommands OnAnswer(std::string_view attempt_id, const RecordedAnswer& answer, Instant now);

  // An attempt failed.
  ServiceCommands OnFailure(std::string_view attempt_id, CallFailure failure, Instant now);

  // The caller closed its connection. A call that was sent and may not be repeated goes on, so
  // that its answer is recorded.
  ServiceCommands OnCallerGone(Instant now);

  // A moment asked for by WakeAt has come.
  ServiceCommands OnWake(Instant now);

  // Whether the caller has its answer (or is gone) and nothing is under way. A late answer to
  // claim.begin should still be handed in.
  bool done() const { return phase_ == Phase::kDone; }
  // Answers of attempts that did not count.
  std::int64_t dropped() const { return dropped_; }
  int attempts() const { return attempts_; }

 private:
  enum class Phase { kNew, kClaiming, kBackingOff, kRunning, kDone };

  struct Attempt {
    std::string id;
    BackendChoice backend;
  };

  std::optional<Attempt> TakeAttempt(std::string_view attempt_id);
  void AskClaim(ServiceCommands* commands);
  void StartAttempt(Instant now, ServiceCommands* commands);
  void ArrangeHedge(Instant now, ServiceCommands* commands);
  void StartHedge(Instant now, ServiceCommands* commands);
  void OnOnceFailed(CallFailure failure, Instant now, ServiceCommands* commands);
  void RetryRepeatable(Instant now, ServiceCommands* commands);
  void OnDeadline(ServiceCommands* commands);
  // Ends the call: cancels what runs, settles the claim if it is held, and answers the caller.
  void FinishWithAnswer(RecordedAnswer answer, ServiceCommands* commands);
  void FinishNotRun(ErrorKind kind, ServiceCommands* commands);
  void FinishMayHaveRun(ServiceCommands* commands);
  void CancelRunning(ServiceCommands* commands);

  ServiceCallOptions options_;
  ServiceCallHooks hooks_;
  Phase phase_ = Phase::kNew;
  int claim_requests_ = 0;
  bool claim_held_ = false;
  // Whether the claim was given up unused.
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

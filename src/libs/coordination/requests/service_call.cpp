#include "coordination/requests/service_call.h"

#include <algorithm>
#include <utility>

namespace kumquat {
namespace {

using service_command::Answer;
using service_command::BeginClaim;
using service_command::CancelAttempt;
using service_command::FinishClaim;
using service_command::RecordSuccess;
using service_command::Refuse;
using service_command::ReleaseClaim;
using service_command::WakeAt;

// Maximum number of claim.begin requests of one call, and the delay before each retry.
constexpr int kMaxClaimRequests = 3;
constexpr Duration kClaimRetryDelay = std::chrono::milliseconds(100);
// Maximum number of attempts of a claimed call. Only an attempt that was not sent is followed by
// another.
constexpr int kMaxClaimedAttempts = 2;
constexpr int kStatusFirstServerError = 500;

}  // namespace

ServiceCall::ServiceCall(ServiceCallOptions options, ServiceCallHooks hooks)
    : options_(std::move(options)), hooks_(std::move(hooks)) {}

ServiceCommands ServiceCall::Start(Instant now) {
  ServiceCommands commands;
  if (hooks_.is_condemned()) {
    FinishAndReleaseClaim(ErrorKind::kPoisonRequest, &commands);
    return commands;
  }
  if (now + options_.min_time_to_run > options_.deadline) {
    FinishAndReleaseClaim(ErrorKind::kDeadlineBeforeRun, &commands);
    return commands;
  }
  commands.push_back(WakeAt{options_.deadline});
  if (!options_.repeatable && options_.claim) {
    RequestClaim(&commands);
  } else {
    StartAttempt(now, &commands);
  }
  return commands;
}

ServiceCommands ServiceCall::OnClaim(const ClaimAnswer& answer, Instant now) {
  ServiceCommands commands;
  if (phase_ != Phase::kClaiming) {
    // The call was not sent and never will be, so the claim must not keep the key occupied.
    if (claim_released_ && answer.verdict == ClaimVerdict::kGranted) {
      commands.push_back(ReleaseClaim{options_.claim->id});
    }
    return commands;
  }
  retry_at_.reset();
  switch (answer.verdict) {
    case ClaimVerdict::kGranted:
      claim_held_ = true;
      if (now + options_.min_time_to_run > options_.deadline) {
        FinishAndReleaseClaim(ErrorKind::kDeadlineBeforeRun, &commands);
      } else {
        StartAttempt(now, &commands);
      }
      return commands;
    case ClaimVerdict::kRecorded:
      if (answer.recorded) {
        phase_ = Phase::kDone;
        commands.push_back(Answer{*answer.recorded});
        return commands;
      }
      break;
    default:
      break;
  }
  phase_ = Phase::kDone;
  ErrorKind kind = ErrorKind::kOutcomeUnknown;
  if (answer.verdict == ClaimVerdict::kRunning) kind = ErrorKind::kDuplicateRunning;
  if (answer.verdict == ClaimVerdict::kConflict) kind = ErrorKind::kIdempotencyConflict;
  if (answer.verdict == ClaimVerdict::kFull) kind = ErrorKind::kClaimUnavailable;
  commands.push_back(Refuse{{kind, "", std::nullopt}});
  return commands;
}

ServiceCommands ServiceCall::OnClaimFailed(Instant now) {
  ServiceCommands commands;
  if (phase_ != Phase::kClaiming || retry_at_) return commands;
  const Instant again = now + kClaimRetryDelay;
  if (claim_requests_ >= kMaxClaimRequests || again >= options_.deadline) {
    FinishAndReleaseClaim(ErrorKind::kClaimUnavailable, &commands);
    return commands;
  }
  retry_at_ = again;
  commands.push_back(WakeAt{again});
  return commands;
}

ServiceCommands ServiceCall::OnAnswer(std::string_view attempt_id, const RecordedAnswer& answer,
                                      Instant now) {
  ServiceCommands commands;
  const std::optional<Attempt> attempt = RemoveRunningAttempt(attempt_id);
  if (!attempt) return commands;
  may_have_run_ = true;
  const bool failed = answer.status >= kStatusFirstServerError;
  if (options_.repeatable && failed && !running_.empty()) return commands;
  if (options_.repeatable && failed && attempts_ < options_.max_attempts) {
    avoid_.push_back(attempt->backend);
    const std::optional<Duration> backoff = hooks_.try_retry(attempts_ - 1, now, options_.deadline);
    if (backoff) {
      BackOff(now + *backoff, &commands);
      return commands;
    }
  }
  if (!failed) commands.push_back(RecordSuccess{});
  FinishWithAnswer(answer, &commands);
  return commands;
}

ServiceCommands ServiceCall::OnFailure(std::string_view attempt_id, CallFailure failure,
                                       Instant now) {
  ServiceCommands commands;
  const std::optional<Attempt> attempt = RemoveRunningAttempt(attempt_id);
  if (!attempt) return commands;
  avoid_.push_back(attempt->backend);
  if (failure != CallFailure::kNotSent) may_have_run_ = true;
  if (!options_.repeatable) {
    OnNonRepeatableFailed(failure, now, &commands);
  } else if (running_.empty()) {
    RetryRepeatable(now, &commands);
  }
  return commands;
}

ServiceCommands ServiceCall::OnCallerGone(Instant /*now*/) {
  ServiceCommands commands;
  if (phase_ == Phase::kDone) return commands;
  caller_gone_ = true;
  if (!options_.repeatable && phase_ == Phase::kRunning) return commands;
  FinishAndReleaseClaim(ErrorKind::kCallerGone, &commands);
  return commands;
}

ServiceCommands ServiceCall::OnWake(Instant now) {
  ServiceCommands commands;
  if (phase_ == Phase::kDone) return commands;
  if (now >= options_.deadline) {
    OnDeadline(&commands);
    return commands;
  }
  if (retry_at_ && now >= *retry_at_) {
    retry_at_.reset();
    if (phase_ == Phase::kClaiming) {
      RequestClaim(&commands);
    } else {
      StartAttempt(now, &commands);
    }
    return commands;
  }
  if (hedge_at_ && now >= *hedge_at_) StartHedge(now, &commands);
  return commands;
}

std::optional<ServiceCall::Attempt> ServiceCall::RemoveRunningAttempt(std::string_view attempt_id) {
  const auto it = std::find_if(running_.begin(), running_.end(),
                               [&](const Attempt& attempt) { return attempt.id == attempt_id; });
  if (phase_ != Phase::kRunning || it == running_.end()) {
    ++dropped_;
    return std::nullopt;
  }
  std::optional<Attempt> attempt = std::move(*it);
  running_.erase(it);
  return attempt;
}

void ServiceCall::RequestClaim(ServiceCommands* commands) {
  phase_ = Phase::kClaiming;
  ++claim_requests_;
  commands->push_back(BeginClaim{*options_.claim});
}

void ServiceCall::StartAttempt(Instant now, ServiceCommands* commands) {
  if (hooks_.is_condemned()) {
    if (may_have_run_) {
      FinishMayHaveRun(commands);
    } else {
      FinishAndReleaseClaim(ErrorKind::kPoisonRequest, commands);
    }
    return;
  }
  const std::optional<BackendChoice> backend = hooks_.choose_backend(avoid_);
  if (!backend) {
    if (may_have_run_) {
      FinishMayHaveRun(commands);
    } else {
      FinishAndReleaseClaim(ErrorKind::kNoBackendServer, commands);
    }
    return;
  }
  phase_ = Phase::kRunning;
  ++attempts_;
  // On a kept connection a faulty server may have left an answer of an earlier call.
  const bool new_connection = !options_.repeatable || attempts_ > 1;
  running_.push_back({options_.request_id + "-" + std::to_string(attempts_), *backend});
  commands->push_back(service_command::StartAttempt{running_.back().id, *backend, new_connection});
  ScheduleHedge(now, commands);
}

void ServiceCall::ScheduleHedge(Instant now, ServiceCommands* commands) {
  hedge_at_.reset();
  if (!options_.repeatable || options_.hedge_after.count() == 0 || running_.size() > 1) return;
  if (attempts_ >= options_.max_attempts) return;
  hedge_at_ = now + options_.hedge_after;
  commands->push_back(WakeAt{*hedge_at_});
}

void ServiceCall::StartHedge(Instant now, ServiceCommands* commands) {
  hedge_at_.reset();
  if (hooks_.is_condemned()) return;
  if (!hooks_.try_retry(0, now, options_.deadline)) return;
  std::vector<BackendChoice> avoid = avoid_;
  for (const Attempt& attempt : running_) avoid.push_back(attempt.backend);
  const std::optional<BackendChoice> backend = hooks_.choose_backend(avoid);
  if (!backend || std::find(avoid.begin(), avoid.end(), *backend) != avoid.end()) return;
  ++attempts_;
  running_.push_back({options_.request_id + "-" + std::to_string(attempts_), *backend});
  commands->push_back(service_command::StartAttempt{running_.back().id, *backend, true});
}

// An attempt of a non-repeatable call failed. Only a claimed call that was not sent is tried again.
void ServiceCall::OnNonRepeatableFailed(CallFailure failure, Instant now,
                                        ServiceCommands* commands) {
  if (failure != CallFailure::kNotSent) {
    FinishMayHaveRun(commands);
    return;
  }
  if (claim_held_ && !caller_gone_ && attempts_ < kMaxClaimedAttempts) {
    StartAttempt(now, commands);
    return;
  }
  FinishAndReleaseClaim(ErrorKind::kNoBackendServer, commands);
}

void ServiceCall::RetryRepeatable(Instant now, ServiceCommands* commands) {
  std::optional<Duration> backoff;
  if (attempts_ < options_.max_attempts) {
    backoff = hooks_.try_retry(attempts_ - 1, now, options_.deadline);
  }
  if (backoff) {
    BackOff(now + *backoff, commands);
  } else if (may_have_run_) {
    FinishMayHaveRun(commands);
  } else {
    FinishAndReleaseClaim(ErrorKind::kNoBackendServer, commands);
  }
}

// Waits for the next attempt, which replaces the hedge of the one that failed.
void ServiceCall::BackOff(Instant until, ServiceCommands* commands) {
  phase_ = Phase::kBackingOff;
  hedge_at_.reset();
  retry_at_ = until;
  commands->push_back(WakeAt{until});
}

void ServiceCall::OnDeadline(ServiceCommands* commands) {
  if (may_have_run_ || !running_.empty()) {
    FinishMayHaveRun(commands);
  } else {
    FinishAndReleaseClaim(ErrorKind::kDeadlineBeforeRun, commands);
  }
}

void ServiceCall::FinishWithAnswer(RecordedAnswer answer, ServiceCommands* commands) {
  CancelRunning(commands);
  phase_ = Phase::kDone;
  if (claim_held_) commands->push_back(FinishClaim{{options_.claim->id, answer}});
  if (!caller_gone_) commands->push_back(Answer{std::move(answer)});
}

// Ends a call of which no byte was sent; its claim is released rather than finished. Also ends a
// repeatable call, which has no claim, when its caller has disconnected; that call may have run.
void ServiceCall::FinishAndReleaseClaim(ErrorKind kind, ServiceCommands* commands) {
  CancelRunning(commands);
  phase_ = Phase::kDone;
  if (claim_requests_ > 0) {
    commands->push_back(ReleaseClaim{options_.claim->id});
    claim_released_ = true;
  }
  if (!caller_gone_) commands->push_back(Refuse{{kind, "", std::nullopt}});
}

void ServiceCall::FinishMayHaveRun(ServiceCommands* commands) {
  CancelRunning(commands);
  phase_ = Phase::kDone;
  if (claim_held_) commands->push_back(FinishClaim{{options_.claim->id, std::nullopt}});
  if (caller_gone_) return;
  const ErrorKind kind =
      options_.repeatable ? ErrorKind::kBackendServerFailed : ErrorKind::kOutcomeUnknown;
  commands->push_back(Refuse{{kind, "", std::nullopt}});
}

void ServiceCall::CancelRunning(ServiceCommands* commands) {
  for (const Attempt& attempt : running_) {
    commands->push_back(CancelAttempt{attempt.id, attempt.backend});
  }
  running_.clear();
}

}  // namespace kumquat

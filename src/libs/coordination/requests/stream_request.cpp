#include "coordination/requests/stream_request.h"

#include <algorithm>
#include <utility>

namespace kumquat {
namespace {

using stream_command::CancelAttempt;
using stream_command::EmitEnd;
using stream_command::EmitError;
using stream_command::EmitText;
using stream_command::ProbeBackend;
using stream_command::RecordStrike;
using stream_command::RecordSuccess;
using stream_command::Refuse;
using stream_command::WakeAt;

constexpr int kStatusOk = 200;
constexpr int kStatusStaleIncarnation = 409;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusFirstServerError = 500;
constexpr int kStatusUnavailable = 503;

bool Contains(const std::vector<BackendChoice>& backends, const BackendChoice& backend) {
  return std::find(backends.begin(), backends.end(), backend) != backends.end();
}

}  // namespace

StreamRequest::StreamRequest(StreamRequestOptions options, StreamRequestHooks hooks)
    : options_(std::move(options)), hooks_(std::move(hooks)) {}

StreamCommands StreamRequest::Start(Instant now) {
  StreamCommands commands;
  commands.push_back(WakeAt{options_.deadline});
  StartAttempt(now, &commands);
  return commands;
}

StreamCommands StreamRequest::OnHeaders(std::string_view attempt_id, int status, Instant now) {
  StreamCommands commands;
  if (!IsCurrent(attempt_id)) return commands;
  if (status == kStatusOk) {
    attempt_->headers_seen = true;
    // The backend server is alive, so an earlier connection was lost for another reason.
    std::erase(lost_backends_, attempt_->backend);
    return commands;
  }
  if (status == kStatusStaleIncarnation) {
    StrikeIfConnectionLost(attempt_->backend, &commands);
    EndAttempt(AttemptEnd::kNotRun, now, &commands);
    return commands;
  }
  if (status == kStatusTooManyRequests || status == kStatusUnavailable) {
    EndAttempt(AttemptEnd::kNotRun, now, &commands);
    return commands;
  }
  if (status >= kStatusFirstServerError || next_offset_ > 0) {
    EndAttempt(AttemptEnd::kFaultyAnswer, now, &commands);
    return commands;
  }
  Finish(
      {ErrorKind::kBadRequest,
       "The backend server refused it with status " + std::to_string(status) + ".", std::nullopt},
      &commands);
  return commands;
}

StreamCommands StreamRequest::OnEvent(std::string_view attempt_id, const EngineEvent& event,
                                      Instant now) {
  StreamCommands commands;
  if (!IsCurrent(attempt_id)) return commands;
  if (event.attempt_id != attempt_id) {
    ++drops_.other_attempt;
    return commands;
  }
  if (!attempt_->headers_seen) {
    EndAttempt(AttemptEnd::kFaultyAnswer, now, &commands);
  } else if (event.is_end) {
    HandleEnd(event, now, &commands);
  } else {
    HandleToken(event, now, &commands);
  }
  return commands;
}

StreamCommands StreamRequest::OnMalformedEvent(std::string_view attempt_id, Instant now) {
  StreamCommands commands;
  if (IsCurrent(attempt_id)) EndAttempt(AttemptEnd::kFaultyAnswer, now, &commands);
  return commands;
}

StreamCommands StreamRequest::OnConnectionEnd(std::string_view attempt_id, Instant now) {
  return OnFailure(attempt_id, CallFailure::kBroken, now);
}

StreamCommands StreamRequest::OnFailure(std::string_view attempt_id, CallFailure failure,
                                        Instant now) {
  StreamCommands commands;
  if (!IsCurrent(attempt_id)) return commands;
  commands.push_back(ProbeBackend{attempt_->backend});
  if (failure == CallFailure::kNotSent) {
    StrikeIfConnectionLost(attempt_->backend, &commands);
    EndAttempt(AttemptEnd::kNotRun, now, &commands);
    return commands;
  }
  RecordConnectionLoss();
  if (hooks_.is_backend_dead(attempt_->backend))
    StrikeIfConnectionLost(attempt_->backend, &commands);
  EndAttempt(AttemptEnd::kConnectionLost, now, &commands);
  return commands;
}

StreamCommands StreamRequest::OnBackendDead(const BackendChoice& backend, Instant now) {
  StreamCommands commands;
  if (done_) return commands;
  const bool current = attempt_ && attempt_->backend == backend;
  if (current) RecordConnectionLoss();
  StrikeIfConnectionLost(backend, &commands);
  if (current) EndAttempt(AttemptEnd::kConnectionLost, now, &commands);
  return commands;
}

StreamCommands StreamRequest::OnCallerGone(Instant /*now*/) {
  StreamCommands commands;
  if (done_) return commands;
  if (attempt_) commands.push_back(CancelAttempt{attempt_->id, attempt_->backend});
  attempt_.reset();
  done_ = true;
  return commands;
}

StreamCommands StreamRequest::OnWake(Instant now) {
  StreamCommands commands;
  if (done_) return commands;
  if (now >= options_.deadline) {
    Finish(DeadlineError(), &commands);
    return commands;
  }
  if (!retry_at_ || now < *retry_at_) return commands;
  retry_at_.reset();
  StartAttempt(now, &commands);
  return commands;
}

// Remembers the lost connection for a later strike, except if the backend server was already dead
// when the attempt began: the attempt can't have caused its death.
void StreamRequest::RecordConnectionLoss() {
  if (attempt_->was_dead || Contains(lost_backends_, attempt_->backend)) return;
  lost_backends_.push_back(attempt_->backend);
}

bool StreamRequest::IsCurrent(std::string_view attempt_id) {
  if (done_) {
    ++drops_.after_end;
    return false;
  }
  if (attempt_ && attempt_->id == attempt_id) return true;
  ++drops_.other_attempt;
  return false;
}

void StreamRequest::HandleToken(const EngineEvent& event, Instant now, StreamCommands* commands) {
  if (event.offset < next_offset_) {
    ++drops_.duplicates;
    return;
  }
  if (event.offset > next_offset_) {
    EndAttempt(AttemptEnd::kFaultyAnswer, now, commands);
    return;
  }
  ++next_offset_;
  text_ += event.text;
  commands->push_back(EmitText{event.offset, event.text});
}

void StreamRequest::HandleEnd(const EngineEvent& event, Instant now, StreamCommands* commands) {
  if (event.offset != next_offset_) {
    EndAttempt(AttemptEnd::kFaultyAnswer, now, commands);
    return;
  }
  attempt_.reset();
  done_ = true;
  commands->push_back(EmitEnd{event.finish_reason, event.usage});
  commands->push_back(RecordSuccess{});
}

// Ends the current attempt, and either schedules the next one or ends the request.
void StreamRequest::EndAttempt(AttemptEnd end, Instant now, StreamCommands* commands) {
  const Attempt ended = *attempt_;
  attempt_.reset();
  commands->push_back(CancelAttempt{ended.id, ended.backend});
  if (end != AttemptEnd::kNotRun) may_have_run_ = true;
  const bool without_token = ended.first_offset == next_offset_;
  attempts_without_token_ = without_token ? attempts_without_token_ + 1 : 0;

  // After a second lost connection in a row without a token, another backend server is tried.
  const bool retry_same_backend = end == AttemptEnd::kConnectionLost &&
                                  !(ended.same_backend && without_token) &&
                                  !hooks_.is_backend_dead(ended.backend);
  same_backend_.reset();
  if (retry_same_backend) {
    same_backend_ = ended.backend;
  } else if (!Contains(avoid_, ended.backend)) {
    avoid_.push_back(ended.backend);
  }
  RetryLater(now, commands);
}

bool StreamRequest::MayTryAgain() const {
  return attempts_without_token_ < options_.max_attempts_without_token &&
         attempts_ < options_.max_attempts;
}

// Schedules the next attempt after a backoff. It starts only in OnWake(), after the caller has
// executed the strike commands returned now, so is_condemned() then takes these strikes into
// account.
void StreamRequest::RetryLater(Instant now, StreamCommands* commands) {
  if (!MayTryAgain()) {
    Finish(FailureError(), commands);
    return;
  }
  const int retries_before = std::max(attempts_without_token_ - 1, 0);
  const std::optional<Duration> backoff = hooks_.try_retry(retries_before, now, options_.deadline);
  if (!backoff) {
    Finish(FailureError(), commands);
    return;
  }
  retry_at_ = now + *backoff;
  commands->push_back(WakeAt{*retry_at_});
}

void StreamRequest::StartAttempt(Instant now, StreamCommands* commands) {
  if (now >= options_.deadline) {
    Finish(DeadlineError(), commands);
    return;
  }
  if (hooks_.is_condemned()) {
    Finish({ErrorKind::kPoisonRequest, "", std::nullopt}, commands);
    return;
  }
  std::optional<BackendChoice> backend = std::exchange(same_backend_, std::nullopt);
  if (backend && hooks_.is_backend_dead(*backend)) {
    StrikeIfConnectionLost(*backend, commands);
    avoid_.push_back(*backend);
    RetryLater(now, commands);
    return;
  }
  const bool same_backend = backend.has_value();
  if (!backend) backend = hooks_.choose_backend(avoid_);
  if (!backend) {
    WaitForBackend(now, commands);
    return;
  }
  waiting_since_.reset();
  ++attempts_;
  attempt_ = {options_.request_id + "-" + std::to_string(attempts_), *backend, next_offset_,
              same_backend, false};
  attempt_->was_dead = hooks_.is_backend_dead(*backend);
  commands->push_back(
      stream_command::StartAttempt{attempt_->id, *backend, next_offset_, text_, same_backend});
}

// Waiting is not a failure, so it takes no retry from the budget: a harmless request that ran on
// the same backend server as a poison request is suspected too, and may have to wait for a backend
// server that runs no other suspected request.
void StreamRequest::WaitForBackend(Instant now, StreamCommands* commands) {
  if (!waiting_since_) waiting_since_ = now;
  const bool may_wait = hooks_.may_wait_for_backend && hooks_.may_wait_for_backend();
  if (may_wait) waiting_since_ = now;
  if ((attempts_ == 0 && !may_wait) || now - *waiting_since_ >= options_.max_wait_for_backend) {
    Finish(FailureError(), commands);
    return;
  }
  retry_at_ = now + options_.backend_poll_interval;
  commands->push_back(WakeAt{*retry_at_});
}

// Gives one strike if an attempt lost its connection to this backend server.
void StreamRequest::StrikeIfConnectionLost(const BackendChoice& backend, StreamCommands* commands) {
  if (std::erase(lost_backends_, backend) > 0) commands->push_back(RecordStrike{backend});
}

void StreamRequest::Finish(Error error, StreamCommands* commands) {
  if (attempt_) commands->push_back(CancelAttempt{attempt_->id, attempt_->backend});
  attempt_.reset();
  done_ = true;
  if (next_offset_ > 0) {
    commands->push_back(EmitError{std::move(error)});
  } else {
    commands->push_back(Refuse{std::move(error)});
  }
}

Error StreamRequest::DeadlineError() const {
  if (may_have_run_ || attempt_ || next_offset_ > 0) return FailureError();
  return {ErrorKind::kDeadlineBeforeRun, "", std::nullopt};
}

Error StreamRequest::FailureError() const {
  if (next_offset_ > 0) return {ErrorKind::kStreamInterrupted, "", std::nullopt};
  if (may_have_run_ || attempt_) return {ErrorKind::kBackendServerFailed, "", std::nullopt};
  return {ErrorKind::kNoBackendServer, "", std::nullopt};
}

}  // namespace kumquat

#include "coordination/requests/stream_request.h"

#include <algorithm>
#include <utility>

namespace kumquat {
namespace {

using stream_command::CancelAttempt;
using stream_command::EmitEnd;
using stream_command::EmitError;
using stream_command::EmitText;
using stream_command::GiveStrike;
using stream_command::NoteSuccess;
using stream_command::ProbeBackend;
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
    // It lives, so an earlier connection to it was lost for another reason.
    std::erase(lost_on_, attempt_->backend);
    return commands;
  }
  if (status == kStatusStaleIncarnation) {
    StrikeIfLost(attempt_->backend, &commands);
    EndAttempt(AttemptEnd::kNotRun, now, &commands);
    return commands;
  }
  if (status == kStatusTooManyRequests || status == kStatusUnavailable) {
    EndAttempt(AttemptEnd::kNotRun, now, &commands);
    return commands;
  }
  if (status >= kStatusFirstServerError || next_offset_ > 0) {
    EndAttempt(AttemptEnd::kFault, now, &commands);
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
    EndAttempt(AttemptEnd::kFault, now, &commands);
  } else if (event.is_end) {
    TakeEnd(event, now, &commands);
  } else {
    TakeToken(event, now, &commands);
  }
  return commands;
}

StreamCommands StreamRequest::OnBrokenEvent(std::string_view attempt_id, Instant now) {
  StreamCommands commands;
  if (IsCurrent(attempt_id)) EndAttempt(AttemptEnd::kFault, now, &commands);
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
    StrikeIfLost(attempt_->backend, &commands);
    EndAttempt(AttemptEnd::kNotRun, now, &commands);
    return commands;
  }
  NoteLoss();
  if (hooks_.is_backend_dead(attempt_->backend)) StrikeIfLost(attempt_->backend, &commands);
  EndAttempt(AttemptEnd::kConnectionLost, now, &commands);
  return commands;
}

StreamCommands StreamRequest::OnBackendDead(const BackendChoice& backend, Instant now) {
  StreamCommands commands;
  if (done_) return commands;
  const bool current = attempt_ && attempt_->backend == backend;
  if (current) NoteLoss();
  StrikeIfLost(backend, &commands);
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

// A backend server that was dead before the attempt began did not die of it.
void StreamRequest::NoteLoss() {
  if (attempt_->was_dead || Contains(lost_on_, attempt_->backend)) return;
  lost_on_.push_back(attempt_->backend);
}

// Counts what is not of the current attempt.
bool StreamRequest::IsCurrent(std::string_view attempt_id) {
  if (done_) {
    ++drops_.after_end;
    return false;
  }
  if (attempt_ && attempt_->id == attempt_id) return true;
  ++drops_.other_attempt;
  return false;
}

void StreamRequest::TakeToken(const EngineEvent& event, Instant now, StreamCommands* commands) {
  if (event.offset < next_offset_) {
    ++drops_.duplicates;
    return;
  }
  if (event.offset > next_offset_) {
    EndAttempt(AttemptEnd::kFault, now, commands);
    return;
  }
  ++next_offset_;
  text_ += event.text;
  commands->push_back(EmitText{event.offset, event.text});
}

void StreamRequest::TakeEnd(const EngineEvent& event, Instant now, StreamCommands* commands) {
  if (event.offset != next_offset_) {
    EndAttempt(AttemptEnd::kFault, now, commands);
    return;
  }
  attempt_.reset();
  done_ = true;
  commands->push_back(EmitEnd{event.finish_reason, event.usage});
  commands->push_back(NoteSuccess{});
}

// Ends the current attempt and arranges the next one, or gives up.
void StreamRequest::EndAttempt(AttemptEnd end, Instant now, StreamCommands* commands) {
  const Attempt ended = *attempt_;
  attempt_.reset();
  commands->push_back(CancelAttempt{ended.id, ended.backend});
  if (end != AttemptEnd::kNotRun) may_have_run_ = true;
  const bool fruitless = ended.first_offset == next_offset_;
  fruitless_ = fruitless ? fruitless_ + 1 : 0;

  // A second lost connection in a row without a token: another backend server, then.
  const bool same_again = end == AttemptEnd::kConnectionLost &&
                          !(ended.same_backend && fruitless) &&
                          !hooks_.is_backend_dead(ended.backend);
  same_backend_.reset();
  if (same_again) {
    same_backend_ = ended.backend;
  } else if (!Contains(avoid_, ended.backend)) {
    avoid_.push_back(ended.backend);
  }
  RetryLater(now, commands);
}

bool StreamRequest::MayTryAgain() const {
  return fruitless_ < options_.most_fruitless_attempts && attempts_ < options_.most_attempts;
}

// The next attempt begins after a pause, by which the strikes of this one are counted.
void StreamRequest::RetryLater(Instant now, StreamCommands* commands) {
  if (!MayTryAgain()) {
    Finish(FailureError(), commands);
    return;
  }
  const int retries_before = std::max(fruitless_ - 1, 0);
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
    StrikeIfLost(*backend, commands);
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

// Waiting is no failure, so it takes nothing from the budget: a bystander of a poison request has
// to wait for its turn among the suspects.
void StreamRequest::WaitForBackend(Instant now, StreamCommands* commands) {
  if (!waiting_since_) waiting_since_ = now;
  const bool may_wait = hooks_.may_wait_for_place && hooks_.may_wait_for_place();
  if (may_wait) waiting_since_ = now;
  if ((attempts_ == 0 && !may_wait) || now - *waiting_since_ >= options_.longest_wait_for_backend) {
    Finish(FailureError(), commands);
    return;
  }
  retry_at_ = now + options_.look_for_backend_every;
  commands->push_back(WakeAt{*retry_at_});
}

// Gives the strike for an attempt that lost its connection there, once.
void StreamRequest::StrikeIfLost(const BackendChoice& backend, StreamCommands* commands) {
  if (std::erase(lost_on_, backend) > 0) commands->push_back(GiveStrike{backend});
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

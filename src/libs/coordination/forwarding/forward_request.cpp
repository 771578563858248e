#include "coordination/forwarding/forward_request.h"

#include <algorithm>
#include <utility>

namespace kumquat {
namespace {

constexpr int kFirstRedirect = 300;
constexpr int kFirstServerError = 500;
// A copy is kept for only a few seconds, and each engine that refuses to resume it uses up some of
// them.
constexpr int kMaxCopySends = 6;
// The sends that a run which is stopped to be moved may need: to the other engine, and back.
constexpr int kSendsOfMove = 2;

EndReason ReasonOf(CallFailure failure) {
  switch (failure) {
    case CallFailure::kNotSent:
      return EndReason::kNotSent;
    case CallFailure::kSilent:
      return EndReason::kSilent;
    case CallFailure::kBroken:
      break;
  }
  return EndReason::kBroken;
}

}  // namespace

std::string_view SendCauseName(SendCause cause) {
  switch (cause) {
    case SendCause::kFirst:
      return "first";
    case SendCause::kRetry:
      return "retry";
    case SendCause::kMove:
      return "move";
    case SendCause::kCopy:
      return "copy";
    case SendCause::kCopyElsewhere:
      return "copy_elsewhere";
  }
  return "first";
}

std::string_view EndReasonName(EndReason reason) {
  switch (reason) {
    case EndReason::kNone:
      return "-";
    case EndReason::kNotSent:
      return "not_sent";
    case EndReason::kBroken:
      return "broken";
    case EndReason::kSilent:
      return "silent";
    case EndReason::kNotRun:
      return "not_run";
    case EndReason::kUnfitHead:
      return "unfit_head";
    case EndReason::kEventGap:
      return "event_gap";
    case EndReason::kNoBackend:
      return "no_backend";
    case EndReason::kBacklog:
      return "backlog";
    case EndReason::kNoRepeat:
      return "no_repeat";
    case EndReason::kHeld:
      return "held";
    case EndReason::kVersionGone:
      return "version_gone";
    case EndReason::kCondemned:
      return "condemned";
    case EndReason::kDeadline:
      return "deadline";
    case EndReason::kShutdown:
      return "shutdown";
    case EndReason::kCallerGone:
      return "caller_gone";
  }
  return "-";
}

ForwardRequest::ForwardRequest(const ForwardPolicy& policy, ForwardHooks hooks)
    : policy_(policy), hooks_(std::move(hooks)), last_event_(policy.caller_last_event) {}

bool ForwardRequest::IsCurrent(std::int64_t attempt) const {
  return attempt != 0 && attempt == attempt_ && state_ != State::kDone;
}

void ForwardRequest::Start(Instant now) {
  state_ = State::kWaiting;
  TrySend(now);
}

void ForwardRequest::StartWaiting() { state_ = State::kWaiting; }

void ForwardRequest::OnCapacityFree(Instant now) {
  if (state_ == State::kWaiting) TrySend(now);
}

bool ForwardRequest::IsCondemned() const {
  return is_past_beginning() ? hooks_.is_run_condemned() : hooks_.is_condemned();
}

void ForwardRequest::GiveUpCondemned() {
  GiveUp(EndReason::kCondemned, ErrorKind::kPoisonRequest, ErrorKind::kPoisonRequest);
}

void ForwardRequest::TrySend(Instant now) {
  if (IsCondemned()) return GiveUpCondemned();
  std::optional<BackendChoice> backend = hooks_.choose(avoid_);
  // If no other server is left, one that failed before is tried again, but only if the request may
  // have run already. A request that surely hasn't run waits or is refused instead.
  if (!backend && runs_ > 0 && !avoid_.empty()) backend = hooks_.choose({});
  if (!backend) {
    state_ = State::kWaiting;
    if (hooks_.is_version_gone()) {
      return GiveUp(EndReason::kVersionGone, ErrorKind::kStreamInterrupted,
                    ErrorKind::kStreamVersionGone);
    }
    const auto held_until = hooks_.held_until();
    if (runs_ == 0 && !held_until && hooks_.is_hopeless && hooks_.is_hopeless()) {
      return GiveUp(EndReason::kBacklog, ErrorKind::kBackendServerFailed);
    }
    const bool may_wait =
        now < std::min(held_until.value_or(policy_.queue_until), policy_.deadline);
    const EndReason reason = held_until ? EndReason::kHeld : EndReason::kNoBackend;
    if (!may_wait) GiveUp(reason, ErrorKind::kBackendServerFailed);
    return;
  }
  if (arrivals_ > 0 && !ReserveRepeat()) {
    GiveUp(EndReason::kNoRepeat, ErrorKind::kBackendServerFailed);
    return;
  }
  Send(*backend, arrivals_ > 0 ? SendCause::kRetry : SendCause::kFirst, std::nullopt);
}

void ForwardRequest::Send(const BackendChoice& backend, SendCause cause,
                          const std::optional<RunCopy>& copy) {
  state_ = State::kSent;
  backend_ = backend;
  attempt_ = ++last_attempt_;
  has_head_ = false;
  must_continue_ = is_relaying_;
  copy_ = copy;
  if (copy) ++copy_sends_;
  ++arrivals_;
  has_used_repeat_ = reserved_repeats_ > 0;
  if (has_used_repeat_) --reserved_repeats_;
  const auto resume_after = is_relaying_ ? std::optional(last_event_) : std::nullopt;
  hooks_.send({attempt_, cause, backend_, resume_after, copy});
}

// Reserves the repeat for the next send, unless one is reserved already.
bool ForwardRequest::ReserveRepeat() {
  if (reserved_repeats_ == 0 && hooks_.try_repeat()) reserved_repeats_ = 1;
  return reserved_repeats_ > 0;
}

void ForwardRequest::ReturnReserved() {
  for (; reserved_repeats_ > 0; --reserved_repeats_) hooks_.return_repeat();
}

void ForwardRequest::ReturnUsed() {
  if (std::exchange(has_used_repeat_, false)) hooks_.return_repeat();
}

bool ForwardRequest::BeginMove(std::int64_t attempt) {
  // A condemned run would crash the other engine as well.
  if (!IsCurrent(attempt) || IsCondemned()) return false;
  if (reserved_repeats_ == 0 && hooks_.try_optional_repeats(kSendsOfMove)) {
    reserved_repeats_ = kSendsOfMove;
  }
  return reserved_repeats_ >= kSendsOfMove;
}

void ForwardRequest::OnMoveFailed(std::int64_t attempt) {
  if (IsCurrent(attempt)) ReturnReserved();
}

void ForwardRequest::OnMoved(std::int64_t attempt, const RunCopy& copy, Instant /*now*/) {
  if (!IsCurrent(attempt)) return;
  hooks_.cancel(attempt_);
  // The run counts even if resuming the copy fails.
  if (!copy_) ++runs_;
  if (IsCondemned()) return GiveUpCondemned();
  if (!ReserveRepeat()) {
    GiveUp(EndReason::kNoRepeat, ErrorKind::kOutcomeUnknown);
    return;
  }
  Send(copy.backend, SendCause::kMove, copy);
}

void ForwardRequest::OnHead(std::int64_t attempt, const AnswerHead& head, Instant now) {
  if (!IsCurrent(attempt)) return;
  if (head.confirms_not_run) {
    hooks_.cancel(attempt_);
    EndAttempt(Outcome::kNotRun, EndReason::kNotRun, now);
    return;
  }
  // An answer that continues an earlier one keeps the status and headers of the first, so no other
  // status can be passed on once the stream has begun.
  const bool is_failure = head.status >= kFirstServerError || ImpliesNotRun(head.status);
  const bool breaks_stream = is_relaying_ && head.status != relayed_status_;
  // Such a status would make the caller send the request again. Without the server's confirmation
  // that it hasn't run, it is passed on only if the request may be repeated.
  const bool implies_not_run_unconfirmed = ImpliesNotRun(head.status) && !policy_.may_repeat;
  // An error answer of the backend server is passed on unless the rules and the repeat budget allow
  // another run.
  const bool repeats = is_failure && !is_relaying_ && MayRepeatAfterLoss() && ReserveRepeat();
  if (!head.is_from_backend_server || breaks_stream || repeats || implies_not_run_unconfirmed) {
    hooks_.cancel(attempt_);
    EndAttempt(Outcome::kMayHaveRun, EndReason::kUnfitHead, now);
    return;
  }
  // An engine that goes on with the same run gets no repeat of the request.
  if (copy_ && head.status < kFirstRedirect) {
    ReturnUsed();
    ReturnReserved();
    copy_sends_ = 0;
  }
  has_head_ = true;
  status_ = head.status;
  state_ = State::kAnswering;
}

void ForwardRequest::OnEvent(std::int64_t attempt, std::optional<std::int64_t> id,
                             std::string_view event, Instant now) {
  if (!IsCurrent(attempt) || !has_head_) return;
  // A run that begins earlier than asked repeats events that the caller already has.
  if (id && *id <= last_event_) return;
  const bool has_gap = id && *id != last_event_ + 1;
  if (has_gap) {
    hooks_.cancel(attempt_);
    EndAttempt(Outcome::kMayHaveRun, EndReason::kEventGap, now);
    return;
  }
  // What comes before the event that continues the stream belongs to another answer.
  if (must_continue_ && !id) return;
  must_continue_ = false;
  if (!is_relaying_) {
    is_relaying_ = true;
    relayed_status_ = status_;
    hooks_.relay_head(attempt_);
  }
  if (id) {
    last_event_ = *id;
    ++events_relayed_;
  }
  hooks_.relay_event(event);
}

void ForwardRequest::OnEnd(std::int64_t attempt, Instant /*now*/) {
  if (!IsCurrent(attempt) || !has_head_) return;
  Finish();
  ++runs_;
  if (is_relaying_) {
    hooks_.relay_end();
  } else {
    hooks_.relay_whole(attempt);
  }
}

void ForwardRequest::OnFailure(std::int64_t attempt, CallFailure failure, Instant now) {
  if (!IsCurrent(attempt)) return;
  if (failure == CallFailure::kNotSent) {
    // The request never arrived, so this send was no repeat, nor does it make the next one a
    // repeat.
    --arrivals_;
    ReturnUsed();
    EndAttempt(Outcome::kNotRun, EndReason::kNotSent, now);
    return;
  }
  if (failure == CallFailure::kSilent) hooks_.cancel(attempt_);
  EndAttempt(Outcome::kMayHaveRun, ReasonOf(failure), now);
}

// Returns whether the request may be run from its beginning, for the first time or again.
bool ForwardRequest::MayRestart() const {
  return runs_ == 0 || (MayContinueAfterRun() && runs_ < policy_.attempts);
}

// Returns whether the route allows another send after the request may have run, regardless of how
// often it has run.
bool ForwardRequest::MayContinueAfterRun() const {
  if (policy_.is_stream) return policy_.is_resumable || (policy_.may_repeat && !is_relaying_);
  return policy_.may_repeat && !is_relaying_;
}

void ForwardRequest::EndAttempt(Outcome outcome, EndReason reason, Instant now) {
  attempt_ = 0;
  end_reason_ = reason;
  avoid_.push_back(backend_);
  const bool has_time = now < policy_.deadline;
  if (outcome == Outcome::kMayHaveRun) {
    if (!copy_) ++runs_;
    const bool may_resume = has_time && policy_.is_stream && !IsCondemned();
    const auto copy = may_resume ? hooks_.find_copy() : std::nullopt;
    if (copy && ReserveRepeat()) {
      Send(copy->backend, SendCause::kCopy, copy);
      return;
    }
  }
  if (outcome == Outcome::kNotRun && has_time && ResumeOnOtherEngine()) return;
  if (!has_time) {
    OnDeadline(now);
  } else if (MayRestart()) {
    TrySend(now);
  } else {
    GiveUp(reason, ErrorKind::kOutcomeUnknown);
  }
}

// Sends the request to another engine after the one that was to resume the run refused it. The copy
// is still at its holder. Returns false when nothing was sent.
bool ForwardRequest::ResumeOnOtherEngine() {
  if (!copy_ || copy_sends_ >= kMaxCopySends || IsCondemned()) return false;
  const auto backend = hooks_.choose_to_resume(avoid_);
  if (!backend || !ReserveRepeat()) return false;
  Send(*backend, SendCause::kCopyElsewhere, RunCopy{*backend, copy_->holder, copy_->handle});
  return true;
}

void ForwardRequest::OnDeadline(Instant /*now*/) {
  if (state_ == State::kDone) return;
  CancelAttempt();
  GiveUp(EndReason::kDeadline, ErrorKind::kTimedOut);
}

void ForwardRequest::OnShutdown() {
  if (state_ == State::kDone) return;
  CancelAttempt();
  GiveUp(EndReason::kShutdown, ErrorKind::kOutcomeUnknown, ErrorKind::kDraining);
}

// Ends the attempt in progress, which counts as a run.
void ForwardRequest::CancelAttempt() {
  if (attempt_ == 0) return;
  if (!copy_) ++runs_;
  hooks_.cancel(attempt_);
}

void ForwardRequest::OnCallerGone() {
  if (state_ == State::kDone) return;
  if (attempt_ != 0) hooks_.cancel(attempt_);
  Finish();
  end_reason_ = EndReason::kCallerGone;
}

void ForwardRequest::Finish() {
  state_ = State::kDone;
  attempt_ = 0;
  ReturnReserved();
}

void ForwardRequest::GiveUp(EndReason reason, ErrorKind kind_if_run, ErrorKind kind_if_not_run) {
  end_reason_ = reason;
  if (is_relaying_) {
    Finish();
    hooks_.cut();
    return;
  }
  Refuse(runs_ > 0 ? kind_if_run : kind_if_not_run);
}

void ForwardRequest::Refuse(ErrorKind kind) {
  Finish();
  const bool has_not_run = AnswerFor(kind).ran == Ran::kNo;
  hooks_.refuse({kind, has_not_run ? hooks_.retry_after() : std::nullopt});
}

}  // namespace kumquat

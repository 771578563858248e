// The decisions about one forwarded request: when it is sent to a backend server, whether it may be
// sent again, and what its caller gets.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "coordination/requests/backend_choice.h"
#include "protocol/error_kind.h"
#include "transport/backend_client.h"
#include "utils/endpoint.h"
#include "utils/hooks.h"

namespace kumquat {

// What the request's route says about it.
struct ForwardPolicy {
  // The whole request may run any number of times.
  bool may_repeat = false;
  bool is_stream = false;
  // A broken stream may be gone on with by another run.
  bool is_resumable = false;
  // Most backend servers that it may run on.
  std::int64_t attempts = 1;
  // When the caller has to have an answer.
  Instant deadline{0};
  // How long it may wait for a backend server that can take it.
  Instant queue_until{0};
  // The last event that the caller has of the stream; events are numbered from 1 on without gaps.
  std::int64_t caller_has_event = 0;
};

// What the head of an answer says.
struct AnswerHead {
  int status = 0;
  // The backend server says that it did not run the request.
  bool promises_not_run = false;
  // It says that the server that was meant isn't there: another one has its address by now.
  bool is_misdirected = false;
  // It carries what every answer of a backend server carries.
  bool is_genuine = true;
};

// How the request ends for its caller where no answer is passed on.
struct Refusal {
  ErrorKind kind = ErrorKind::kInternal;
  // When to come back; nothing where that wouldn't help.
  std::optional<Duration> retry_after;
};

// A copy of the memory of a run, from which the run can go on.
struct RunCopy {
  // The engine that goes on with it.
  BackendChoice backend;
  // Where the copy is to be asked for, and under what name.
  Endpoint holder;
  std::string handle;
};

// One sending of the request.
struct SendCommand {
  std::int64_t attempt = 0;
  BackendChoice backend;
  // A stream that is gone on with begins after this event.
  std::optional<std::int64_t> resume_after;
  // The run goes on from this copy instead of beginning again.
  std::optional<RunCopy> copy;
};

// What carries the decisions out. None of them may call back into the request before it returns.
struct ForwardHooks {
  // Chooses a backend server other than those to avoid; nothing when none can take the request now.
  std::function<std::optional<BackendChoice>(std::span<const BackendChoice> avoid)> choose;
  // Takes one repeat from the budget; false when there is none.
  std::function<bool()> try_repeat;
  std::function<void(const SendCommand& command)> send;
  // Returns a copy of the run that has just broken off, kept by another engine while it ran.
  std::function<std::optional<RunCopy>()> find_copy;
  // Chooses an engine other than those to avoid that could go on with the run.
  std::function<std::optional<BackendChoice>(std::span<const BackendChoice> avoid)> choose_to_go_on;
  // Closes the connection of the attempt.
  std::function<void(std::int64_t attempt)> cancel;
  // Passes on the answer of this attempt: its head, one event, its end.
  std::function<void(std::int64_t attempt)> relay_head;
  std::function<void(std::string_view event)> relay_event;
  std::function<void()> relay_end;
  // Passes on the whole answer of this attempt.
  std::function<void(std::int64_t attempt)> relay_whole;
  std::function<void(const Refusal& refusal)> refuse;
  // Ends an answer that has begun so that it doesn't look whole.
  std::function<void()> cut;
  // Returns when a caller that is refused now should come back.
  std::function<std::optional<Duration>()> retry_after;
};

// Events of earlier attempts are ignored. After done() everything is.
class ForwardRequest {
 public:
  ForwardRequest(const ForwardPolicy& policy, ForwardHooks hooks);

  void Start(Instant now);

  // A backend server may be able to take the request by now.
  void OnPlaceFree(Instant now);

  void OnHead(std::int64_t attempt, const AnswerHead& head, Instant now);

  // One whole event of a stream; `id` where it has one.
  void OnEvent(std::int64_t attempt, std::optional<std::int64_t> id, std::string_view event,
               Instant now);

  // The answer has come whole.
  void OnEnd(std::int64_t attempt, Instant now);

  void OnFailure(std::int64_t attempt, CallFailure failure, Instant now);

  // The run was stopped and its memory moved: it goes on there, as the same run.
  void OnMoved(std::int64_t attempt, const RunCopy& copy, Instant now);

  // The time is over, by the caller's deadline or the route's timeout.
  void OnDeadline(Instant now);

  void OnCallerGone();

  // Returns the attempt that is in progress; 0 when there is none.
  std::int64_t attempt() const { return attempt_; }
  bool waits() const { return state_ == State::kWaiting; }
  bool done() const { return state_ == State::kDone; }
  // Returns how often it may have run.
  std::int64_t runs() const { return runs_; }
  // Returns the last event that was passed on, or that the caller had before.
  std::int64_t last_event() const { return last_event_; }
  bool is_relaying() const { return is_relaying_; }
  // Returns whether the request may be sent again should the attempt in progress be lost.
  bool MayBeLost() const { return MayContinueAfterRun() && runs_ + 1 < policy_.attempts; }

 private:
  enum class State { kNew, kWaiting, kSent, kAnswering, kDone };
  enum class Outcome { kNotRun, kMayHaveRun };

  bool IsCurrent(std::int64_t attempt) const;
  void TrySend(Instant now);
  void EndAttempt(Outcome outcome, Instant now);
  bool MayContinueAfterRun() const;
  bool MayRestart() const;
  void Send(const BackendChoice& backend, const std::optional<RunCopy>& copy);
  bool ResumeOnOtherEngine();
  void GiveUp(ErrorKind kind_if_run);
  void Refuse(ErrorKind kind);

  ForwardPolicy policy_;
  ForwardHooks hooks_;
  State state_ = State::kNew;
  std::int64_t attempt_ = 0;
  std::int64_t last_attempt_ = 0;
  BackendChoice backend_;
  std::vector<BackendChoice> avoid_;
  // How often the request has reached a backend server, and how often it may have run there.
  std::int64_t arrivals_ = 0;
  std::int64_t runs_ = 0;
  // The next send was taken from the budget already.
  bool repeat_is_budgeted_ = false;
  // The copy that the attempt goes on from, with a run that was counted before.
  std::optional<RunCopy> copy_;
  int copy_sends_ = 0;
  bool has_head_ = false;
  bool is_relaying_ = false;
  std::int64_t last_event_ = 0;
};

}  // namespace kumquat

// The state machine of one forwarded request. It decides when the request is sent to a backend
// server, whether it may be sent again after a failure, and which answer its caller gets.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/requests/backend_choice.h"
#include "protocol/error_kind.h"
#include "transport/backend_client.h"
#include "utils/endpoint.h"
#include "utils/hooks.h"

namespace kumquat {

// The forwarding rules for one request, from its route.
struct ForwardPolicy {
  // Running the whole request more than once does no harm.
  bool may_repeat = false;
  bool is_stream = false;
  // A stream that breaks off may be continued by another run of the request. Resuming the same run
  // from a copy doesn't need this.
  bool is_resumable = false;
  // The maximum number of runs, each on another backend server where possible. Sends that surely
  // didn't run don't count.
  std::int64_t attempts = 1;
  // The time by which the caller must have an answer.
  Instant deadline{0};
  // The time until which the request may wait for a backend server that can take it.
  Instant queue_until{0};
  // The number of the last stream event that the caller already has; 0 for none. Events are
  // numbered from 1 without gaps.
  std::int64_t caller_last_event = 0;
};

// What the status and the headers of an answer tell.
struct AnswerHead {
  int status = 0;
  // The backend server states that it did not run the request.
  bool confirms_not_run = false;
  // By this answer, the intended server is gone and another one has its address now.
  bool is_misdirected = false;
  // The answer carries what every answer of a backend server carries, such as the id of the request
  // in a success. Otherwise it isn't passed on, and the request counts as possibly run.
  bool is_from_backend_server = true;
};

// The error that the caller gets when no answer is passed on.
struct Refusal {
  ErrorKind kind = ErrorKind::kInternal;
  // The delay after which the caller should retry. nullopt if the request may have run, since a
  // retry could run it again, or if the retry_after hook returns none.
  std::optional<Duration> retry_after;
};

// A copy of a run's memory from which another engine can resume the run.
struct RunCopy {
  // The engine that resumes the run.
  BackendChoice backend;
  // Where the copy is fetched from, and the name that identifies it there.
  Endpoint holder;
  std::string handle;
};

// Why the request is sent.
enum class SendCause {
  // It hasn't arrived at any backend server.
  kFirst,
  // An earlier attempt failed or was refused; the request starts over, or continues its stream.
  kRetry,
  // The run was moved here.
  kMove,
  // The run broke off, and the engine that kept a copy of it resumes it.
  kCopy,
  // The engine that was to resume the run refused, and another one fetches the copy.
  kCopyElsewhere,
};

std::string_view SendCauseName(SendCause cause);

// Why the last attempt ended without a whole answer, or the request was given up.
enum class EndReason {
  kNone,
  kNotSent,
  kBroken,
  kSilent,
  // The backend server states that the request hasn't run.
  kNotRun,
  // The answer is a failure, isn't that of the backend server, or doesn't fit to the stream.
  kUnfitHead,
  kEventGap,
  kNoBackend,
  // It would begin too late to be of use, wherever it is sent.
  kBacklog,
  kNoRepeat,
  // It may crash servers, and waits for a trial that tells.
  kHeld,
  // No server with the software that began the stream is left, or it isn't known which one that is.
  kVersionGone,
  kCondemned,
  kDeadline,
  kShutdown,
  kCallerGone,
};

std::string_view EndReasonName(EndReason reason);

// One attempt to send the request to a backend server.
struct SendCommand {
  std::int64_t attempt = 0;
  SendCause cause = SendCause::kFirst;
  BackendChoice backend;
  // The attempt continues a stream, beginning after the event of this number.
  std::optional<std::int64_t> resume_after;
  // The run is resumed from this copy instead of starting over.
  std::optional<RunCopy> copy;
};

// The callbacks that carry out the decisions. None of them may call into the ForwardRequest before
// it returns.
struct ForwardHooks {
  // Chooses a backend server that is not in `avoid`; nullopt when none can take the request now.
  std::function<std::optional<BackendChoice>(std::span<const BackendChoice> avoid)> choose;
  // Returns whether a request that hasn't run, and for which `choose` has just returned nothing,
  // can't be answered in time even if it waits. May be empty: then it waits.
  std::function<bool()> is_hopeless;
  // Returns until when a request that `choose` has just held back, as it may crash the server that
  // runs it, may wait for that to be found out; nullopt if it isn't held back.
  std::function<std::optional<Instant>()> held_until = [] { return std::nullopt; };
  // Returns whether no backend server is left that may go on with the stream, for which `choose`
  // has just returned nothing.
  std::function<bool()> is_version_gone = [] { return false; };
  // Returns whether the request is known to crash the backend servers that run it. Not asked about
  // a request that is past its beginning.
  std::function<bool()> is_condemned;
  // Returns whether it is known to crash them at any event of its answer. Asked about a request
  // that is past its beginning, whose beginning is known to crash none.
  std::function<bool()> is_run_condemned = [] { return false; };
  // Takes one repeat from the budget; false when the budget is used up.
  std::function<bool()> try_repeat;
  // Takes this many repeats, or none, for sends that may wait; false also while the rest is kept
  // for sends that can't.
  std::function<bool(int count)> try_optional_repeats;
  // Gives back a repeat that was taken and not used.
  std::function<void()> return_repeat;
  std::function<void(const SendCommand& command)> send;
  // Returns the copy that another engine kept of the run that has just broken off; nullopt if there
  // is none.
  std::function<std::optional<RunCopy>()> find_copy;
  // Chooses an engine that is not in `avoid` and could resume the run, first of all the one that it
  // was moved from; nullopt if there is none.
  std::function<std::optional<BackendChoice>(std::span<const BackendChoice> avoid)>
      choose_to_resume;
  // Closes the connection of the attempt.
  std::function<void(std::int64_t attempt)> cancel;
  // Pass on the answer of the attempt to the caller: its status and headers, one event, its end.
  std::function<void(std::int64_t attempt)> relay_head;
  std::function<void(std::string_view event)> relay_event;
  std::function<void()> relay_end;
  // Passes on the complete answer of the attempt, of which nothing was passed on before.
  std::function<void(std::int64_t attempt)> relay_whole;
  std::function<void(const Refusal& refusal)> refuse;
  // Aborts an answer that has begun, so that the caller can't take it for complete.
  std::function<void()> cut;
  // Returns the delay after which a caller that is refused now should retry; nullopt for none.
  std::function<std::optional<Duration>()> retry_after;
};

// Events of a stream which show that its beginning crashes no server. One doesn't, as a server may
// still write it while it crashes.
inline constexpr std::int64_t kEventsPastBeginning = 2;

// Calls about attempts that are no longer in progress are ignored, and all calls are once done() is
// true. Exactly one of relay_end, relay_whole, refuse and cut ends the request, unless the caller
// disconnects first.
class ForwardRequest {
 public:
  ForwardRequest(const ForwardPolicy& policy, ForwardHooks hooks);

  void Start(Instant now);

  // Instead of Start(): the request waits behind others, and is first tried by OnCapacityFree().
  void StartWaiting();

  // Call when a backend server may have become able to take the request; tries again to send it if
  // it waits for one.
  void OnCapacityFree(Instant now);

  void OnHead(std::int64_t attempt, const AnswerHead& head, Instant now);

  // One complete event of a stream; `id` is its number, if it has one.
  void OnEvent(std::int64_t attempt, std::optional<std::int64_t> id, std::string_view event,
               Instant now);

  // The answer is complete.
  void OnEnd(std::int64_t attempt, Instant now);

  void OnFailure(std::int64_t attempt, CallFailure failure, Instant now);

  // Call before the run in progress is stopped to be moved. Reserves the repeats that the send to
  // the other engine, and the one back if that engine refuses, may become; returns false, and the
  // run must stay, when they can't be spared.
  bool BeginMove(std::int64_t attempt);

  // The run wasn't stopped.
  void OnMoveFailed(std::int64_t attempt);

  // The run was stopped and its memory moved: `copy` tells which engine resumes it. It still counts
  // as the same run.
  void OnMoved(std::int64_t attempt, const RunCopy& copy, Instant now);

  // The caller's deadline or the route's timeout has passed.
  void OnDeadline(Instant now);

  // The process is about to end. The caller gets an answer that says whether the request may have
  // run; a stream that has begun is cut.
  void OnShutdown();

  void OnCallerGone();

  // Returns the attempt that is in progress; 0 when there is none.
  std::int64_t attempt() const { return attempt_; }
  bool is_waiting() const { return state_ == State::kWaiting; }
  bool done() const { return state_ == State::kDone; }
  // Returns how often the request has run or may have run.
  std::int64_t runs() const { return runs_; }
  // Returns the number of the last event that was passed on or that the caller had from the start.
  std::int64_t last_event() const { return last_event_; }
  bool is_relaying() const { return is_relaying_; }
  EndReason end_reason() const { return end_reason_; }

  // Returns whether enough of a stream was passed on to show that its beginning crashes no server.
  bool is_past_beginning() const { return events_relayed_ >= kEventsPastBeginning; }
  // Returns whether the request may still be sent again if the attempt in progress fails.
  bool MayRepeatAfterLoss() const { return MayContinueAfterRun() && runs_ + 1 < policy_.attempts; }

 private:
  enum class State { kNew, kWaiting, kSent, kAnswering, kDone };
  enum class Outcome { kNotRun, kMayHaveRun };

  bool IsCurrent(std::int64_t attempt) const;
  void TrySend(Instant now);
  void EndAttempt(Outcome outcome, EndReason reason, Instant now);
  bool MayContinueAfterRun() const;
  bool MayRestart() const;
  void Send(const BackendChoice& backend, SendCause cause, const std::optional<RunCopy>& copy);
  bool IsCondemned() const;
  void GiveUpCondemned();
  bool ResumeOnOtherEngine();
  bool ReserveRepeat();
  void ReturnReserved();
  void ReturnUsed();
  void Finish();
  void CancelAttempt();
  void GiveUp(EndReason reason, ErrorKind kind_if_run,
              ErrorKind kind_if_not_run = ErrorKind::kNoBackendServer);
  void Refuse(ErrorKind kind);

  ForwardPolicy policy_;
  ForwardHooks hooks_;
  State state_ = State::kNew;
  std::int64_t attempt_ = 0;
  std::int64_t last_attempt_ = 0;
  BackendChoice backend_;
  std::vector<BackendChoice> avoid_;
  // How often the request was sent and may have reached a backend server, and how often it may have
  // run there.
  std::int64_t arrivals_ = 0;
  std::int64_t runs_ = 0;
  // Repeats that were taken from the budget for the next sends; and whether one was for the attempt
  // in progress.
  int reserved_repeats_ = 0;
  bool has_used_repeat_ = false;
  // The copy that the attempt in progress resumes; its run is already counted in runs_.
  std::optional<RunCopy> copy_;
  int copy_sends_ = 0;
  bool has_head_ = false;
  int status_ = 0;
  bool is_relaying_ = false;
  // Events with a number that were passed on.
  std::int64_t events_relayed_ = 0;
  // The status that was passed on.
  int relayed_status_ = 0;
  // The attempt in progress is to continue a stream, and none of its events has had a number yet.
  bool must_continue_ = false;
  std::int64_t last_event_ = 0;
  EndReason end_reason_ = EndReason::kNone;
};

}  // namespace kumquat

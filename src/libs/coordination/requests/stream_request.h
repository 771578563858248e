// State machine of one streamed chat request, from its first attempt to its explicit end.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "coordination/admission/retry_budget.h"
#include "coordination/requests/backend_choice.h"
#include "protocol/engine_messages.h"
#include "protocol/error_kind.h"
#include "transport/backend_client.h"
#include "utils/hooks.h"

namespace kumquat {

// Commands that tell the router what to do next. The router executes them in order.
namespace stream_command {

// Send the request to the backend server. The events of its answer are passed to the state machine
// with this attempt id.
struct StartAttempt {
  std::string attempt_id;
  BackendChoice backend;
  // Offset of the first token to generate, and the text of all tokens before it.
  std::int64_t resume_offset = 0;
  std::string resume_text;
  bool new_connection = false;
};

// Cancel the attempt: close its connection and cancel its run on the backend server.
struct CancelAttempt {
  std::string attempt_id;
  BackendChoice backend;
};

// Send the next token to the caller. The answer's headers are sent with the first token.
struct EmitText {
  std::int64_t offset = 0;
  std::string text;
};

// Send the explicit end of the stream to the caller.
struct EmitEnd {
  std::string finish_reason;
  EngineUsage usage;
};

// Send an error event on the stream that has already started, and close it.
struct EmitError {
  Error error;
};

// Answer the caller with an error status; nothing was sent to the caller before.
struct Refuse {
  Error error;
};

// Call OnWake() at this time.
struct WakeAt {
  Instant moment{0};
};

// Report to the strike table that the backend server died while it ran the request.
struct RecordStrike {
  BackendChoice backend;
};

// Report the success to the retry budget and the strike table.
struct RecordSuccess {};

// Probe on a new connection whether this backend server is alive, since a connection to it failed.
struct ProbeBackend {
  BackendChoice backend;
};

}  // namespace stream_command

using StreamCommand =
    std::variant<stream_command::StartAttempt, stream_command::CancelAttempt,
                 stream_command::EmitText, stream_command::EmitEnd, stream_command::EmitError,
                 stream_command::Refuse, stream_command::WakeAt, stream_command::RecordStrike,
                 stream_command::RecordSuccess, stream_command::ProbeBackend>;
using StreamCommands = std::vector<StreamCommand>;

// Callbacks that supply external state to the request.
struct StreamRequestHooks {
  ChooseBackend choose_backend;
  IsBackendDead is_backend_dead;
  // Takes a retry from the router's budget and returns the backoff before it; nothing when no
  // retry is allowed (RetryBudget::TryRetry).
  std::function<std::optional<Duration>(int retries_before, Instant now, Instant deadline)>
      try_retry;
  // Returns whether the strike table refuses the request permanently, as a poison request.
  std::function<bool()> is_condemned;
  // Returns whether a backend server may become available for the request although none can be
  // chosen now. A poison request is one that makes backend servers die; a request suspected of it
  // may wait, until its deadline, for a backend server that runs no other suspected request. If the
  // callback is not set, false is assumed.
  std::function<bool()> may_wait_for_backend = {};
};

struct StreamRequestOptions {
  std::string request_id;
  // When the request has to end. A stream that is still running then is aborted with an error.
  Instant deadline{0};
  // Maximum number of consecutive attempts that end without a new token. An attempt that produced
  // tokens resets the count.
  int max_attempts_without_token = 4;
  // Maximum total number of attempts.
  int max_attempts = 16;
  // How long a request that was attempted may wait until a backend server may run it again, such as
  // one that runs no other suspected request, and how often this is checked.
  Duration max_wait_for_backend = std::chrono::seconds(10);
  Duration backend_poll_interval = std::chrono::milliseconds(50);
};

// Numbers of events that were ignored, by reason.
struct StreamDrops {
  // From an attempt that is not the current one.
  std::int64_t other_attempt = 0;
  // Tokens that were already sent to the caller.
  std::int64_t duplicates = 0;
  // Received after the answer to the caller was complete.
  std::int64_t after_end = 0;
};

// State machine of one request: each input returns the commands to execute next. It does no I/O and
// reads no clock. Each token is sent to the caller exactly once and in order, and the end only
// after all tokens. When the connection of an attempt broke or timed out and its backend server is
// not known to be dead, that backend server is retried on a new connection; after other failures,
// and when such a retry loses its connection too without a token, another one is tried.
//
// A backend server gets a strike for its death when the router reports it dead during an attempt,
// or when an attempt lost its connection to it and then the router reports it dead, a new
// connection to it fails, or one reaches another incarnation.
class StreamRequest {
 public:
  StreamRequest(StreamRequestOptions options, StreamRequestHooks hooks);

  // Starts the first attempt. Must be called exactly once.
  StreamCommands Start(Instant now);

  // The answer's status was received. 200: the attempt runs. 409 (the backend server has another
  // incarnation), 429 and 503 (it does not accept the request): the request did not run there, and
  // another backend server is tried. Any other status from 500 on, or below 500 once tokens were
  // sent to the caller: the attempt failed. Otherwise the request ends as a bad request.
  StreamCommands OnHeaders(std::string_view attempt_id, int status, Instant now);

  // An event of the stream was received, a token or the end. An event that names another attempt
  // than the one that it was received on is ignored.
  StreamCommands OnEvent(std::string_view attempt_id, const EngineEvent& event, Instant now);

  // An event was received that could not be decoded.
  StreamCommands OnMalformedEvent(std::string_view attempt_id, Instant now);

  // The backend server closed the connection in the regular way. If the end of the stream was not
  // received before, this counts as a broken connection.
  StreamCommands OnConnectionEnd(std::string_view attempt_id, Instant now);

  // The call failed. A timeout between bytes is passed as CallFailure::kSilent.
  StreamCommands OnFailure(std::string_view attempt_id, CallFailure failure, Instant now);

  // The backend server is now known to have died. This ends a current attempt on it, and gives a
  // strike for that attempt or for an earlier one that lost its connection to it. An attempt that
  // began when the backend server was already known to be dead gives no strike.
  StreamCommands OnBackendDead(const BackendChoice& backend, Instant now);

  // The caller closed its connection.
  StreamCommands OnCallerGone(Instant now);

  // A time requested by WakeAt was reached.
  StreamCommands OnWake(Instant now);

  bool done() const { return done_; }
  const StreamDrops& drops() const { return drops_; }
  // Returns the number of tokens sent to the caller.
  std::int64_t tokens_sent() const { return next_offset_; }
  int attempts() const { return attempts_; }

 private:
  struct Attempt {
    std::string id;
    BackendChoice backend;
    std::int64_t first_offset = 0;
    // Whether it retries the backend server of the previous attempt on a new connection.
    bool same_backend = false;
    bool headers_seen = false;
    // Whether the backend server was known to be dead when the attempt began.
    bool was_dead = false;
  };

  // Why an attempt ended.
  enum class AttemptEnd {
    // The backend server did not receive or accept the request, so the request did not run there.
    kNotRun,
    // The connection broke or timed out; a new one may work.
    kConnectionLost,
    // The backend server sent an error status or an event that violates the protocol.
    kFaultyAnswer,
  };

  // Returns whether this is the current attempt; if not, counts the input in drops_.
  bool IsCurrent(std::string_view attempt_id);
  void RecordConnectionLoss();
  void HandleToken(const EngineEvent& event, Instant now, StreamCommands* commands);
  void HandleEnd(const EngineEvent& event, Instant now, StreamCommands* commands);
  void EndAttempt(AttemptEnd end, Instant now, StreamCommands* commands);
  bool MayTryAgain() const;
  void RetryLater(Instant now, StreamCommands* commands);
  void StartAttempt(Instant now, StreamCommands* commands);
  void WaitForBackend(Instant now, StreamCommands* commands);
  void StrikeIfConnectionLost(const BackendChoice& backend, StreamCommands* commands);
  void Finish(Error error, StreamCommands* commands);
  Error DeadlineError() const;
  Error FailureError() const;

  StreamRequestOptions options_;
  StreamRequestHooks hooks_;
  std::optional<Attempt> attempt_;
  // The backend server to retry on a new connection.
  std::optional<BackendChoice> same_backend_;
  std::optional<Instant> retry_at_;
  // Start of the current wait for a backend server. Set to the current time again at each check
  // while may_wait_for_backend returns true, so that only the deadline limits that wait.
  std::optional<Instant> waiting_since_;
  std::vector<BackendChoice> avoid_;
  // Backend servers that an attempt lost its connection to, and that may turn out to have died.
  std::vector<BackendChoice> lost_backends_;
  std::string text_;
  std::int64_t next_offset_ = 0;
  int attempts_ = 0;
  int attempts_without_token_ = 0;
  // Whether any attempt that has ended may have run.
  bool may_have_run_ = false;
  bool done_ = false;
  StreamDrops drops_;
};

}  // namespace kumquat

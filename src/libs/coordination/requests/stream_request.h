// One streamed chat request, from its first attempt to its explicit end.
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

// What the router has to do next; it carries the commands out in their order.
namespace stream_command {

// Send the request to the backend server. The answer's events go to the request under this id.
struct StartAttempt {
  std::string attempt_id;
  BackendChoice backend;
  // First token to send, and the text before it.
  std::int64_t resume_offset = 0;
  std::string resume_text;
  bool new_connection = false;
};

// Cancel the attempt: close its connection, and cancel its work on the backend server.
struct CancelAttempt {
  std::string attempt_id;
  BackendChoice backend;
};

// Send the next token to the caller; the first one sends the header of the answer too.
struct EmitText {
  std::int64_t offset = 0;
  std::string text;
};

// Send the explicit end to the caller.
struct EmitEnd {
  std::string finish_reason;
  EngineUsage usage;
};

// Send an error event into the stream that has begun, and close it.
struct EmitError {
  Error error;
};

// Answer with an error; nothing was sent to the caller before.
struct Refuse {
  Error error;
};

// Call OnWake() at this moment.
struct WakeAt {
  Instant moment{0};
};

// Tell the strike table that the backend server died while the request ran on it.
struct GiveStrike {
  BackendChoice backend;
};

// Tell the retry budget and the strike table of the success.
struct NoteSuccess {};

// Check by a new connection whether this backend server lives: one to it failed.
struct ProbeBackend {
  BackendChoice backend;
};

}  // namespace stream_command

using StreamCommand =
    std::variant<stream_command::StartAttempt, stream_command::CancelAttempt,
                 stream_command::EmitText, stream_command::EmitEnd, stream_command::EmitError,
                 stream_command::Refuse, stream_command::WakeAt, stream_command::GiveStrike,
                 stream_command::NoteSuccess, stream_command::ProbeBackend>;
using StreamCommands = std::vector<StreamCommand>;

// What the request learns of the world.
struct StreamRequestHooks {
  ChooseBackend choose_backend;
  IsBackendDead is_backend_dead;
  // Takes a retry from the router's budget (RetryBudget::TryRetry).
  std::function<std::optional<Duration>(int retries_before, Instant now, Instant deadline)>
      try_retry;
  // Returns whether the strike table refuses the request for good.
  std::function<bool()> is_condemned;
  // Returns whether a backend server may come free for the request though none can be chosen now:
  // a suspect waits for its turn, until its deadline. No hook: never.
  std::function<bool()> may_wait_for_place = {};
};

struct StreamRequestOptions {
  std::string request_id;
  // When the request has to be ended; a stream that goes on past it is broken off.
  Instant deadline{0};
  // Most attempts that end without a new token, one after the other. An attempt that brought
  // tokens starts the count again.
  int most_fruitless_attempts = 4;
  // Most attempts in all.
  int most_attempts = 16;
  // How long a request that has run may wait for a backend server that may take it again, such as
  // one without another suspect, and how often it looks.
  Duration longest_wait_for_backend = std::chrono::seconds(10);
  Duration look_for_backend_every = std::chrono::milliseconds(50);
};

// Events that did not count.
struct StreamDrops {
  // Of an attempt that is not the current one.
  std::int64_t other_attempt = 0;
  // Tokens that the caller already has.
  std::int64_t duplicates = 0;
  // Anything after the answer to the caller was complete.
  std::int64_t after_end = 0;
};

// Decides for one request: each input returns what is to be done. Each token reaches the caller
// once and in order, and an end comes only when all tokens were sent. After a failure the same
// backend server is tried on a new connection when it isn't proven dead and its connection fell
// silent or broke; else another.
//
// A backend server is taken for dead with a strike when the router says so, or when a connection to
// it was lost and the new one could not be made or met another incarnation.
class StreamRequest {
 public:
  StreamRequest(StreamRequestOptions options, StreamRequestHooks hooks);

  // Begins; call it once.
  StreamCommands Start(Instant now);

  // The answer's status came. 200: the attempt runs. 409: the backend server has another
  // incarnation. 429 and 503: it does not take the request. Others below 500 are final refusals,
  // and from 500 on failures.
  StreamCommands OnHeaders(std::string_view attempt_id, int status, Instant now);

  // An event of the stream came, a token or the end. The attempt it came on and the attempt that
  // it names have to be the same.
  StreamCommands OnEvent(std::string_view attempt_id, const EngineEvent& event, Instant now);

  // An event that can't be read came.
  StreamCommands OnBrokenEvent(std::string_view attempt_id, Instant now);

  // The connection ended in order, whether or not the stream did.
  StreamCommands OnConnectionEnd(std::string_view attempt_id, Instant now);

  // The call failed; a silence past a limit comes as CallFailure::kSilent.
  StreamCommands OnFailure(std::string_view attempt_id, CallFailure failure, Instant now);

  // The backend server is now known to have died; attempts on it end with a strike.
  StreamCommands OnBackendDead(const BackendChoice& backend, Instant now);

  // The caller closed its connection.
  StreamCommands OnCallerGone(Instant now);

  // A moment asked for by WakeAt has come.
  StreamCommands OnWake(Instant now);

  bool done() const { return done_; }
  const StreamDrops& drops() const { return drops_; }
  // Tokens sent to the caller.
  std::int64_t tokens_sent() const { return next_offset_; }
  int attempts() const { return attempts_; }

 private:
  struct Attempt {
    std::string id;
    BackendChoice backend;
    std::int64_t first_offset = 0;
    // Whether it is on a new connection to the backend server of the attempt before.
    bool same_backend = false;
    bool headers_seen = false;
    // Whether the backend server was known to be dead when the attempt began.
    bool was_dead = false;
  };

  // What an attempt's end says of its backend server.
  enum class AttemptEnd {
    // It did not take the request; the request did not run there.
    kNotRun,
    // Its connection broke or fell silent; a new one may do.
    kConnectionLost,
    // It answered with something that it should not have.
    kFault,
  };

  bool IsCurrent(std::string_view attempt_id);
  void NoteLoss();
  void TakeToken(const EngineEvent& event, Instant now, StreamCommands* commands);
  void TakeEnd(const EngineEvent& event, Instant now, StreamCommands* commands);
  void EndAttempt(AttemptEnd end, Instant now, StreamCommands* commands);
  bool MayTryAgain() const;
  void RetryLater(Instant now, StreamCommands* commands);
  void StartAttempt(Instant now, StreamCommands* commands);
  void WaitForBackend(Instant now, StreamCommands* commands);
  void StrikeIfLost(const BackendChoice& backend, StreamCommands* commands);
  void Finish(Error error, StreamCommands* commands);
  Error DeadlineError() const;
  Error FailureError() const;

  StreamRequestOptions options_;
  StreamRequestHooks hooks_;
  std::optional<Attempt> attempt_;
  // The backend server to try again on a new connection.
  std::optional<BackendChoice> same_backend_;
  std::optional<Instant> retry_at_;
  // Since when no backend server may take the request.
  std::optional<Instant> waiting_since_;
  std::vector<BackendChoice> avoid_;
  // Where attempts lost their connection; the backend server may turn out to have died.
  std::vector<BackendChoice> lost_on_;
  std::string text_;
  std::int64_t next_offset_ = 0;
  int attempts_ = 0;
  int fruitless_ = 0;
  // Whether any attempt may have run.
  bool may_have_run_ = false;
  bool done_ = false;
  StreamDrops drops_;
};

}  // namespace kumquat

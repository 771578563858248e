// Calls to backend servers. Each call is sent once, on a connection of its own pool slot; nothing
// below this interface ever sends it a second time.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "transport/answer_memory.h"
#include "transport/http_message.h"
#include "utils/endpoint.h"
#include "utils/hooks.h"

namespace kumquat {

// How long a call may be silent in each of its phases.
struct CallTimeouts {
  Duration connect = std::chrono::milliseconds(500);
  // From the request's last byte to the first byte of the answer's body.
  Duration first_byte = std::chrono::seconds(10);
  Duration between_bytes = std::chrono::seconds(3);
};

// One call.
struct BackendCallRequest {
  Endpoint endpoint;
  std::string method = "POST";
  // Path with query.
  std::string target = "/";
  HttpHeaders headers;
  // Returns further fields, whose values depend on when the request is written; called right before
  // that, which may be long after the call was started. May be empty.
  std::function<HttpHeaders()> headers_when_written;
  std::string body;
  CallTimeouts timeouts;
  // Whether to open a connection of its own instead of one that was used before.
  bool new_connection = false;
  // Whether an answer without a length is whole when its connection ends in order.
  bool takes_unframed_answer = false;
  // Longest time from the start of the call to the end of its answer; nothing where only silence
  // ends the call.
  std::optional<Duration> max_time;
  // An answer with a longer body fails as broken; nothing where bodies have no bound.
  std::optional<std::int64_t> max_body_bytes;
  // Tells whether an answer belongs to this call. A server may send a second, late answer to an
  // earlier call on a kept connection; it is passed over, and the connection isn't kept.
  std::function<bool(int status, const HttpHeaders& headers)> is_own_answer;
  // The same for a connection that was used before, on which bytes that name no call may belong to
  // an earlier one. Where it isn't set, is_own_answer decides there too.
  std::function<bool(int status, const HttpHeaders& headers)> is_own_answer_on_reuse;
};

// Why a call failed.
enum class CallFailure {
  // No connection came about, so no byte of the request was sent.
  kNotSent,
  // The connection broke after bytes may have been sent.
  kBroken,
  // Nothing came for longer than a limit, after bytes may have been sent.
  kSilent,
};

// Returns the failure's name for logs.
std::string_view CallFailureName(CallFailure failure);

// What the caller of a call wants to hear. After on_end or on_failure nothing more comes.
// `on_end` says that the answer is whole by its own framing; an answer without Content-Length and
// chunks fails as kBroken, unless the request takes unframed answers.
struct BackendCallHooks {
  std::function<void(int status, const HttpHeaders& headers)> on_headers;
  std::function<void(std::string_view data)> on_data;
  std::function<void()> on_end;
  std::function<void(CallFailure failure, std::string_view reason)> on_failure;
};

// A call under way. Destroying it cancels it: the connection is closed and no hook runs.
class BackendCall {
 public:
  virtual ~BackendCall() = default;

  // Stops or goes on reading the answer. While it isn't read, the server is slowed down by the
  // system's windows and isn't taken for silent; only `max_time` and the destruction end the call.
  // The end of the answer, or a failure, is heard of once it is read again. Does nothing where a
  // call has no stream to read from.
  virtual void SetReading(bool /*reading*/) {}

  // Returns whether there has been a connection, so that the server may have got the request.
  virtual bool may_have_sent() const { return true; }
};

// Starts calls; the interface that tests fake.
class BackendClient {
 public:
  virtual ~BackendClient() = default;

  // Sends the request. No hook runs before this returns.
  virtual std::unique_ptr<BackendCall> Start(BackendCallRequest request,
                                             BackendCallHooks hooks) = 0;

  // Returns what counts the answers that StartGathered() keeps; null where nothing does.
  virtual AnswerMemory* answer_memory() { return nullptr; }
};

// Returns hooks that gather the whole answer and hand it on once; with status 0 and no body where
// the call failed.
// An answer that `memory`, if there is one, drops counts as failed.
BackendCallHooks GatherAnswer(std::function<void(int status, std::string_view body)> on_answer,
                              AnswerMemory* memory = nullptr);

// What a gathered answer may take at most.
struct GatherLimits {
  Duration time{0};
  std::int64_t body_bytes = 0;
};

// Starts a call whose whole answer is gathered. One that exceeds the limits counts as failed.
std::unique_ptr<BackendCall> StartGathered(
    BackendClient& client, BackendCallRequest request, const GatherLimits& limits,
    std::function<void(int status, std::string_view body)> on_answer);

// Destroys a call after the hook that may be running on it has returned.
void DestroyLater(std::unique_ptr<BackendCall> call);

// Returns the client that keeps connections for later calls. The memory isn't owned and outlives
// the client and its calls.
std::unique_ptr<BackendClient> MakeHttpBackendClient(AnswerMemory* memory = nullptr);

}  // namespace kumquat

// Calls to backend servers. Each call is sent once, on a connection of its own pool slot; nothing
// below this interface ever sends it a second time.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

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
  std::string body;
  CallTimeouts timeouts;
  // Whether to open a connection of its own instead of one that was used before.
  bool new_connection = false;
};

// Why a call failed.
enum class CallFailure {
  // No connection came about, so no byte of the request was sent.
  kNotSent,
  // The connection broke after bytes may have been sent.
  kBroken,
  // Nothing came for longer than a limit, after bytes may have been sent. Qt may also miss that a
  // connection closed within the size line of a chunk; such a call ends so as well.
  kSilent,
};

// Returns the failure's name for logs.
std::string_view CallFailureName(CallFailure failure);

// What the caller of a call wants to hear. After on_end or on_failure nothing more comes.
// `on_end` says that the answer is whole by its own framing; an answer whose end can't be told
// from a cut, without Content-Length and not chunked, fails as kBroken.
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
};

// Starts calls; the interface that tests fake.
class BackendClient {
 public:
  virtual ~BackendClient() = default;

  // Sends the request. No hook runs before this returns.
  virtual std::unique_ptr<BackendCall> Start(BackendCallRequest request,
                                             BackendCallHooks hooks) = 0;
};

// Returns the client over Qt's network access.
std::unique_ptr<BackendClient> MakeHttpBackendClient();

}  // namespace kumquat

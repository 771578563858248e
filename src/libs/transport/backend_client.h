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
  // The connection is open and silent past a limit, after bytes may have been sent.
  kSilent,
};

// Returns the failure's name for logs.
std::string_view CallFailureName(CallFailure failure);

// What the caller of a call wants to hear. After on_end or on_failure nothing more comes.
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

// Splits a stream of server-sent events into the payloads of their `data:` lines.
class SseParser {
 public:
  // Takes the next bytes and calls the hook for each event that is complete.
  void Feed(std::string_view bytes, const std::function<void(std::string_view data)>& on_event);

  // Returns whether an event has begun and is not complete.
  bool mid_event() const { return !buffer_.empty(); }

  // Returns whether an event grew past the limit of 4 MiB; nothing more is parsed then.
  bool overflowed() const { return overflowed_; }

 private:
  std::string buffer_;
  bool overflowed_ = false;
};

}  // namespace kumquat

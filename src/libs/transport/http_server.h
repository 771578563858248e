// The HTTP server of a process: bounded requests in, whole or streamed answers out.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "transport/answer_memory.h"
#include "transport/caller_refusal.h"
#include "transport/http_message.h"
#include "transport/request_memory.h"
#include "utils/endpoint.h"
#include "utils/hooks.h"

namespace kumquat {

namespace Internal {
class HttpServerImpl;
}

// The answer to one request. It may be kept and used after the handler has returned. Every call
// after the connection has closed is ignored.
class HttpResponder {
 public:
  virtual ~HttpResponder() = default;

  // Sends a whole answer.
  virtual void Send(int status, const HttpHeaders& headers, std::string_view body) = 0;

  // Starts an answer that comes in pieces: of this length, or in chunks where it is not known.
  virtual void StartStream(int status, const HttpHeaders& headers,
                           std::optional<std::int64_t> length = std::nullopt) = 0;

  // Sends a piece of a started stream.
  virtual void Write(std::string_view chunk) = 0;

  // Ends a started stream as complete.
  virtual void End() = 0;

  // Closes the connection at once; a started stream then is seen to be incomplete.
  virtual void Abort() = 0;

  // Returns the bytes that wait because the caller reads slowly.
  virtual std::int64_t pending_bytes() const = 0;

  // Sets a hook that runs once if the connection closes before the answer is whole.
  virtual void OnClosed(std::function<void()> hook) = 0;

  // Sets a hook that runs each time no byte of a started stream waits any more.
  virtual void OnCaughtUp(std::function<void()> hook) = 0;
};

// What a server accepts; a request past a limit is answered 413 or 431 and its connection closed.
struct HttpServerLimits {
  std::int64_t max_header_bytes = 32 * 1024;
  std::int64_t max_body_bytes = 16 * 1024 * 1024;
  // At the limit, the connection that has waited longest for the rest of a request, or for any,
  // makes room for a new one.
  std::int64_t max_connections = 10'000;
  // Longest time from the first byte of a header to its end.
  Duration header_timeout = std::chrono::seconds(30);
  // A connection that has sent part of a request and then nothing for this long is closed.
  Duration request_timeout = std::chrono::seconds(30);
  // A connection without a request is closed after this long.
  Duration idle_timeout = std::chrono::minutes(10);
};

// Returns limits for an address that answers short questions without a body, such as whether the
// process is ready. No such question comes near them.
HttpServerLimits QuestionLimits();

// Serves HTTP/1.1 on one address.
class HttpServer {
 public:
  using Handler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

  // Renders the body of an answer that the transport gives itself, for status 413, 431 or 503.
  using LimitBody = std::function<std::string(int status)>;

  class Builder {
   public:
    Builder& WithLimits(const HttpServerLimits& limits);
    Builder& WithHandler(Handler handler);
    Builder& WithLimitBody(LimitBody limit_body);

    // Counts what callers haven't read of their answers; a connection whose answer is dropped is
    // closed. The memory isn't owned and outlives the server.
    Builder& WithAnswerMemory(AnswerMemory* memory);

    // Counts what is kept of requests. While there is too much, requests that haven't come whole
    // are refused. The memory isn't owned and outlives the server.
    Builder& WithRequestMemory(RequestMemory* memory);

    // Is called for each request that the server refuses itself and for each connection that it
    // closes on its caller.
    Builder& WithOnRefused(std::function<void(CallerRefusal reason)> on_refused);
    std::unique_ptr<HttpServer> Build();

   private:
    HttpServerLimits limits_;
    Handler handler_;
    LimitBody limit_body_;
    AnswerMemory* answer_memory_ = nullptr;
    RequestMemory* request_memory_ = nullptr;
    std::function<void(CallerRefusal reason)> on_refused_;
  };

  ~HttpServer();

  // Starts to accept connections; port 0 takes a free one. False when the address can't be had;
  // last_reason() then says why.
  bool Listen(const Endpoint& endpoint);

  // Replaces the limits; they hold for the requests that begin from now on.
  void SetLimits(const HttpServerLimits& limits);

  // From now on each answer is the last of its connection; further connections are accepted. A
  // caller may leave what is written unread for as long as `caller_patience`.
  void CloseAfterAnswers(Duration caller_patience);

  // Stops accepting connections; those that are open go on to the end of their answer, and those
  // without a request are closed.
  void StopListening();

  // Returns the port that is listened on; 0 when there is none.
  std::uint16_t port() const;

  // Returns the number of requests whose answer is not yet whole.
  std::int64_t open_requests() const;

  // Returns the number of connections on which the caller's system has yet to acknowledge something
  // that was written. open_requests() doesn't count an answer that this system has taken.
  std::int64_t unacknowledged_connections() const;

  // Returns the number of open connections.
  std::int64_t connections() const;

  const std::string& last_reason() const { return last_reason_; }

 private:
  explicit HttpServer(std::unique_ptr<Internal::HttpServerImpl> impl);

  std::unique_ptr<Internal::HttpServerImpl> impl_;
  std::string last_reason_;
};

}  // namespace kumquat

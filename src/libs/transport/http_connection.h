// One caller's connection: requests are handled one after the other, in their order.
#pragma once

#include <QPointer>
#include <QTcpSocket>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "transport/http_message.h"
#include "transport/http_server.h"
#include "transport/request_framer.h"

namespace kumquat::Internal {

// What the connections of a server share. It outlives the server as long as an answer is kept.
struct HttpServerShared {
  HttpServerLimits limits;
  HttpServer::Handler handler;
  HttpServer::LimitBody limit_body;
  Clock clock;
  // Whether each answer is the last of its connection.
  bool stopping = false;
  std::int64_t open_requests = 0;
};

// A request that was handed over, with what its head says about the answer.
struct PendingRequest {
  HttpRequest request;
  RequestHead head;
};

class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  HttpConnection(QTcpSocket* socket, std::shared_ptr<HttpServerShared> shared);

  // Looks at the bytes that the parser above has not read yet, before it reads them. False when
  // the request was refused: the bytes are gone and the parser may not read on.
  bool InspectInput();

  // Notes what the parser left unread.
  void InputParsed();

  // Takes a parsed request; it is handled when those before it have been answered.
  void Enqueue(HttpRequest request);

  // Takes the head of the request that the parser hands over; false when there is none.
  bool TakeHead(RequestHead* head);

  // Returns whether the connection has been silent for too long at this moment.
  bool TimedOut(Instant now) const;

  void Close();

  // Tells whoever answers that the caller has gone.
  void HandleDisconnected();

  // The answer to the request with this number; ignored when it is not the current one.
  void Send(std::int64_t number, int status, const HttpHeaders& headers, std::string_view body);
  void StartStream(std::int64_t number, int status, const HttpHeaders& headers);
  void Write(std::int64_t number, std::string_view chunk);
  void End(std::int64_t number);
  void Abort(std::int64_t number);
  void SetClosedHook(std::int64_t number, std::function<void()> hook);
  // Ends a request whose answer was given up by its handler.
  void Abandon(std::int64_t number);
  std::int64_t pending_bytes(std::int64_t number) const;

 private:
  enum class Phase { kIdle, kWaiting, kStreaming, kFlushing };

  bool IsCurrent(std::int64_t number, Phase phase) const;
  void HandleNext();
  void WriteHead(int status, const HttpHeaders& headers, std::string_view framing);
  void FinishAnswer();
  void HandleFlushed();
  void Refuse(FramingProblem problem);
  void Discard();
  void SendContinue();

  QPointer<QTcpSocket> socket_;
  std::shared_ptr<HttpServerShared> shared_;
  RequestFramer framer_;
  std::deque<RequestHead> heads_;
  std::deque<PendingRequest> queue_;
  std::int64_t queued_bytes_ = 0;
  // Bytes in the socket's buffer that the framer has seen already.
  qint64 inspected_bytes_ = 0;
  bool discarding_ = false;
  Instant last_input_;

  Phase phase_ = Phase::kIdle;
  std::int64_t number_ = 0;
  RequestHead head_;
  bool keep_alive_ = true;
  bool body_allowed_ = true;
  std::function<void()> closed_hook_;
};

}  // namespace kumquat::Internal

// One caller's connection: requests are read, handled and answered one after the other.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "transport/http_message.h"
#include "transport/http_parser.h"
#include "transport/http_server.h"
#include "transport/tcp_stream.h"

namespace kumquat::Internal {

class HttpConnection;

// What the connections of a server share. It outlives the server as long as an answer is kept.
struct HttpServerShared {
  HttpServerLimits limits;
  HttpServer::Handler handler;
  HttpServer::LimitBody limit_body;
  // Null where answers aren't counted.
  AnswerMemory* answer_memory = nullptr;
  // Null where requests aren't counted.
  RequestMemory* request_memory = nullptr;
  std::function<void(CallerRefusal reason)> on_refused;
  Clock clock;
  // Takes a connection that has ended off the server's list.
  std::function<void(const HttpConnection* connection)> forget;
  // Whether each answer is the last of its connection.
  bool stopping = false;
  // How long callers may leave what is written unread; by default as long as the transport lets
  // them.
  std::optional<Duration> caller_patience;
  std::int64_t open_requests = 0;

  void CountRefusal(CallerRefusal reason) const {
    if (on_refused) on_refused(reason);
  }
};

class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  explicit HttpConnection(std::shared_ptr<HttpServerShared> shared);

  // Begins to read the accepted connection.
  void Start(int descriptor);

  // Closes the connection where a time limit has passed, or where its caller has gone while it
  // isn't read from.
  void CloseIfOverdue(Instant now);

  // What a connection waits for that may be closed to make room, those first that are closed first.
  enum class WaitKind {
    // A request.
    kIdle,
    // Its caller to close, which has got its last answer.
    kLingering,
    // The rest of a request that doesn't come on.
    kStalled,
    // Nothing: it isn't closed.
    kNone,
  };
  struct Waiting {
    WaitKind kind = WaitKind::kNone;
    Instant since{0};

    bool operator<(const Waiting& other) const {
      return std::pair(kind, since) < std::pair(other.kind, other.since);
    }
  };
  Waiting waiting(Instant now) const;

  // Closes a connection that waits, to make room for another one.
  void MakeRoom();

  // Closes the connection if no request has begun on it, once its last answer has arrived.
  void CloseIfIdle();

  // Returns whether the caller's system has yet to acknowledge something that was written.
  bool has_unacknowledged() const { return stream_ && stream_->unacknowledged_bytes() > 0; }

  // Lets the caller leave what is written unread for this long.
  void SetCallerPatience(Duration longest);

  // Closes at once. Whoever answers is told, as when the caller goes away.
  void Close();

  // The answer to the request with this number; ignored when it is not the current one.
  void Send(std::int64_t number, int status, const HttpHeaders& headers, std::string_view body);
  void StartStream(std::int64_t number, int status, const HttpHeaders& headers,
                   std::optional<std::int64_t> length);
  void Write(std::int64_t number, std::string_view chunk);
  void End(std::int64_t number);
  void Abort(std::int64_t number);
  void SetClosedHook(std::int64_t number, std::function<void()> hook);
  void SetCaughtUpHook(std::int64_t number, std::function<void()> hook);
  // Ends a request whose answer was given up by its handler.
  void Abandon(std::int64_t number);
  std::int64_t pending_bytes(std::int64_t number) const;

 private:
  enum class Phase {
    // A request is awaited or read.
    kReading,
    // The handler has the request.
    kWaiting,
    kStreaming,
    // The answer is complete and goes out.
    kFlushing,
    // What still comes in is thrown away; the caller is given time to take the answer.
    kLingering,
    kClosed,
  };
  enum class Framing { kLength, kChunks, kUntilClose };

  bool IsCurrent(std::int64_t number, Phase phase) const;
  // Writes a part of an answer, and counts it if the caller doesn't take it at once.
  void WriteAnswer(std::string_view bytes);
  void HandleData(std::string_view bytes);
  void ParseInput();
  void HandleRequest();
  void SendContinue();
  void Refuse(ParseProblem problem);
  // Answers a request that isn't passed on, and closes the connection once the answer is out.
  void SendRefusal(int status, const HttpHeaders& headers);
  void WriteHead(int status, const HttpHeaders& headers, std::string_view framing);
  void FinishAnswer();
  void HandleFlushed();
  void Linger();
  // Reports to the request memory what this connection keeps.
  void ReportKept();
  std::optional<RequestMemory::Droppable> DroppableRequest() const;
  void DropRequest();
  void DiscardAhead(std::size_t bytes);

  std::shared_ptr<HttpServerShared> shared_;
  std::unique_ptr<TcpStream> stream_;
  Phase phase_ = Phase::kReading;
  std::string input_;
  std::unique_ptr<RequestParser> parser_;
  bool sent_continue_ = false;
  // Since when the connection is idle, the header is awaited or the caller lingers.
  Instant phase_since_;
  Instant last_input_;
  // Since when input is kept that was sent ahead of an answer.
  Instant ahead_since_{0};
  bool has_begun_ = false;
  // Whether the connection isn't read from as enough is kept of what was sent ahead.
  bool is_paused_ = false;
  // Set once input is thrown away that was sent ahead; the answer in progress is the last one.
  bool discards_ahead_ = false;
  std::size_t discarded_ahead_ = 0;
  // The memory of the request that the handler was given.
  std::int64_t handed_bytes_ = 0;
  std::unique_ptr<RequestMemory::Account> request_account_;

  std::int64_t number_ = 0;
  bool is_head_ = false;
  bool allows_chunks_ = true;
  bool caller_keeps_alive_ = true;
  bool keep_alive_ = true;
  Framing framing_ = Framing::kLength;
  std::int64_t length_left_ = 0;
  std::function<void()> closed_hook_;
  std::function<void()> caught_up_hook_;
  // Open from the first part of an answer that the caller doesn't take at once.
  std::unique_ptr<AnswerMemory::Account> answer_account_;
};

}  // namespace kumquat::Internal

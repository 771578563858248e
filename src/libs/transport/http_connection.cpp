#include "transport/http_connection.h"

#include <fmt/format.h>

#include <QTimer>
#include <array>
#include <utility>

#include "utils/log.h"

namespace kumquat::Internal {
namespace {

// How long a refused caller may go on sending before the connection is cut, so that it can read
// the answer.
constexpr std::chrono::milliseconds kRefusalLinger{2000};
// Pipelined requests that may wait for their turn.
constexpr std::size_t kMaxQueuedRequests = 16;

constexpr std::array<std::pair<int, const char*>, 20> kReasonPhrases = {{
    {200, "OK"},
    {201, "Created"},
    {202, "Accepted"},
    {204, "No Content"},
    {304, "Not Modified"},
    {400, "Bad Request"},
    {401, "Unauthorized"},
    {403, "Forbidden"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {408, "Request Timeout"},
    {409, "Conflict"},
    {413, "Content Too Large"},
    {422, "Unprocessable Content"},
    {429, "Too Many Requests"},
    {431, "Request Header Fields Too Large"},
    {500, "Internal Server Error"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
}};

std::string_view ReasonPhrase(int status) {
  for (const auto& [code, phrase] : kReasonPhrases) {
    if (code == status) return phrase;
  }
  return "Other";
}

bool IsFramingField(std::string_view name) {
  return EqualInAnyCase(name, "content-length") || EqualInAnyCase(name, "transfer-encoding") ||
         EqualInAnyCase(name, "connection") || EqualInAnyCase(name, "keep-alive");
}

// Returns the text without the line ends that would begin another field.
std::string WithoutLineEnds(std::string_view text) {
  std::string result(text);
  for (char& c : result) {
    if (c == '\r' || c == '\n') c = ' ';
  }
  return result;
}

int StatusOf(FramingProblem problem) {
  if (problem == FramingProblem::kHeaderTooLong) return 431;
  return problem == FramingProblem::kBodyTooLarge ? 413 : 400;
}

}  // namespace

HttpConnection::HttpConnection(QTcpSocket* socket, std::shared_ptr<HttpServerShared> shared)
    : socket_(socket),
      shared_(std::move(shared)),
      framer_(shared_->limits.max_header_bytes, shared_->limits.max_body_bytes),
      last_input_(shared_->clock()) {}

bool HttpConnection::InspectInput() {
  last_input_ = shared_->clock();
  if (discarding_) {
    Discard();
    return false;
  }
  const QByteArray input = socket_->peek(socket_->bytesAvailable());
  const QByteArrayView fresh =
      QByteArrayView(input).sliced(std::min(inspected_bytes_, input.size()));
  const FramingProblem problem =
      framer_.Feed({fresh.data(), static_cast<std::size_t>(fresh.size())});
  if (problem != FramingProblem::kNone) {
    Refuse(problem);
    return false;
  }
  SendContinue();
  return true;
}

void HttpConnection::InputParsed() {
  if (socket_) inspected_bytes_ = socket_->bytesAvailable();
}

bool HttpConnection::TakeHead(RequestHead* head) {
  if (framer_.heads().empty()) return false;
  *head = std::move(framer_.heads().front());
  framer_.heads().pop_front();
  return true;
}

void HttpConnection::Enqueue(HttpRequest request) {
  PendingRequest pending;
  if (discarding_) return;
  if (!TakeHead(&pending.head)) {
    LogEvent(LogLevel::kWarning, "http_framing_disagrees");
    Close();
    return;
  }
  request.method = pending.head.method;
  const auto query = pending.head.target.find('?');
  const std::string path = pending.head.target.substr(0, query);
  request.path = QByteArray::fromPercentEncoding(QByteArray::fromStdString(path)).toStdString();
  if (query != std::string::npos) request.query = pending.head.target.substr(query + 1);
  pending.request = std::move(request);
  queued_bytes_ += static_cast<std::int64_t>(pending.request.body.size());
  queue_.push_back(std::move(pending));
  ++shared_->open_requests;
  if (phase_ == Phase::kIdle) {
    HandleNext();
  } else if (queue_.size() > kMaxQueuedRequests || queued_bytes_ > shared_->limits.max_body_bytes) {
    LogEvent(LogLevel::kWarning, "http_pipeline_too_long");
    Close();
  }
}

bool HttpConnection::TimedOut(Instant now) const {
  return phase_ == Phase::kIdle && framer_.mid_request() &&
         now - last_input_ > shared_->limits.request_timeout;
}

void HttpConnection::Close() {
  if (socket_) socket_->abort();
}

void HttpConnection::HandleDisconnected() {
  const auto self = shared_from_this();
  shared_->open_requests -= static_cast<std::int64_t>(queue_.size());
  if (phase_ != Phase::kIdle) --shared_->open_requests;
  queue_.clear();
  phase_ = Phase::kIdle;
  socket_ = nullptr;
  const auto hook = std::exchange(closed_hook_, nullptr);
  if (hook) hook();
}

bool HttpConnection::IsCurrent(std::int64_t number, Phase phase) const {
  return socket_ && number == number_ && phase_ == phase;
}

namespace {

// Answers one request of a connection.
class ConnectionResponder : public HttpResponder {
 public:
  ConnectionResponder(std::shared_ptr<HttpConnection> connection, std::int64_t number)
      : connection_(std::move(connection)), number_(number) {}
  ConnectionResponder(const ConnectionResponder&) = delete;
  ConnectionResponder& operator=(const ConnectionResponder&) = delete;
  ~ConnectionResponder() override { connection_->Abandon(number_); }

  void Send(int status, const HttpHeaders& headers, std::string_view body) override {
    connection_->Send(number_, status, headers, body);
  }
  void StartStream(int status, const HttpHeaders& headers) override {
    connection_->StartStream(number_, status, headers);
  }
  void Write(std::string_view chunk) override { connection_->Write(number_, chunk); }
  void End() override { connection_->End(number_); }
  void Abort() override { connection_->Abort(number_); }
  std::int64_t pending_bytes() const override { return connection_->pending_bytes(number_); }
  void OnClosed(std::function<void()> hook) override {
    connection_->SetClosedHook(number_, std::move(hook));
  }

 private:
  std::shared_ptr<HttpConnection> connection_;
  std::int64_t number_;
};

}  // namespace

void HttpConnection::HandleNext() {
  if (!socket_ || phase_ != Phase::kIdle || queue_.empty()) return;
  PendingRequest next = std::move(queue_.front());
  queue_.pop_front();
  queued_bytes_ -= static_cast<std::int64_t>(next.request.body.size());
  head_ = std::move(next.head);
  phase_ = Phase::kWaiting;
  ++number_;
  shared_->handler(std::move(next.request),
                   std::make_shared<ConnectionResponder>(shared_from_this(), number_));
}

void HttpConnection::WriteHead(int status, const HttpHeaders& headers, std::string_view framing) {
  std::string head = fmt::format("HTTP/1.1 {} {}\r\n", status, ReasonPhrase(status));
  for (const auto& [name, value] : headers) {
    if (IsFramingField(name)) continue;
    head += fmt::format("{}: {}\r\n", WithoutLineEnds(name), WithoutLineEnds(value));
  }
  head += framing;
  head += keep_alive_ ? "Connection: keep-alive\r\n\r\n" : "Connection: close\r\n\r\n";
  socket_->write(head.data(), static_cast<qint64>(head.size()));
}

void HttpConnection::Send(std::int64_t number, int status, const HttpHeaders& headers,
                          std::string_view body) {
  if (!IsCurrent(number, Phase::kWaiting)) return;
  keep_alive_ = head_.keep_alive && !shared_->stopping;
  const bool has_length = status != 204 && status != 304;
  WriteHead(status, headers,
            has_length ? fmt::format("Content-Length: {}\r\n", body.size()) : std::string());
  if (has_length && head_.method != "HEAD") {
    socket_->write(body.data(), static_cast<qint64>(body.size()));
  }
  FinishAnswer();
}

void HttpConnection::StartStream(std::int64_t number, int status, const HttpHeaders& headers) {
  if (!IsCurrent(number, Phase::kWaiting)) return;
  phase_ = Phase::kStreaming;
  keep_alive_ = head_.keep_alive && head_.chunked_answers && !shared_->stopping;
  body_allowed_ = head_.method != "HEAD";
  WriteHead(status, headers, head_.chunked_answers ? "Transfer-Encoding: chunked\r\n" : "");
}

void HttpConnection::Write(std::int64_t number, std::string_view chunk) {
  if (!IsCurrent(number, Phase::kStreaming) || !body_allowed_ || chunk.empty()) return;
  std::string framed;
  if (head_.chunked_answers) framed = fmt::format("{:x}\r\n", chunk.size());
  framed += chunk;
  if (head_.chunked_answers) framed += "\r\n";
  socket_->write(framed.data(), static_cast<qint64>(framed.size()));
}

void HttpConnection::End(std::int64_t number) {
  if (!IsCurrent(number, Phase::kStreaming)) return;
  if (body_allowed_ && head_.chunked_answers) socket_->write("0\r\n\r\n");
  FinishAnswer();
}

void HttpConnection::FinishAnswer() {
  phase_ = Phase::kFlushing;
  closed_hook_ = nullptr;
  socket_->flush();
  if (!socket_) return;
  if (socket_->bytesToWrite() == 0) {
    HandleFlushed();
    return;
  }
  const std::weak_ptr<HttpConnection> self = shared_from_this();
  QObject::connect(socket_, &QTcpSocket::bytesWritten, socket_, [self] {
    const auto connection = self.lock();
    if (connection && connection->socket_ && connection->socket_->bytesToWrite() == 0) {
      connection->HandleFlushed();
    }
  });
}

void HttpConnection::HandleFlushed() {
  if (phase_ != Phase::kFlushing) return;
  phase_ = Phase::kIdle;
  --shared_->open_requests;
  if (!keep_alive_) {
    socket_->disconnectFromHost();
    return;
  }
  if (queue_.empty()) return;
  // Not from here, since the handler of the request before may be on the stack.
  QTimer::singleShot(0, socket_, [self = shared_from_this()] { self->HandleNext(); });
}

void HttpConnection::Abort(std::int64_t number) {
  if (!socket_ || number != number_ || phase_ == Phase::kIdle || phase_ == Phase::kFlushing) return;
  closed_hook_ = nullptr;
  Close();
}

void HttpConnection::Abandon(std::int64_t number) {
  if (IsCurrent(number, Phase::kWaiting) || IsCurrent(number, Phase::kStreaming)) Abort(number);
}

void HttpConnection::SetClosedHook(std::int64_t number, std::function<void()> hook) {
  if (IsCurrent(number, Phase::kWaiting) || IsCurrent(number, Phase::kStreaming)) {
    closed_hook_ = std::move(hook);
  }
}

std::int64_t HttpConnection::pending_bytes(std::int64_t number) const {
  return socket_ && number == number_ ? socket_->bytesToWrite() : 0;
}

void HttpConnection::Refuse(FramingProblem problem) {
  Discard();
  discarding_ = true;
  // An answer that is under way keeps its place; the refused request gets none then.
  if (phase_ != Phase::kIdle || !queue_.empty()) {
    Close();
    return;
  }
  const int status = StatusOf(problem);
  const bool has_body = status != 400 && shared_->limit_body;
  const std::string body = has_body ? shared_->limit_body(status) : std::string();
  keep_alive_ = false;
  WriteHead(status, {{"Content-Type", "application/json"}},
            fmt::format("Content-Length: {}\r\n", body.size()));
  socket_->write(body.data(), static_cast<qint64>(body.size()));
  socket_->flush();
  if (socket_) QTimer::singleShot(kRefusalLinger, socket_, [socket = socket_] { socket->abort(); });
}

void HttpConnection::Discard() {
  if (socket_->isTransactionStarted()) socket_->commitTransaction();
  while (socket_->bytesAvailable() > 0) socket_->skip(socket_->bytesAvailable());
}

void HttpConnection::SendContinue() {
  if (phase_ != Phase::kIdle || framer_.heads().empty() || !framer_.awaits_body()) return;
  RequestHead& newest = framer_.heads().back();
  if (!std::exchange(newest.expects_continue, false)) return;
  socket_->write("HTTP/1.1 100 Continue\r\n\r\n");
}

}  // namespace kumquat::Internal

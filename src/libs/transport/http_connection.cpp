#include "transport/http_connection.h"

#include <fmt/format.h>

#include <QByteArray>
#include <QTimer>
#include <algorithm>
#include <array>
#include <utility>

#include "utils/log.h"

namespace kumquat::Internal {
namespace {

// How long a caller that has got its last answer may take to close; a connection that is closed
// while bytes of the caller are unread is reset, and what the caller hasn't read is lost.
constexpr Duration kLingerTime = std::chrono::seconds(2);
// The system's own buffer would grow to several megabytes for a caller that reads slowly.
constexpr int kSendBufferBytes = 256 * 1024;
// Input of later requests that is kept while one is answered. Callers seldom send more than a few
// short requests ahead.
constexpr std::size_t kMaxInputAhead = 16 * 1024;
// A caller that sends on although its input is thrown away is closed after so much.
constexpr std::size_t kMaxDiscardedAhead = 256 * 1024;
// For a caller's connection: some thousand of them, unread, have to fit a small instance.
constexpr int kReceiveBufferBytes = 16 * 1024;
// A connection with its notifiers and its share of the system's tables.
constexpr std::int64_t kConnectionBytes = 2 * 1024;
// A caller that has sent part of a request and then nothing for this long makes room for others.
constexpr Duration kStalledAfter = std::chrono::milliseconds(500);
// When to come back after a refusal for want of memory, which large requests soon free again.
constexpr const char* kMemoryRetryAfter = "1";

constexpr std::array<std::pair<int, const char*>, 22> kReasonPhrases = {{
    {200, "OK"},
    {201, "Created"},
    {202, "Accepted"},
    {204, "No Content"},
    {304, "Not Modified"},
    {307, "Temporary Redirect"},
    {400, "Bad Request"},
    {401, "Unauthorized"},
    {403, "Forbidden"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {408, "Request Timeout"},
    {409, "Conflict"},
    {413, "Content Too Large"},
    {421, "Misdirected Request"},
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

bool HasBody(int status) { return status != 204 && status != 304; }

int StatusOf(ParseProblem problem) {
  if (problem == ParseProblem::kHeaderTooLong) return 431;
  return problem == ParseProblem::kBodyTooLarge ? 413 : 400;
}

CallerRefusal RefusalOf(ParseProblem problem) {
  if (problem == ParseProblem::kHeaderTooLong) return CallerRefusal::kHeaderTooLong;
  return problem == ParseProblem::kBodyTooLarge ? CallerRefusal::kBodyTooLarge
                                                : CallerRefusal::kMalformed;
}

// Splits the target into decoded path and raw query.
void SplitTarget(HttpRequest* request) {
  const std::string& target = request->target;
  const auto query = target.find('?');
  request->path =
      QByteArray::fromPercentEncoding(QByteArray::fromStdString(target.substr(0, query)))
          .toStdString();
  if (query != std::string::npos) request->query = target.substr(query + 1);
}

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
  void StartStream(int status, const HttpHeaders& headers,
                   std::optional<std::int64_t> length) override {
    connection_->StartStream(number_, status, headers, length);
  }
  void Write(std::string_view chunk) override { connection_->Write(number_, chunk); }
  void End() override { connection_->End(number_); }
  void Abort() override { connection_->Abort(number_); }
  std::int64_t pending_bytes() const override { return connection_->pending_bytes(number_); }
  void OnClosed(std::function<void()> hook) override {
    connection_->SetClosedHook(number_, std::move(hook));
  }
  void OnCaughtUp(std::function<void()> hook) override {
    connection_->SetCaughtUpHook(number_, std::move(hook));
  }

 private:
  std::shared_ptr<HttpConnection> connection_;
  std::int64_t number_;
};

}  // namespace

HttpConnection::HttpConnection(std::shared_ptr<HttpServerShared> shared)
    : shared_(std::move(shared)), phase_since_(shared_->clock()), last_input_(phase_since_) {}

void HttpConnection::Start(int descriptor) {
  const auto weak = weak_from_this();
  TcpStream::Hooks hooks;
  hooks.on_data = [weak](std::string_view bytes) {
    if (const auto connection = weak.lock()) connection->HandleData(bytes);
  };
  hooks.on_end = [weak](TcpEnd /*end*/) {
    if (const auto connection = weak.lock()) connection->Close();
  };
  hooks.on_flushed = [weak] {
    if (const auto connection = weak.lock()) connection->HandleFlushed();
  };
  TcpOptions options;
  options.receive_buffer_bytes = kReceiveBufferBytes;
  stream_ = TcpStream::Adopt(descriptor, options, std::move(hooks));
  stream_->LimitSendBuffer(kSendBufferBytes);
  if (shared_->caller_patience) SetCallerPatience(*shared_->caller_patience);
  if (!shared_->request_memory) return;
  RequestMemory::Hooks memory_hooks;
  memory_hooks.droppable = [this] { return DroppableRequest(); };
  memory_hooks.drop = [this] { DropRequest(); };
  request_account_ = shared_->request_memory->Open(std::move(memory_hooks));
  ReportKept();
}

void HttpConnection::SetCallerPatience(Duration longest) {
  if (stream_) stream_->SetDeadPeerTimeout(longest);
}

void HttpConnection::HandleData(std::string_view bytes) {
  last_input_ = shared_->clock();
  if (phase_ == Phase::kLingering) return;
  const auto self = shared_from_this();
  if (discards_ahead_) return DiscardAhead(bytes.size());
  if (input_.empty()) ahead_since_ = last_input_;
  input_ += bytes;
  if (phase_ == Phase::kReading) {
    ParseInput();
  } else if (input_.size() > kMaxInputAhead) {
    is_paused_ = true;
    stream_->SetReading(false);
  }
  ReportKept();
  if (shared_->request_memory) shared_->request_memory->Enforce(last_input_);
}

void HttpConnection::DiscardAhead(std::size_t bytes) {
  discarded_ahead_ += bytes;
  if (discarded_ahead_ > kMaxDiscardedAhead) Close();
}

void HttpConnection::ParseInput() {
  if (input_.empty()) return;
  if (!has_begun_) {
    has_begun_ = true;
    phase_since_ = last_input_;
  }
  if (!parser_) {
    parser_ = std::make_unique<RequestParser>(shared_->limits.max_header_bytes,
                                              shared_->limits.max_body_bytes);
  }
  const std::size_t taken = parser_->Feed(input_);
  // A string keeps its memory when it is emptied.
  input_ = input_.substr(taken);
  if (parser_->problem() != ParseProblem::kNone) {
    Refuse(parser_->problem());
  } else if (parser_->done()) {
    const auto* memory = shared_->request_memory;
    if (memory && memory->is_far_exceeded(parser_->kept_bytes())) return DropRequest();
    HandleRequest();
  } else {
    SendContinue();
  }
}

void HttpConnection::SendContinue() {
  if (sent_continue_ || !parser_->header_done() || !parser_->expects_continue()) return;
  sent_continue_ = true;
  stream_->Write("HTTP/1.1 100 Continue\r\n\r\n");
}

void HttpConnection::HandleRequest() {
  HttpRequest request = std::move(parser_->request());
  SplitTarget(&request);
  is_head_ = request.method == "HEAD";
  allows_chunks_ = parser_->allows_chunks();
  caller_keeps_alive_ = parser_->keep_alive();
  parser_.reset();
  sent_continue_ = false;
  has_begun_ = false;
  phase_ = Phase::kWaiting;
  handed_bytes_ = MemoryOf(request);
  ReportKept();
  ++number_;
  ++shared_->open_requests;
  const auto self = shared_from_this();
  shared_->handler(std::move(request), std::make_shared<ConnectionResponder>(self, number_));
}

void HttpConnection::ReportKept() {
  if (!request_account_) return;
  const std::int64_t parsed = parser_ ? parser_->kept_bytes() : 0;
  const std::int64_t unread = is_paused_ ? stream_->unread_bytes() : 0;
  request_account_->Report(kConnectionBytes + static_cast<std::int64_t>(input_.capacity()) +
                           parsed + handed_bytes_ + unread);
}

std::optional<RequestMemory::Droppable> HttpConnection::DroppableRequest() const {
  const auto ahead = static_cast<std::int64_t>(input_.capacity());
  if (phase_ == Phase::kReading && has_begun_) {
    return RequestMemory::Droppable{ahead + (parser_ ? parser_->kept_bytes() : 0), phase_since_,
                                    last_input_, true};
  }
  const bool is_answering =
      phase_ == Phase::kWaiting || phase_ == Phase::kStreaming || phase_ == Phase::kFlushing;
  if (!is_answering || input_.empty()) return std::nullopt;
  return RequestMemory::Droppable{ahead + (is_paused_ ? stream_->unread_bytes() : 0), ahead_since_,
                                  last_input_, false};
}

void HttpConnection::DropRequest() {
  if (phase_ == Phase::kReading) {
    shared_->CountRefusal(CallerRefusal::kMemory);
    SendRefusal(503, {{"Retry-After", kMemoryRetryAfter}});
    return;
  }
  shared_->CountRefusal(CallerRefusal::kSentAhead);
  discards_ahead_ = true;
  input_ = {};
  is_paused_ = false;
  stream_->SetReading(true);
  ReportKept();
}

void HttpConnection::CloseIfOverdue(Instant now) {
  if (is_paused_) {
    if (stream_->has_peer_closed()) return Close();
    // The system's buffer may have filled since reading was stopped.
    ReportKept();
    return;
  }
  const HttpServerLimits& limits = shared_->limits;
  bool overdue = false;
  if (phase_ == Phase::kLingering) {
    // A byte that comes in after the close would reset the connection, and lose what is on its way.
    overdue = now - phase_since_ > kLingerTime && !has_unacknowledged();
  } else if (phase_ == Phase::kReading && has_begun_) {
    const bool in_header = !parser_ || !parser_->header_done();
    overdue = now - last_input_ > limits.request_timeout ||
              (in_header && now - phase_since_ > limits.header_timeout);
  } else if (phase_ == Phase::kReading) {
    overdue = now - phase_since_ > limits.idle_timeout;
  }
  if (!overdue) return;
  if (phase_ == Phase::kReading && has_begun_) shared_->CountRefusal(CallerRefusal::kTooSlow);
  Close();
}

HttpConnection::Waiting HttpConnection::waiting(Instant now) const {
  if (phase_ == Phase::kReading && !has_begun_) return {WaitKind::kIdle, phase_since_};
  if (phase_ == Phase::kLingering && !has_unacknowledged()) {
    return {WaitKind::kLingering, phase_since_};
  }
  const bool is_stalled = phase_ == Phase::kReading && now - last_input_ >= kStalledAfter;
  return is_stalled ? Waiting{WaitKind::kStalled, last_input_} : Waiting{};
}

void HttpConnection::MakeRoom() {
  shared_->CountRefusal(CallerRefusal::kConnections);
  Close();
}

void HttpConnection::CloseIfIdle() {
  if (phase_ != Phase::kReading || has_begun_) return;
  if (has_unacknowledged()) {
    Linger();
  } else {
    Close();
  }
}

void HttpConnection::Close() {
  if (phase_ == Phase::kClosed) return;
  const auto self = shared_from_this();
  const bool is_open =
      phase_ == Phase::kWaiting || phase_ == Phase::kStreaming || phase_ == Phase::kFlushing;
  if (!is_open && stream_) stream_->DiscardInput();
  phase_ = Phase::kClosed;
  if (is_open) --shared_->open_requests;
  answer_account_.reset();
  stream_.reset();
  input_ = {};
  parser_.reset();
  is_paused_ = false;
  request_account_.reset();
  if (shared_->forget) shared_->forget(this);
  caught_up_hook_ = nullptr;
  const auto hook = std::exchange(closed_hook_, nullptr);
  if (hook) hook();
}

bool HttpConnection::IsCurrent(std::int64_t number, Phase phase) const {
  return number == number_ && phase_ == phase;
}

void HttpConnection::WriteAnswer(std::string_view bytes) {
  stream_->Write(bytes);
  if (!shared_->answer_memory || stream_->pending_bytes() == 0) return;
  if (!answer_account_) {
    AnswerMemory::Hooks hooks;
    hooks.kept_bytes = [this] { return stream_ ? stream_->pending_bytes() : 0; };
    hooks.drop = [this] { Close(); };
    answer_account_ = shared_->answer_memory->Open(std::move(hooks));
  }
  answer_account_->Received(static_cast<std::int64_t>(bytes.size()));
}

void HttpConnection::WriteHead(int status, const HttpHeaders& headers, std::string_view framing) {
  std::string head = fmt::format("HTTP/1.1 {} {}\r\n", status, ReasonPhrase(status));
  for (const auto& [name, value] : headers) {
    if (IsFramingField(name)) continue;
    head += fmt::format("{}: {}\r\n", WithoutLineEnds(name), WithoutLineEnds(value));
  }
  head += framing;
  head += keep_alive_ ? "Connection: keep-alive\r\n\r\n" : "Connection: close\r\n\r\n";
  stream_->Write(head);
}

void HttpConnection::Send(std::int64_t number, int status, const HttpHeaders& headers,
                          std::string_view body) {
  if (!IsCurrent(number, Phase::kWaiting)) return;
  keep_alive_ = caller_keeps_alive_ && !shared_->stopping && !discards_ahead_;
  WriteHead(status, headers,
            HasBody(status) ? fmt::format("Content-Length: {}\r\n", body.size()) : std::string());
  if (HasBody(status) && !is_head_) WriteAnswer(body);
  FinishAnswer();
}

void HttpConnection::StartStream(std::int64_t number, int status, const HttpHeaders& headers,
                                 std::optional<std::int64_t> length) {
  if (!IsCurrent(number, Phase::kWaiting)) return;
  phase_ = Phase::kStreaming;
  framing_ = length ? Framing::kLength : allows_chunks_ ? Framing::kChunks : Framing::kUntilClose;
  length_left_ = length.value_or(0);
  keep_alive_ = caller_keeps_alive_ && framing_ != Framing::kUntilClose && !shared_->stopping &&
                !discards_ahead_;
  std::string framing;
  if (framing_ == Framing::kLength) framing = fmt::format("Content-Length: {}\r\n", *length);
  if (framing_ == Framing::kChunks) framing = "Transfer-Encoding: chunked\r\n";
  WriteHead(status, headers, HasBody(status) ? framing : "");
  if (is_head_ || !HasBody(status)) framing_ = Framing::kUntilClose;
}

void HttpConnection::Write(std::int64_t number, std::string_view chunk) {
  if (!IsCurrent(number, Phase::kStreaming) || is_head_ || chunk.empty()) return;
  if (framing_ == Framing::kChunks) {
    WriteAnswer(fmt::format("{:x}\r\n{}\r\n", chunk.size(), chunk));
    return;
  }
  length_left_ -= static_cast<std::int64_t>(chunk.size());
  WriteAnswer(chunk);
}

void HttpConnection::End(std::int64_t number) {
  if (!IsCurrent(number, Phase::kStreaming)) return;
  if (framing_ == Framing::kLength && length_left_ != 0) {
    LogEvent(LogLevel::kError, "http_answer_length_wrong", {{"left", length_left_}});
    Close();
    return;
  }
  if (framing_ == Framing::kChunks) stream_->Write("0\r\n\r\n");
  FinishAnswer();
}

void HttpConnection::FinishAnswer() {
  phase_ = Phase::kFlushing;
  closed_hook_ = nullptr;
  caught_up_hook_ = nullptr;
  if (stream_->pending_bytes() > 0) return;
  // Not from here, since the handler of the request may be on the stack.
  const auto weak = weak_from_this();
  QTimer::singleShot(0, [weak] {
    if (const auto connection = weak.lock()) connection->HandleFlushed();
  });
}

void HttpConnection::HandleFlushed() {
  if (phase_ == Phase::kStreaming && caught_up_hook_) {
    const auto hook = caught_up_hook_;
    hook();
    return;
  }
  if (phase_ != Phase::kFlushing || stream_->pending_bytes() > 0) return;
  --shared_->open_requests;
  answer_account_.reset();
  handed_bytes_ = 0;
  phase_since_ = shared_->clock();
  // A stream's head may have gone out before the server began to stop.
  if (!keep_alive_ || shared_->stopping || discards_ahead_) {
    Linger();
    return;
  }
  phase_ = Phase::kReading;
  is_paused_ = false;
  // What was sent ahead counts from now on, not from when it came.
  last_input_ = phase_since_;
  ParseInput();
  if (phase_ == Phase::kClosed || phase_ == Phase::kLingering) return;
  is_paused_ = phase_ != Phase::kReading && input_.size() > kMaxInputAhead;
  stream_->SetReading(!is_paused_);
  ReportKept();
}

void HttpConnection::Linger() {
  phase_ = Phase::kLingering;
  phase_since_ = shared_->clock();
  input_ = {};
  parser_.reset();
  is_paused_ = false;
  ReportKept();
  stream_->FinishWriting();
  stream_->SetReading(true);
}

void HttpConnection::Abort(std::int64_t number) {
  if (number != number_ || (phase_ != Phase::kWaiting && phase_ != Phase::kStreaming)) return;
  closed_hook_ = nullptr;
  Close();
}

void HttpConnection::Abandon(std::int64_t number) { Abort(number); }

void HttpConnection::SetClosedHook(std::int64_t number, std::function<void()> hook) {
  if (IsCurrent(number, Phase::kWaiting) || IsCurrent(number, Phase::kStreaming)) {
    closed_hook_ = std::move(hook);
  }
}

void HttpConnection::SetCaughtUpHook(std::int64_t number, std::function<void()> hook) {
  if (IsCurrent(number, Phase::kWaiting) || IsCurrent(number, Phase::kStreaming)) {
    caught_up_hook_ = std::move(hook);
  }
}

std::int64_t HttpConnection::pending_bytes(std::int64_t number) const {
  return stream_ && number == number_ ? stream_->pending_bytes() : 0;
}

void HttpConnection::Refuse(ParseProblem problem) {
  shared_->CountRefusal(RefusalOf(problem));
  SendRefusal(StatusOf(problem), {});
}

void HttpConnection::SendRefusal(int status, const HttpHeaders& headers) {
  const bool has_body = status != 400 && shared_->limit_body;
  const std::string body = has_body ? shared_->limit_body(status) : std::string();
  keep_alive_ = false;
  HttpHeaders all = headers;
  all.emplace_back("Content-Type", "application/json");
  WriteHead(status, all, fmt::format("Content-Length: {}\r\n", body.size()));
  stream_->Write(body);
  Linger();
}

}  // namespace kumquat::Internal

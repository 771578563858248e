#include "transport/backend_client.h"

#include <fmt/format.h>

#include <QTimer>
#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

#include "transport/connection_pool.h"
#include "transport/http_parser.h"
#include "transport/tcp_stream.h"
#include "utils/deadline_timer.h"
#include "utils/log.h"

namespace kumquat {
namespace Internal {
namespace {

constexpr int kFirstFinalStatus = 200;
// How long a connection is kept whose server doesn't say how long it would.
constexpr Duration kDefaultKeptFor = std::chrono::seconds(2);
// A request must not cross the server's close, so a connection is given up this much earlier.
constexpr Duration kKeepMargin = std::chrono::milliseconds(500);

// Answers that a call passes over. There are few: interim ones, and late ones to earlier calls.
constexpr int kMaxPassedOver = 16;
// Bytes of the bodies of answers that a call passes over.
constexpr std::int64_t kMaxForeignBytes = 4 * 1024 * 1024;

// Fields that belong to a connection and are set by the client itself.
bool IsConnectionField(std::string_view name) {
  static constexpr std::array kNames = {"connection", "content-length",    "keep-alive", "te",
                                        "trailer",    "transfer-encoding", "upgrade",    "expect"};
  return std::any_of(kNames.begin(), kNames.end(),
                     [name](const char* other) { return EqualInAnyCase(name, other); });
}

std::string FieldsOf(const HttpHeaders& headers) {
  std::string fields;
  for (const auto& [name, value] : headers) {
    if (!IsConnectionField(name)) fields += fmt::format("{}: {}\r\n", name, value);
  }
  return fields;
}

std::string HeadOf(const BackendCallRequest& request) {
  std::string head = fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
  if (HeaderValue(request.headers, "Host").empty()) {
    head += fmt::format("Host: {}\r\n", request.endpoint.ToString());
  }
  head += FieldsOf(request.headers);
  if (request.headers_when_written) head += FieldsOf(request.headers_when_written());
  const bool has_length = !request.body.empty() || request.method != "GET";
  if (has_length) head += fmt::format("Content-Length: {}\r\n", request.body.size());
  return head + "\r\n";
}

// Returns how long the server keeps the connection, from "timeout=5, max=100".
Duration KeptFor(const HttpHeaders& headers) {
  constexpr std::string_view kName = "timeout=";
  const std::string_view value = HeaderValue(headers, "Keep-Alive");
  const std::size_t at = value.find(kName);
  if (at == std::string_view::npos) return kDefaultKeptFor;
  std::int64_t seconds = 0;
  const std::string_view digits = value.substr(at + kName.size());
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  return std::max(Duration(0), Duration(std::chrono::seconds(seconds)) - kKeepMargin);
}

}  // namespace

// One call from its start to its end. Every hook may destroy the call.
class CallState : public std::enable_shared_from_this<CallState> {
 public:
  CallState(BackendCallRequest request, BackendCallHooks hooks,
            std::shared_ptr<ConnectionPool> pool, Clock clock)
      : request_(std::move(request)),
        hooks_(std::move(hooks)),
        pool_(std::move(pool)),
        clock_(std::move(clock)),
        parser_(std::in_place, request_.method == "HEAD"),
        timer_(clock_) {}

  void Start() {
    started_at_ = clock_();
    const auto weak = weak_from_this();
    timer_.OnReached([weak] {
      if (const auto call = weak.lock()) call->HandleTimer();
    });
    if (!request_.new_connection) stream_ = pool_->Take(request_.endpoint);
    if (stream_) {
      if (request_.is_own_answer_on_reuse) request_.is_own_answer = request_.is_own_answer_on_reuse;
      stream_->SetHooks(StreamHooks());
      SendRequest();
      return;
    }
    TcpOptions options;
    options.connect_timeout = request_.timeouts.connect;
    stream_ = TcpStream::Connect(request_.endpoint, options, StreamHooks());
  }

  // Closes the connection; no hook runs any more.
  void Cancel() {
    ended_ = true;
    hooks_ = {};
    timer_.Stop();
    stream_.reset();
  }

  void SetReading(bool reading) {
    if (ended_ || reading == is_reading_) return;
    is_reading_ = reading;
    last_progress_ = clock_();
    stream_->SetReading(reading);
  }

  bool may_have_sent() const { return is_sending_; }

 private:
  TcpStream::Hooks StreamHooks() {
    const auto weak = weak_from_this();
    TcpStream::Hooks hooks;
    hooks.on_connected = [weak] {
      if (const auto call = weak.lock()) call->SendRequest();
    };
    hooks.on_data = [weak](std::string_view bytes) {
      if (const auto call = weak.lock()) call->HandleData(bytes);
    };
    hooks.on_end = [weak](TcpEnd end) {
      if (const auto call = weak.lock()) call->HandleEnd(end);
    };
    hooks.on_flushed = [weak] {
      if (const auto call = weak.lock()) call->last_progress_ = call->clock_();
    };
    return hooks;
  }

  void SendRequest() {
    is_sending_ = true;
    stream_->SetReading(is_reading_);
    const std::string head = HeadOf(request_);
    // One write where the body is short, as each costs a system call and maybe a packet.
    stream_->Write(head + request_.body);
    request_.body.clear();
    last_progress_ = clock_();
    StartTimer();
  }

  Duration PhaseLimit() const {
    return has_data_ ? request_.timeouts.between_bytes : request_.timeouts.first_byte;
  }

  // The timer isn't restarted by each piece of data; it looks at the last one when it fires.
  void HandleTimer() {
    const Instant now = clock_();
    if (request_.max_time && now >= started_at_ + *request_.max_time) {
      Fail(CallFailure::kSilent, "The answer took too long.");
      return;
    }
    if (!is_reading_) last_progress_ = now;
    if (now < last_progress_ + PhaseLimit()) {
      StartTimer();
    } else {
      Fail(CallFailure::kSilent, "The server was silent for too long.");
    }
  }

  void StartTimer() {
    const Instant silence_ends = last_progress_ + PhaseLimit();
    const auto& max_time = request_.max_time;
    timer_.StartAt(max_time ? std::min(started_at_ + *max_time, silence_ends) : silence_ends);
  }

  void HandleData(std::string_view bytes) {
    const auto self = shared_from_this();
    if (ended_ || !is_sending_) return;
    input_ += bytes;
    while (!ended_) {
      input_.erase(0, parser_->Feed(input_));
      if (parser_->problem() != ParseProblem::kNone) {
        Fail(CallFailure::kBroken, "The answer is malformed.");
        return;
      }
      if (!parser_->done()) break;
      if (!PassesOver()) {
        Deliver();
        if (!ended_) FinishWhole();
        return;
      }
      if (++passed_over_ > kMaxPassedOver) {
        Fail(CallFailure::kBroken, "Too many answers are not this call's.");
        return;
      }
      parser_.emplace(request_.method == "HEAD");
      if (input_.empty()) return;
    }
    if (ended_ || !parser_->header_done()) return;
    if (!PassesOver()) {
      Deliver();
      return;
    }
    foreign_bytes_ += static_cast<std::int64_t>(parser_->TakeBody().size());
    if (foreign_bytes_ > kMaxForeignBytes) {
      Fail(CallFailure::kBroken, "An answer that is not this call's has no end.");
    }
  }

  // Returns whether the answer is an interim one, or another call's.
  bool PassesOver() {
    if (parser_->status() < kFirstFinalStatus) return true;
    if (!request_.is_own_answer || has_headers_) return false;
    if (request_.is_own_answer(parser_->status(), parser_->headers())) return false;
    if (!std::exchange(saw_foreign_answer_, true)) {
      LogEvent(LogLevel::kWarning, "foreign_answer_passed_over",
               {{"server", request_.endpoint.ToString()}});
    }
    return true;
  }

  void Deliver() {
    if (!has_headers_) {
      has_headers_ = true;
      last_progress_ = clock_();
      if (hooks_.on_headers) {
        const auto on_headers = hooks_.on_headers;
        on_headers(parser_->status(), parser_->headers());
      }
    }
    if (ended_) return;
    const std::string body = parser_->TakeBody();
    if (body.empty()) return;
    has_data_ = true;
    last_progress_ = clock_();
    body_bytes_ += static_cast<std::int64_t>(body.size());
    if (request_.max_body_bytes && body_bytes_ > *request_.max_body_bytes) {
      Fail(CallFailure::kBroken, "The answer is too long.");
      return;
    }
    if (!hooks_.on_data) return;
    const auto on_data = hooks_.on_data;
    on_data(body);
  }

  void HandleEnd(TcpEnd end) {
    const auto self = shared_from_this();
    if (ended_) return;
    if (end == TcpEnd::kRefused || end == TcpEnd::kNotConnected) {
      Fail(CallFailure::kNotSent,
           end == TcpEnd::kRefused ? "Connection refused." : "No connection was made in time.");
      return;
    }
    const bool may_end_here = end == TcpEnd::kFinished && request_.takes_unframed_answer &&
                              has_headers_ && parser_->ends_with_connection();
    if (may_end_here) {
      parser_->FeedEnd();
      Deliver();
      if (!ended_) FinishWhole();
      return;
    }
    Fail(CallFailure::kBroken, end == TcpEnd::kReset ? "The connection was reset."
                                                     : "The connection ended within the answer.");
  }

  void FinishWhole() {
    ended_ = true;
    timer_.Stop();
    // An answer that came before the whole request was sent leaves the server waiting for the rest.
    // A faulty server may write a refusal once more, as the answer to a later request that it runs.
    const bool reusable = !ImpliesNotRun(parser_->status()) && stream_ && stream_->connected() &&
                          parser_->keep_alive() && !parser_->ends_with_connection() &&
                          input_.empty() && !saw_foreign_answer_ && stream_->pending_bytes() == 0;
    const Duration kept_for = KeptFor(parser_->headers());
    if (reusable && kept_for > Duration(0)) {
      stream_->SetReading(true);
      pool_->Keep(request_.endpoint, std::move(stream_), kept_for);
    }
    stream_.reset();
    const auto on_end = std::exchange(hooks_, {}).on_end;
    if (on_end) on_end();
  }

  void Fail(CallFailure failure, const std::string& reason) {
    const auto self = shared_from_this();
    ended_ = true;
    timer_.Stop();
    stream_.reset();
    const auto on_failure = std::exchange(hooks_, {}).on_failure;
    if (on_failure) on_failure(failure, reason);
  }

  BackendCallRequest request_;
  BackendCallHooks hooks_;
  std::shared_ptr<ConnectionPool> pool_;
  Clock clock_;
  std::unique_ptr<TcpStream> stream_;
  std::string input_;
  std::optional<ResponseParser> parser_;
  DeadlineTimer timer_;
  Instant started_at_{0};
  Instant last_progress_{0};
  std::int64_t body_bytes_ = 0;
  // Bytes of bodies that aren't this call's, and how many answers were passed over whole.
  std::int64_t foreign_bytes_ = 0;
  int passed_over_ = 0;
  // Whether there was a connection, so that bytes of the request may have been sent.
  bool is_sending_ = false;
  bool is_reading_ = true;
  bool has_headers_ = false;
  bool has_data_ = false;
  bool saw_foreign_answer_ = false;
  bool ended_ = false;
};

class HttpBackendCall : public BackendCall {
 public:
  explicit HttpBackendCall(std::shared_ptr<CallState> state) : state_(std::move(state)) {}
  HttpBackendCall(const HttpBackendCall&) = delete;
  HttpBackendCall& operator=(const HttpBackendCall&) = delete;
  ~HttpBackendCall() override { state_->Cancel(); }

  void SetReading(bool reading) override { state_->SetReading(reading); }
  bool may_have_sent() const override { return state_->may_have_sent(); }

 private:
  std::shared_ptr<CallState> state_;
};

class HttpBackendClient : public BackendClient {
 public:
  explicit HttpBackendClient(AnswerMemory* memory) : answer_memory_(memory) {}

  AnswerMemory* answer_memory() override { return answer_memory_; }

  std::unique_ptr<BackendCall> Start(BackendCallRequest request, BackendCallHooks hooks) override {
    auto state =
        std::make_shared<CallState>(std::move(request), std::move(hooks), pool_, SteadyClock());
    state->Start();
    return std::make_unique<HttpBackendCall>(std::move(state));
  }

 private:
  AnswerMemory* answer_memory_;
  std::shared_ptr<ConnectionPool> pool_ = std::make_shared<ConnectionPool>(SteadyClock());
};

}  // namespace Internal

std::string_view CallFailureName(CallFailure failure) {
  switch (failure) {
    case CallFailure::kNotSent:
      return "not_sent";
    case CallFailure::kBroken:
      return "broken";
    case CallFailure::kSilent:
      return "silent";
  }
  return "broken";
}

BackendCallHooks GatherAnswer(std::function<void(int status, std::string_view body)> on_answer,
                              AnswerMemory* memory) {
  struct Answer {
    int status = 0;
    std::string body;
    std::function<void(int status, std::string_view body)> on_answer;
    std::unique_ptr<AnswerMemory::Account> account;

    // Hands the answer on; does nothing once it was handed on or has failed.
    void End(int final_status, std::string_view final_body) {
      const auto hook = std::exchange(on_answer, nullptr);
      account.reset();
      if (hook) hook(final_status, final_body);
    }
  };
  const auto answer = std::make_shared<Answer>();
  answer->on_answer = std::move(on_answer);
  if (memory) {
    AnswerMemory::Hooks account_hooks;
    account_hooks.kept_bytes = [answer = answer.get()] {
      return static_cast<std::int64_t>(answer->body.capacity());
    };
    account_hooks.drop = [weak = std::weak_ptr(answer)] {
      const auto dropped = weak.lock();
      if (!dropped) return;
      dropped->body = {};
      dropped->End(0, {});
    };
    answer->account = memory->Open(std::move(account_hooks));
  }
  BackendCallHooks hooks;
  hooks.on_headers = [answer](int status, const HttpHeaders&) { answer->status = status; };
  hooks.on_data = [answer](std::string_view data) {
    // What still comes after a drop is of no use.
    if (!answer->on_answer) return;
    answer->body += data;
    if (answer->account) answer->account->Received(static_cast<std::int64_t>(data.size()));
  };
  hooks.on_end = [answer] { answer->End(answer->status, answer->body); };
  hooks.on_failure = [answer](CallFailure, std::string_view) { answer->End(0, {}); };
  return hooks;
}

std::unique_ptr<BackendCall> StartGathered(
    BackendClient& client, BackendCallRequest request, const GatherLimits& limits,
    std::function<void(int status, std::string_view body)> on_answer) {
  request.max_time = limits.time;
  request.max_body_bytes = limits.body_bytes;
  return client.Start(std::move(request),
                      GatherAnswer(std::move(on_answer), client.answer_memory()));
}

void DestroyLater(std::unique_ptr<BackendCall> call) {
  QTimer::singleShot(0, [shared = std::shared_ptr<BackendCall>(std::move(call))] {});
}

std::unique_ptr<BackendClient> MakeHttpBackendClient(AnswerMemory* memory) {
  return std::make_unique<Internal::HttpBackendClient>(memory);
}

}  // namespace kumquat

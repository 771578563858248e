#include "caller.h"

#include <QTimer>
#include <utility>

#include "protocol/json_fields.h"
#include "utils/log.h"

namespace kumquat {
namespace {

// The number of the booking among the exchanges.
constexpr std::int64_t kBooking = -1;
constexpr int kStatusOk = 200;
constexpr int kStatusCreated = 201;

// Returns a text of this length that is the same for each request of an organisation.
std::string SharedPrefix(const std::string& key, std::int64_t bytes) {
  std::string text;
  for (std::int64_t line = 0; static_cast<std::int64_t>(text.size()) < bytes; ++line) {
    text += "Item " + std::to_string(line) + " of the catalogue of " + key + ".\n";
  }
  return text;
}

}  // namespace

Caller::Caller(CallerOptions options, Clock clock)
    : options_(std::move(options)), clock_(std::move(clock)), client_(MakeHttpBackendClient()) {}

void Caller::Start(std::function<void(const CallerReport&)> on_done) {
  on_done_ = std::move(on_done);
  if (options_.books) StartBooking();
  StartMore();
}

void Caller::StartMore() {
  while (next_ < options_.requests &&
         static_cast<std::int64_t>(exchanges_.size()) < options_.concurrency) {
    StartChat(next_++);
  }
  if (exchanges_.empty() && on_done_) std::exchange(on_done_, nullptr)(report_);
}

BackendCallRequest Caller::RequestTo(std::int64_t number, std::string target,
                                     std::string body) const {
  const auto turn = static_cast<std::size_t>(number - kBooking);
  BackendCallRequest request;
  request.endpoint = options_.routers[turn % options_.routers.size()];
  request.target = std::move(target);
  request.headers = {{"Content-Type", "application/json"},
                     {"Authorization", "Bearer " + options_.keys[turn % options_.keys.size()]}};
  request.body = std::move(body);
  request.timeouts = {std::chrono::seconds(2), std::chrono::seconds(30), std::chrono::seconds(10)};
  return request;
}

void Caller::StartChat(std::int64_t number) {
  const auto turn = static_cast<std::size_t>(number - kBooking);
  const std::string& key = options_.keys[turn % options_.keys.size()];
  const QJsonArray messages = {
      QJsonObject{{"role", "system"},
                  {"content", ToQString(SharedPrefix(key, options_.shared_prefix_bytes))}},
      QJsonObject{{"role", "user"}, {"content", ToQString("Question " + std::to_string(number))}}};
  const QJsonObject body{{"model", ToQString(options_.model)},
                         {"messages", messages},
                         {"max_tokens", static_cast<qint64>(options_.max_tokens)},
                         {"stream", true}};
  Exchange& exchange = exchanges_[number];
  exchange.started = clock_();
  ++report_.sent;
  BackendCallHooks hooks;
  hooks.on_headers = [&exchange](int status, const HttpHeaders& /*headers*/) {
    exchange.status = status;
  };
  hooks.on_data = [this, &exchange](std::string_view data) {
    exchange.check.Feed(data);
    if (exchange.has_token || exchange.check.tokens() == 0) return;
    exchange.has_token = true;
    report_.first_token.push_back(clock_() - exchange.started);
  };
  hooks.on_end = [this, number] { End(number, ""); };
  hooks.on_failure = [this, number](CallFailure /*failure*/, std::string_view reason) {
    End(number, std::string(reason));
  };
  exchange.call =
      client_->Start(RequestTo(number, "/v1/chat/completions", ToJsonText(body)), std::move(hooks));
}

void Caller::StartBooking() {
  Exchange& exchange = exchanges_[kBooking];
  exchange.started = clock_();
  ++report_.sent;
  BackendCallRequest request = RequestTo(kBooking, "/services/bookings/book", "{\"bay\": 4}");
  request.headers.emplace_back("Idempotency-Key", "booking-" + std::to_string(clock_().count()));
  BackendCallHooks hooks;
  hooks.on_headers = [&exchange](int status, const HttpHeaders& /*headers*/) {
    exchange.status = status;
  };
  hooks.on_end = [this] { End(kBooking, ""); };
  hooks.on_failure = [this](CallFailure /*failure*/, std::string_view reason) {
    End(kBooking, std::string(reason));
  };
  exchange.call = client_->Start(std::move(request), std::move(hooks));
}

void Caller::End(std::int64_t number, const std::string& failure) {
  Exchange& exchange = exchanges_[number];
  std::string problem = failure;
  if (problem.empty() && exchange.status != kStatusOk && exchange.status != kStatusCreated) {
    problem = "The status is " + std::to_string(exchange.status) + ".";
  }
  if (problem.empty() && number != kBooking) {
    problem = exchange.check.Problem(options_.max_tokens).value_or("");
  }
  if (problem.empty()) {
    ++report_.complete;
    report_.prompt_tokens += exchange.check.prompt_tokens();
    report_.cached_tokens += exchange.check.cached_tokens();
  } else {
    LogEvent(LogLevel::kError, "answer_incomplete", {{"number", number}, {"problem", problem}});
  }
  // Deferred, since the call's own hook is running.
  QTimer::singleShot(0, [this, number] {
    exchanges_.erase(number);
    StartMore();
  });
}

}  // namespace kumquat

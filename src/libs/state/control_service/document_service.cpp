#include "state/control_service/document_service.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "protocol/control_messages.h"
#include "protocol/json_fields.h"

namespace kumquat {
namespace {

// Operators give a replica a second, and go to the next one after that.
constexpr Duration kPatience = std::chrono::milliseconds(900);
constexpr Duration kRetryInterval = std::chrono::milliseconds(60);

}  // namespace

DocumentService::DocumentService(DocumentServiceHooks hooks, const ControlState* state)
    : hooks_(std::move(hooks)), state_(state) {}

void DocumentService::Put(const Document& document, std::function<void(bool taken)> done) {
  CallLeader(control_method::kPutDocument, ToJson(document),
             [done = std::move(done)](const std::optional<QJsonObject>& result) {
               done(result.has_value());
             });
}

void DocumentService::Record(const Departure& departure, std::function<void(bool recorded)> done) {
  // Servers announce many times that they drain.
  if (state_->departures().HasLeft(departure.backend_id, departure.incarnation)) return done(true);
  CallLeader(control_method::kRecordDeparture, ToJson(departure),
             [done = std::move(done)](const std::optional<QJsonObject>& result) {
               done(result.has_value());
             });
}

void DocumentService::Read(std::string_view name, OnRead done) {
  const Instant deadline = hooks_.clock() + kPatience;
  CallLeader(control_method::kConfirm, {},
             [this, name = std::string(name), deadline,
              done = std::move(done)](const std::optional<QJsonObject>& result) {
               if (!result) return done(false, std::nullopt);
               const auto index =
                   static_cast<std::uint64_t>(result->value(QLatin1String("index")).toInteger());
               readings_.push_back({name, index, deadline, done});
               AnswerReads();
             });
}

void DocumentService::CallLeader(
    std::string_view method, const QJsonObject& params,
    std::function<void(const std::optional<QJsonObject>& result)> done) {
  Call call;
  call.number = ++last_number_;
  call.method = method;
  call.params = params;
  call.deadline = hooks_.clock() + kPatience;
  call.done = std::move(done);
  calls_.push_back(std::move(call));
  Ask(last_number_);
}

void DocumentService::Ask(std::int64_t number) {
  const auto call = std::find_if(calls_.begin(), calls_.end(),
                                 [number](const Call& one) { return one.number == number; });
  if (call == calls_.end()) return;
  call->retry_at.reset();
  hooks_.call_leader(
      call->method, call->params,
      [this, number](const std::optional<QJsonObject>& result) { HandleResult(number, result); });
}

void DocumentService::HandleResult(std::int64_t number, const std::optional<QJsonObject>& result) {
  const auto call = std::find_if(calls_.begin(), calls_.end(),
                                 [number](const Call& one) { return one.number == number; });
  if (call == calls_.end()) return;
  const bool is_refused = !result || result->contains(QLatin1String("error"));
  if (is_refused) {
    call->retry_at = hooks_.clock() + kRetryInterval;
    return;
  }
  const auto done = std::move(call->done);
  calls_.erase(call);
  done(result);
}

void DocumentService::Tick() {
  const Instant now = hooks_.clock();
  std::vector<std::int64_t> due;
  std::vector<Call> overdue;
  for (auto call = calls_.begin(); call != calls_.end();) {
    if (now >= call->deadline) {
      overdue.push_back(std::move(*call));
      call = calls_.erase(call);
      continue;
    }
    if (call->retry_at && now >= *call->retry_at) due.push_back(call->number);
    ++call;
  }
  for (const Call& call : overdue) call.done(std::nullopt);
  for (const std::int64_t number : due) Ask(number);
  AnswerReads();
}

void DocumentService::AnswerReads() {
  const Instant now = hooks_.clock();
  const std::uint64_t applied = hooks_.applied_index();
  std::vector<Reading> ended;
  for (auto reading = readings_.begin(); reading != readings_.end();) {
    if (reading->index > applied && now < reading->deadline) {
      ++reading;
      continue;
    }
    ended.push_back(std::move(*reading));
    reading = readings_.erase(reading);
  }
  for (const Reading& reading : ended) {
    const bool is_confirmed = reading.index <= applied;
    const Document* document = state_->documents().Find(reading.name);
    reading.done(is_confirmed, is_confirmed && document ? std::optional(*document) : std::nullopt);
  }
}

}  // namespace kumquat

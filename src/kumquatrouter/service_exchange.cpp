#include "service_exchange.h"

#include <fmt/format.h>

#include <QCryptographicHash>
#include <algorithm>
#include <array>
#include <utility>

#include "control_client.h"
#include "coordination/admission/retry_budget.h"
#include "coordination/membership/member_table.h"
#include "crash_exchange.h"
#include "membership_service.h"
#include "protocol/control_messages.h"
#include "router_settings.h"
#include "utils/deadline_timer.h"
#include "utils/durations.h"
#include "utils/histogram.h"
#include "utils/log.h"

namespace kumquat {
namespace {

constexpr Duration kClaimPatience = std::chrono::milliseconds(2500);
constexpr Duration kFinishPatience = std::chrono::seconds(60);
constexpr Duration kHedgeAfter = std::chrono::seconds(1);
constexpr std::int64_t kTokensOfCall = 0;
constexpr int kFirstError = 400;
constexpr std::size_t kMaxAnswerBytes = 16 * 1024 * 1024;

std::string ContentDigest(const HttpRequest& request) {
  QCryptographicHash hash(QCryptographicHash::Blake2b_256);
  for (const std::string* part : {&request.method, &request.path, &request.query, &request.body}) {
    hash.addData(QByteArray::number(static_cast<qulonglong>(part->size())) + ':');
    hash.addData(QByteArray::fromStdString(*part));
  }
  return hash.result().toHex().toStdString();
}

// Whether a header field of the caller goes on to the service: all but the caller's key and what
// belongs to one connection (RFC 9110, section 7.6.1).
bool IsPassedOn(const std::string& name) {
  constexpr std::array kWithheld = {"authorization", "connection", "content-length",
                                    "host",          "keep-alive", "te",
                                    "trailer",       "upgrade",    "transfer-encoding",
                                    "x-request-id",  "expect",     "x-organisation"};
  const QString lower = QString::fromStdString(name).toLower();
  return std::none_of(kWithheld.begin(), kWithheld.end(),
                      [&](const char* withheld) { return lower == QLatin1String(withheld); });
}

}  // namespace

ServiceExchange::ServiceExchange(const RouterServices& services, ServiceDirectory* directory,
                                 ExchangeStart start, HttpRequest request, ServiceTarget target)
    : services_(services),
      directory_(directory),
      start_(std::move(start)),
      request_(std::move(request)),
      target_(std::move(target)),
      ticket_(services_, start_.organisation, kTokensOfCall) {}

ServiceExchange::~ServiceExchange() = default;

void ServiceExchange::Start(std::function<void()> on_done) {
  on_done_ = std::move(on_done);
  const auto self = shared_from_this();
  answer_account_ =
      services_.answer_memory->Open({[this] { return kept_bytes(); }, [this] { DropAnswers(); }});
  start_.responder->OnClosed([weak = weak_from_this()] {
    const auto exchange = weak.lock();
    if (!exchange || !exchange->decisions_ || exchange->is_answered_) return;
    exchange->Execute(exchange->decisions_->OnCallerGone(exchange->services_.clock()));
  });
  ticket_.Acquire(
      services_.clock() + kShareWait, [this] { Run(); },
      [this](const Error& refusal) { Execute(service_command::Refuse{refusal}); });
}

ServiceCallOptions ServiceExchange::OptionsFor() const {
  ServiceCallOptions options;
  options.request_id = start_.request_id;
  options.repeatable = target_.repeatable;
  options.deadline = start_.deadline;
  options.hedge_after = kHedgeAfter;
  const std::string_view key = request_.Header("Idempotency-Key");
  if (target_.repeatable || key.empty()) return options;
  ClaimRequest claim;
  claim.id.organisation = start_.organisation;
  claim.id.idempotency_key = key;
  claim.id.claimant = fmt::format("{}-{}-{:016x}", services_.settings->instance,
                                  services_.router_incarnation, services_.random());
  claim.digest = ContentDigest(request_);
  claim.router_id = services_.settings->instance;
  claim.router_incarnation = services_.router_incarnation;
  options.claim = claim;
  return options;
}

const std::vector<Suspect>& ServiceExchange::Suspects() {
  if (!suspects_) {
    suspects_ = {{start_.organisation + '/' + target_.service + '/' + ContentDigest(request_),
                  kRequestDepth}};
  }
  return *suspects_;
}

bool ServiceExchange::IsCondemned() {
  const CrashWatch& watch = services_.crashes->watch();
  return watch.has_accused() && watch.IsCondemned(Suspects());
}

// While a call may crash its server, it is refused as not run, but for the one that is to show it.
std::optional<BackendChoice> ServiceExchange::Choose(std::span<const BackendChoice> avoid) {
  CrashWatch& watch = services_.crashes->watch();
  const SuspectVerdict verdict = watch.has_accused()
                                     ? watch.Judge(Suspects(), directory_->CountUp(target_))
                                     : SuspectVerdict::kFree;
  is_trial_ = verdict == SuspectVerdict::kTrial;
  if (verdict != SuspectVerdict::kFree && !is_trial_) return std::nullopt;
  return directory_->Choose(target_, avoid);
}

void ServiceExchange::Run() {
  ServiceCallHooks hooks;
  hooks.choose_backend = [this](std::span<const BackendChoice> avoid) { return Choose(avoid); };
  hooks.is_condemned = [this] { return IsCondemned(); };
  hooks.try_retry = [this](int retries_before, Instant now, Instant deadline) {
    return services_.retry_budget->TryRetry(retries_before, now, deadline);
  };
  decisions_.emplace(OptionsFor(), std::move(hooks));
  Execute(decisions_->Start(services_.clock()));
}

void ServiceExchange::Execute(const ServiceCommands& commands) {
  for (const ServiceCommand& command : commands) {
    std::visit([this](const auto& typed) { Execute(typed); }, command);
  }
  CheckDone();
}

void ServiceExchange::Execute(const service_command::BeginClaim& command) {
  services_.control->Call(control_method::kBeginClaim, ToJson(command.request), kClaimPatience,
                          [self = shared_from_this()](const std::optional<QJsonObject>& result) {
                            std::string reason;
                            const auto answer =
                                result ? ParseClaimAnswer(*result, &reason) : std::nullopt;
                            const Instant now = self->services_.clock();
                            self->Execute(answer ? self->decisions_->OnClaim(*answer, now)
                                                 : self->decisions_->OnClaimFailed(now));
                          });
}

void ServiceExchange::Execute(const service_command::FinishClaim& command) {
  services_.control->Call(control_method::kFinishClaim, ToJson(command.finish), kFinishPatience,
                          [](const std::optional<QJsonObject>& /*result*/) {});
}

void ServiceExchange::Execute(const service_command::ReleaseClaim& command) {
  services_.control->Call(control_method::kReleaseClaim, ToJson(command.id), kFinishPatience,
                          [](const std::optional<QJsonObject>& /*result*/) {});
}

void ServiceExchange::Execute(const service_command::StartAttempt& command) {
  Attempt& attempt = attempts_[command.attempt_id];
  attempt.backend = command.backend;
  attempt.sent_at = services_.clock();
  if (std::exchange(is_trial_, false)) {
    attempt.trial =
        services_.crashes->watch().BeginTrial(Suspects(), start_.request_id, command.backend);
  }
  directory_->Started(command.backend.backend_id);
  attempt.call = services_.client->Start(CallFor(command), HooksFor(command.attempt_id));
}

void ServiceExchange::Execute(const service_command::CancelAttempt& command) {
  const auto attempt = TakeAttempt(command.attempt_id);
  const bool has_failed = attempt && attempt->answer.status >= kFirstError;
  if (attempt && attempt->trial) services_.crashes->watch().EndTrial(*attempt->trial);
  if (!attempt || has_failed || !attempt->may_run) return;
  services_.crashes->watch().OnRunAbandoned(
      attempt->backend,
      {start_.request_id, Suspects(), services_.clock(), false, attempt->sent_at, attempt->trial},
      start_.deadline);
}

void ServiceExchange::Execute(const service_command::Answer& command) {
  if (is_answered_) return;
  start_.responder->Send(
      static_cast<int>(command.answer.status),
      {{"Content-Type", command.answer.content_type}, {"X-Request-Id", start_.request_id}},
      command.answer.body);
  Answered("complete");
}

void ServiceExchange::Execute(const service_command::Refuse& command) {
  if (is_answered_) return;
  SendError(*start_.responder, start_.request_id, command.error);
  Answered(AnswerFor(command.error.kind).name);
}

void ServiceExchange::Execute(const service_command::WakeAt& command) {
  RunAt(command.moment, services_.clock, [weak = weak_from_this()] {
    const auto exchange = weak.lock();
    if (exchange) exchange->Execute(exchange->decisions_->OnWake(exchange->services_.clock()));
  });
}

void ServiceExchange::Execute(const service_command::RecordSuccess& /*command*/) {
  services_.retry_budget->OnSuccess();
}

BackendCallRequest ServiceExchange::CallFor(const service_command::StartAttempt& command) const {
  const RouterSettings& settings = *services_.settings;
  BackendCallRequest call;
  if (const Member* member = services_.membership->table().Find(command.backend.backend_id)) {
    call.endpoint = member->record.endpoint;
  }
  call.method = request_.method;
  call.target = request_.query.empty() ? target_.path : target_.path + "?" + request_.query;
  call.headers = {{"X-Request-Id", start_.request_id}, {"X-Organisation", start_.organisation}};
  for (const auto& [name, value] : request_.headers) {
    if (IsPassedOn(name)) call.headers.emplace_back(name, value);
  }
  call.body = request_.body;
  call.timeouts = {settings.connect_timeout, settings.service_timeout,
                   settings.between_bytes_timeout};
  call.new_connection = command.new_connection;
  return call;
}

BackendCallHooks ServiceExchange::HooksFor(const std::string& attempt_id) {
  const auto weak = weak_from_this();
  BackendCallHooks hooks;
  hooks.on_headers = [weak, attempt_id](int status, const HttpHeaders& headers) {
    const auto exchange = weak.lock();
    if (!exchange || exchange->attempts_.count(attempt_id) == 0) return;
    Attempt& attempt = exchange->attempts_[attempt_id];
    attempt.answer.status = status;
    attempt.answer.content_type = HeaderValue(headers, "Content-Type");
    exchange->services_.membership->ConnectionSucceeded(attempt.backend.backend_id,
                                                        attempt.backend.incarnation);
    exchange->services_.crashes->watch().OnAnswering(attempt.backend);
  };
  hooks.on_data = [weak, attempt_id](std::string_view data) {
    const auto exchange = weak.lock();
    if (!exchange || exchange->attempts_.count(attempt_id) == 0) return;
    exchange->answer_account_->Received(static_cast<std::int64_t>(data.size()));
    std::string& body = exchange->attempts_[attempt_id].answer.body;
    body += data;
    if (body.size() > kMaxAnswerBytes) exchange->OnCallFailed(attempt_id, CallFailure::kBroken);
  };
  hooks.on_end = [weak, attempt_id] {
    const auto exchange = weak.lock();
    if (!exchange) return;
    const auto attempt = exchange->TakeAttempt(attempt_id);
    if (!attempt) return;
    CrashWatch& watch = exchange->services_.crashes->watch();
    // An error may be answered without running the call.
    const bool has_run = attempt->answer.status < kFirstError;
    if (has_run && watch.has_suspects()) watch.OnBeginningSurvived(exchange->Suspects());
    if (attempt->trial) watch.EndTrial(*attempt->trial);
    exchange->Execute(
        exchange->decisions_->OnAnswer(attempt_id, attempt->answer, exchange->services_.clock()));
  };
  hooks.on_failure = [weak, attempt_id](CallFailure failure, std::string_view /*reason*/) {
    if (const auto exchange = weak.lock()) exchange->OnCallFailed(attempt_id, failure);
  };
  return hooks;
}

std::int64_t ServiceExchange::kept_bytes() const {
  std::int64_t bytes = 0;
  for (const auto& [id, attempt] : attempts_) {
    bytes += static_cast<std::int64_t>(attempt.answer.body.capacity());
  }
  return bytes;
}

void ServiceExchange::DropAnswers() {
  const auto self = shared_from_this();
  std::vector<std::string> ids;
  for (const auto& [id, attempt] : attempts_) {
    if (!attempt.answer.body.empty()) ids.push_back(id);
  }
  for (const std::string& id : ids) OnCallFailed(id, CallFailure::kBroken);
}

void ServiceExchange::OnCallFailed(const std::string& attempt_id, CallFailure failure) {
  const auto attempt = TakeAttempt(attempt_id);
  if (!attempt) return;
  const BackendChoice& backend = attempt->backend;
  CrashWatch& watch = services_.crashes->watch();
  if (failure == CallFailure::kNotSent) {
    services_.membership->ConnectionFailed(backend.backend_id, backend.incarnation, false);
    if (attempt->trial) watch.WithdrawTrial(*attempt->trial);
  } else {
    services_.membership->ProbeBackend(backend.backend_id);
    LostRun run{start_.request_id, Suspects(), services_.clock()};
    run.trial = attempt->trial;
    watch.OnRunLost(backend, std::move(run));
  }
  Execute(decisions_->OnFailure(attempt_id, failure, services_.clock()));
}

std::optional<ServiceExchange::Attempt> ServiceExchange::TakeAttempt(
    const std::string& attempt_id) {
  const auto entry = attempts_.find(attempt_id);
  if (entry == attempts_.end()) return std::nullopt;
  Attempt attempt = std::move(entry->second);
  attempts_.erase(entry);
  attempt.may_run = attempt.call && attempt.call->may_have_sent();
  directory_->Stopped(attempt.backend.backend_id);
  DestroyLater(std::move(attempt.call));
  return attempt;
}

void ServiceExchange::Answered(std::string_view outcome) {
  is_answered_ = true;
  const double seconds = Seconds(services_.clock() - start_.received);
  const std::string labels =
      fmt::format("organisation=\"{}\",class=\"service\"", start_.organisation);
  services_.metrics->Observe("kumquat_service_seconds", labels, seconds);
  services_.metrics->Count("kumquat_requests_total",
                           fmt::format("{},outcome=\"{}\"", labels, outcome));
  LogEvent(LogLevel::kInfo, "request_done",
           {{"request", start_.request_id},
            {"organisation", start_.organisation},
            {"service", target_.service},
            {"outcome", outcome},
            {"seconds", seconds}});
  if (!decisions_) CheckDone();
}

void ServiceExchange::CheckDone() {
  const bool is_over = !decisions_ || decisions_->done();
  if (!is_over || !on_done_) return;
  std::exchange(on_done_, nullptr)();
}

}  // namespace kumquat

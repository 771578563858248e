#include "chat_exchange.h"

#include <fmt/format.h>

#include <QCryptographicHash>
#include <QTimer>
#include <algorithm>
#include <utility>

#include "control_client.h"
#include "coordination/admission/retry_budget.h"
#include "coordination/membership/member_table.h"
#include "crash_exchange.h"
#include "index_service.h"
#include "membership_service.h"
#include "model_queues.h"
#include "protocol/json_fields.h"
#include "router_settings.h"
#include "strike_exchange.h"
#include "utils/deadline_timer.h"
#include "utils/durations.h"
#include "utils/histogram.h"
#include "utils/log.h"

namespace kumquat {
namespace {

// Longest wait for an engine that has the model: one may be loading it, or starting again.
constexpr Duration kEngineWait = std::chrono::seconds(2);
// Longest wait for an engine's life sign; an engine of the same region answers within milliseconds.
constexpr Duration kLifeSignTimeout = std::chrono::milliseconds(500);
constexpr GatherLimits kLifeSignLimits{2 * kLifeSignTimeout, 64 * 1024};
// How long a broken stream may take to hand its error event to the caller.
constexpr std::chrono::milliseconds kErrorFlushTime{500};
// For how long a chat waits for a trial of its suspects. With one engine left that takes some
// seconds.
constexpr Duration kLongestHold = std::chrono::seconds(5);
// Pieces of one prompt that are watched for crashes, from its beginning.
constexpr std::size_t kMaxPartSuspects = 32;
// Tokens that show that the beginning of an answer crashes no engine. One doesn't, as an engine may
// still write it while it crashes.
constexpr std::int64_t kTokensPastBeginning = 2;

// Strong hash of the organisation and the whole request, by which routers know it again.
std::string DigestOf(const std::string& organisation, const QJsonObject& body) {
  QCryptographicHash hash(QCryptographicHash::Blake2b_256);
  hash.addData(QByteArray::fromStdString(organisation));
  hash.addData(QByteArray(1, '\0'));
  hash.addData(QByteArray::fromStdString(ToJsonText(body)));
  return hash.result().toHex().toStdString();
}

// Returns whether an engine's report of its load comes from this incarnation.
bool IsLifeSignOf(std::int64_t incarnation, std::string_view report) {
  const auto json = ParseJsonObject(report);
  return json && json->value(QLatin1String("incarnation")).toInteger(incarnation) == incarnation;
}

}  // namespace

ChatExchange::ChatExchange(const RouterServices& services, ExchangeStart start, ChatRequest request,
                           EngineDemand demand)
    : services_(services),
      start_(std::move(start)),
      request_(std::move(request)),
      demand_(std::move(demand)),
      digest_(DigestOf(start_.organisation, request_.body)),
      ticket_(services_, start_.organisation, demand_.prefix.prompt_tokens + request_.max_tokens) {}

ChatExchange::~ChatExchange() = default;

void ChatExchange::Start(std::function<void()> on_done) {
  on_done_ = std::move(on_done);
  answer_account_ =
      services_.answer_memory->Open({[this] { return kept_bytes(); }, [this] { DropAnswer(); }});
  const auto self = shared_from_this();
  start_.responder->OnClosed([weak = weak_from_this()] {
    if (const auto exchange = weak.lock()) exchange->OnCallerGone();
  });
  if (IsCondemned()) {
    Refuse({ErrorKind::kPoisonRequest, "", std::nullopt});
    return;
  }
  ticket_.Acquire(
      services_.clock() + kShareWait, [this] { EnterQueue(); },
      [this](const Error& refusal) { Refuse(refusal); });
}

void ChatExchange::EnterQueue() {
  if (is_done_) return;
  QueuedRequest queued;
  queued.organisation = start_.organisation;
  queued.share = start_.share;
  queued.request_class = demand_.request_class;
  queued.start_by = start_.deadline;
  if (!services_.engines->IsServed(demand_.model)) {
    queued.start_by = std::min(start_.deadline, start_.received + kEngineWait);
  }
  const auto weak = weak_from_this();
  ModelQueues::Hooks hooks;
  hooks.on_turn = [weak] {
    if (const auto exchange = weak.lock()) exchange->LookUpPrefix();
  };
  hooks.on_refused = [weak](const Error& refusal) {
    const auto exchange = weak.lock();
    if (!exchange) return;
    const bool is_served = exchange->services_.engines->IsServed(exchange->demand_.model);
    exchange->Refuse(is_served ? refusal : Error{ErrorKind::kNoBackendServer, "", std::nullopt});
  };
  queue_id_ = services_.queues->Enter(demand_.model, queued, std::move(hooks));
}

void ChatExchange::LookUpPrefix() {
  if (is_done_) return;
  services_.index->Lookup(demand_.prefix.blocks,
                          [weak = weak_from_this()](std::vector<EngineBelief> beliefs) {
                            const auto exchange = weak.lock();
                            if (!exchange) return;
                            exchange->demand_.beliefs = std::move(beliefs);
                            exchange->Run();
                          });
}

void ChatExchange::Run() {
  if (is_done_) return;
  running_since_ = services_.clock();
  services_.metrics->Observe("kumquat_queue_seconds", MetricLabels(),
                             Seconds(running_since_ - start_.received));
  StreamRequestOptions options;
  options.request_id = start_.request_id;
  options.deadline = start_.deadline;
  decisions_.emplace(options, DecisionHooks());
  Execute(decisions_->Start(running_since_));
}

StreamRequestHooks ChatExchange::DecisionHooks() {
  StreamRequestHooks hooks;
  hooks.choose_backend = [this](std::span<const BackendChoice> avoid) {
    const auto engines = services_.engines->EnginesFor(demand_.model);
    const auto may_use = [&](const std::string& backend_id) {
      return services_.strikes->MayPlace(digest_, backend_id, engines) &&
             version_.MayRun(SoftwareOf(backend_id));
    };
    if (!PassesSuspects()) return std::optional<BackendChoice>();
    auto backend = services_.engines->Choose(demand_, avoid, may_use);
    is_choice_isolated_ = services_.strikes->StandingOf(digest_) == RequestStanding::kSuspect;
    return backend;
  };
  hooks.is_backend_dead = [this](const BackendChoice& backend) { return IsDead(backend); };
  hooks.try_retry = [this](int retries_before, Instant now, Instant deadline) {
    return services_.retry_budget->TryRetry(retries_before, now, deadline);
  };
  hooks.may_wait_for_backend = [this] { return is_held_ || MayWaitForPlace(); };
  hooks.is_condemned = [this] { return IsCondemned(); };
  return hooks;
}

std::string ChatExchange::SoftwareOf(std::string_view backend_id) const {
  const Member* member = services_.membership->table().Find(backend_id);
  return member && member->record.backend ? member->record.backend->software_version : "";
}

// The request itself has strikes; here are the pieces of its prompt that other requests may share.
const std::vector<Suspect>& ChatExchange::PartSuspects() {
  if (part_suspects_) return *part_suspects_;
  part_suspects_.emplace();
  const std::vector<BlockId>& blocks = demand_.prefix.blocks;
  for (std::size_t i = 0; i < std::min(blocks.size(), kMaxPartSuspects); ++i) {
    part_suspects_->push_back({blocks[i].ToHex(), static_cast<std::int64_t>(i)});
  }
  return *part_suspects_;
}

bool ChatExchange::IsCondemned() {
  if (services_.strikes->StandingOf(digest_) == RequestStanding::kCondemned) return true;
  const CrashWatch& watch = services_.crashes->watch();
  if (!watch.has_accused()) return false;
  const bool is_past_beginning = tokens_sent_ >= kTokensPastBeginning;
  return watch.IsCondemned(RunSuspects()) ||
         (!is_past_beginning && watch.IsCondemned(PartSuspects()));
}

std::vector<Suspect> ChatExchange::SuspectsOfNextSend() {
  std::vector<Suspect> suspects = RunSuspects();
  if (tokens_sent_ >= kTokensPastBeginning) return suspects;
  suspects.insert(suspects.end(), PartSuspects().begin(), PartSuspects().end());
  return suspects;
}

// Returns whether the chat may be sent, by its suspects; sets is_trial_ and is_held_.
bool ChatExchange::PassesSuspects() {
  CrashWatch& watch = services_.crashes->watch();
  const std::size_t engines =
      watch.has_accused() ? services_.engines->EnginesFor(demand_.model).size() : 0;
  const SuspectVerdict verdict =
      watch.has_accused() ? watch.Judge(SuspectsOfNextSend(), engines) : SuspectVerdict::kFree;
  const Instant now = services_.clock();
  is_trial_ = verdict == SuspectVerdict::kTrial;
  if (verdict != SuspectVerdict::kHeld) held_since_.reset();
  if (verdict == SuspectVerdict::kHeld && !held_since_) held_since_ = now;
  // Without an engine there is no trial to wait for.
  is_held_ = held_since_ && engines > 0 && now - *held_since_ < kLongestHold;
  return verdict == SuspectVerdict::kFree || is_trial_;
}

// A suspect asks each engine's owner for the slot, and takes the first that it gets.
bool ChatExchange::MayWaitForPlace() {
  if (services_.strikes->StandingOf(digest_) != RequestStanding::kSuspect) return false;
  return services_.strikes->RequestSlots(digest_, services_.engines->EnginesFor(demand_.model));
}

bool ChatExchange::IsDead(const BackendChoice& backend) const {
  const Member* member = services_.membership->table().Find(backend.backend_id);
  if (!member) return true;
  return member->record.incarnation > backend.incarnation || member->record.down;
}

void ChatExchange::OnBackendDown(const BackendChoice& backend) {
  if (!decisions_ || is_done_) return;
  const auto self = shared_from_this();
  const bool is_here = attempt_ && attempt_->is_open && attempt_->backend == backend;
  if (is_here && !attempt_->is_sent) {
    OnCallFailed(attempt_->id, CallFailure::kNotSent);
    return;
  }
  if (is_here) NoteLoss();
  Execute(decisions_->OnBackendDead(backend, services_.clock()));
}

void ChatExchange::Execute(const StreamCommands& commands) {
  for (const StreamCommand& command : commands) {
    std::visit([this](const auto& typed) { Execute(typed); }, command);
  }
}

void ChatExchange::Execute(const stream_command::StartAttempt& command) {
  EndAttempt(false, 0);
  attempt_.emplace();
  attempt_->id = command.attempt_id;
  attempt_->backend = command.backend;
  attempt_->continues_run = command.resume_offset > 0;
  version_.RunSent(SoftwareOf(command.backend.backend_id));
  if (std::exchange(is_trial_, false)) {
    attempt_->trial = services_.crashes->watch().BeginTrial(SuspectsOfNextSend(), start_.request_id,
                                                            command.backend);
  }
  // An attempt on the same backend server again follows no choice.
  attempt_->is_isolated = std::exchange(is_choice_isolated_, false);
  attempt_->dispatch = services_.engines->Dispatched(demand_, command.backend);
  services_.strikes->OnStarted(digest_, command.backend.backend_id);
  services_.metrics->Count("kumquat_attempts_total", MetricLabels());
  if (attempt_->is_isolated) {
    AskForLifeSign(command);
  } else {
    Send(command);
  }
}

void ChatExchange::Send(const stream_command::StartAttempt& command) {
  attempt_->is_sent = true;
  attempt_->sent_at = services_.clock();
  LogEvent(LogLevel::kInfo, "request_sent",
           {{"request", start_.request_id},
            {"attempt", command.attempt_id},
            {"backend", command.backend.backend_id},
            {"incarnation", command.backend.incarnation},
            {"isolated", attempt_->is_isolated ? "yes" : "no"},
            {"ms", Milliseconds(services_.clock() - start_.received)}});
  attempt_->call = services_.client->Start(CallFor(command), HooksFor(command.attempt_id));
}

// A death counts against a suspect, so its engine has to be known alive right before it runs. One
// that died a moment ago, and whose address still takes connections or is a later incarnation's by
// now, would condemn an innocent.
void ChatExchange::AskForLifeSign(const stream_command::StartAttempt& command) {
  BackendCallRequest request;
  request.endpoint = EndpointOf(command.backend);
  request.method = "GET";
  request.target = "/load";
  request.timeouts = {kLifeSignTimeout, kLifeSignTimeout, kLifeSignTimeout};
  request.new_connection = true;
  const auto on_answer = [weak = weak_from_this(), command](int /*status*/, std::string_view body) {
    const auto exchange = weak.lock();
    if (!exchange || !exchange->IsCurrent(command.attempt_id)) return;
    DestroyLater(std::move(exchange->attempt_->call));
    // A call that failed has no body.
    if (IsLifeSignOf(command.backend.incarnation, body)) {
      exchange->Send(command);
    } else {
      exchange->OnCallFailed(command.attempt_id, CallFailure::kNotSent);
    }
  };
  attempt_->call = StartGathered(*services_.client, request, kLifeSignLimits, on_answer);
}

bool ChatExchange::IsCurrent(const std::string& attempt_id) const {
  return !is_done_ && attempt_ && attempt_->id == attempt_id;
}

Endpoint ChatExchange::EndpointOf(const BackendChoice& backend) const {
  const Member* member = services_.membership->table().Find(backend.backend_id);
  return member ? member->record.endpoint : Endpoint{};
}

BackendCallRequest ChatExchange::CallFor(const stream_command::StartAttempt& command) const {
  EngineRequest engine_request;
  engine_request.request_id = start_.request_id;
  engine_request.attempt_id = command.attempt_id;
  engine_request.model = demand_.model;
  engine_request.incarnation = command.backend.incarnation;
  engine_request.request_class = demand_.request_class;
  engine_request.prefix = NamesOf(demand_.prefix.blocks);
  engine_request.prompt_tokens = demand_.prefix.prompt_tokens;
  engine_request.max_tokens = request_.max_tokens;
  engine_request.resume_offset = command.resume_offset;
  engine_request.resume_text = command.resume_text;
  QJsonObject body = request_.body;
  body["stream"] = true;
  body["kumquat"] = ToJson(engine_request);

  const RouterSettings& settings = *services_.settings;
  BackendCallRequest call;
  call.endpoint = EndpointOf(command.backend);
  call.target = "/v1/chat/completions";
  call.headers = {{"Content-Type", "application/json"}, {"X-Request-Id", start_.request_id}};
  call.body = ToJsonText(body);
  call.timeouts = {settings.connect_timeout, settings.first_byte_timeout,
                   settings.between_bytes_timeout};
  call.new_connection = command.new_connection;
  return call;
}

BackendCallHooks ChatExchange::HooksFor(const std::string& attempt_id) {
  const auto weak = weak_from_this();
  BackendCallHooks hooks;
  hooks.on_headers = [weak, attempt_id](int status, const HttpHeaders& /*headers*/) {
    const auto exchange = weak.lock();
    if (!exchange || !exchange->attempt_ || exchange->attempt_->id != attempt_id) return;
    const BackendChoice backend = exchange->attempt_->backend;
    exchange->services_.membership->ConnectionSucceeded(backend.backend_id, backend.incarnation);
    exchange->services_.crashes->watch().OnAnswering(backend);
    exchange->Execute(
        exchange->decisions_->OnHeaders(attempt_id, status, exchange->services_.clock()));
  };
  hooks.on_data = [weak, attempt_id](std::string_view data) {
    if (const auto exchange = weak.lock()) exchange->OnData(attempt_id, data);
  };
  hooks.on_end = [weak, attempt_id] {
    const auto exchange = weak.lock();
    if (!exchange) return;
    exchange->Execute(
        exchange->decisions_->OnConnectionEnd(attempt_id, exchange->services_.clock()));
  };
  hooks.on_failure = [weak, attempt_id](CallFailure failure, std::string_view /*reason*/) {
    if (const auto exchange = weak.lock()) exchange->OnCallFailed(attempt_id, failure);
  };
  return hooks;
}

void ChatExchange::OnData(const std::string& attempt_id, std::string_view data) {
  if (!IsCurrent(attempt_id)) return;
  answer_account_->Received(static_cast<std::int64_t>(data.size()));
  std::vector<std::string> events;
  attempt_->parser.Feed(data, [&](std::string_view event) { events.emplace_back(event); });
  for (const std::string& text : events) {
    if (!IsCurrent(attempt_id)) return;
    if (text == "[DONE]") continue;
    const auto event = ParseEngineEvent(text);
    if (event && ++attempt_->event_count == kTokensPastBeginning) OnBeginningSurvived();
    const Instant now = services_.clock();
    Execute(event ? decisions_->OnEvent(attempt_id, *event, now)
                  : decisions_->OnMalformedEvent(attempt_id, now));
  }
  if (IsCurrent(attempt_id) && attempt_->parser.overflowed()) {
    Execute(decisions_->OnMalformedEvent(attempt_id, services_.clock()));
  }
}

std::int64_t ChatExchange::kept_bytes() const {
  const std::int64_t unfinished = attempt_ ? attempt_->parser.kept_bytes() : 0;
  return unfinished + static_cast<std::int64_t>(text_.capacity());
}

void ChatExchange::DropAnswer() {
  if (is_done_ || !attempt_) return;
  const auto self = shared_from_this();
  // Another attempt would add to the text of a whole answer.
  if (!text_.empty()) return Refuse({ErrorKind::kBackendServerFailed, "", std::nullopt});
  Execute(decisions_->OnMalformedEvent(attempt_->id, services_.clock()));
}

void ChatExchange::OnCallFailed(const std::string& attempt_id, CallFailure failure) {
  if (is_done_) return;
  LogEvent(LogLevel::kInfo, "attempt_failed",
           {{"request", start_.request_id},
            {"attempt", attempt_id},
            {"failure", CallFailureName(failure)},
            {"tokens", tokens_sent_},
            {"ms", Milliseconds(services_.clock() - start_.received)}});
  services_.metrics->Count("kumquat_attempt_failures_total",
                           fmt::format("failure=\"{}\"", CallFailureName(failure)));
  if (IsCurrent(attempt_id) && failure == CallFailure::kNotSent) {
    const BackendChoice backend = attempt_->backend;
    services_.membership->ConnectionFailed(backend.backend_id, backend.incarnation, false);
  }
  if (IsCurrent(attempt_id) && failure != CallFailure::kNotSent) NoteLoss();
  if (IsCurrent(attempt_id)) attempt_->has_failed = true;
  if (!is_done_) Execute(decisions_->OnFailure(attempt_id, failure, services_.clock()));
}

// A run that goes on elsewhere doesn't begin there, which is when it would crash its engine.
void ChatExchange::OnBeginningSurvived() {
  CrashWatch& watch = services_.crashes->watch();
  if (attempt_->continues_run || !watch.has_suspects()) return;
  watch.OnBeginningSurvived(PartSuspects());
  if (attempt_->trial && !watch.IsAccused(RunSuspects())) EndTrial();
}

void ChatExchange::EndTrial() {
  if (!attempt_->trial) return;
  services_.crashes->watch().EndTrial(*std::exchange(attempt_->trial, std::nullopt));
}

// A strike on this backend server may follow later; how the run was lost counts then.
void ChatExchange::NoteLoss() {
  attempt_->has_failed = true;
  if (attempt_->event_count < kTokensPastBeginning) {
    LostRun run{start_.request_id, PartSuspects(), services_.clock()};
    // The outcome is known once it is known whether the engine crashed.
    run.trial = std::exchange(attempt_->trial, std::nullopt);
    services_.crashes->watch().OnRunLost(attempt_->backend, std::move(run));
  }
  losses_.push_back({attempt_->backend.backend_id, attempt_->backend.incarnation,
                     attempt_->is_isolated, attempt_->event_count > 0});
}

// Strikes need an exchange that sees the death of its engine, and this one may end before. The
// engine may go on with the run for a while, and die by it.
void ChatExchange::NoteAbandoned() {
  const bool may_run = attempt_->is_sent && !attempt_->has_failed && attempt_->call &&
                       attempt_->call->may_have_sent();
  if (!may_run) return;
  services_.crashes->watch().OnRunAbandoned(
      attempt_->backend,
      {start_.request_id, RunSuspects(), services_.clock(),
       attempt_->event_count >= kTokensPastBeginning, attempt_->sent_at, attempt_->trial},
      start_.deadline);
}

void ChatExchange::Execute(const stream_command::CancelAttempt& command) {
  if (attempt_ && attempt_->id == command.attempt_id) EndAttempt(false, 0);
}

void ChatExchange::EndAttempt(bool whole, std::int64_t cached_tokens) {
  if (!attempt_ || !attempt_->is_open) return;
  attempt_->is_open = false;
  if (!whole) NoteAbandoned();
  EndTrial();
  if (attempt_->call) DestroyLater(std::move(attempt_->call));
  services_.strikes->OnStopped(digest_, attempt_->backend.backend_id);
  if (whole) {
    services_.engines->Finished(attempt_->dispatch, demand_, cached_tokens);
  } else {
    services_.engines->Failed(attempt_->dispatch, demand_);
  }
  // The place that came free may be taken once this event is through.
  QTimer::singleShot(0, [queues = services_.queues] { queues->Drain(); });
}

void ChatExchange::StartAnswer() {
  if (is_answer_started_) return;
  is_answer_started_ = true;
  if (!request_.stream) return;
  start_.responder->StartStream(200, {{"Content-Type", "text/event-stream"},
                                      {"Cache-Control", "no-store"},
                                      {"X-Request-Id", start_.request_id}});
}

void ChatExchange::NoteTokenTimes() {
  const Instant now = services_.clock();
  if (tokens_sent_ == 0) {
    services_.metrics->Observe("kumquat_first_token_seconds", MetricLabels(),
                               Seconds(now - start_.received));
    if (attempt_) services_.engines->FirstToken(attempt_->dispatch, demand_);
  } else {
    services_.metrics->Observe("kumquat_token_interval_seconds", MetricLabels(),
                               Seconds(now - last_token_at_));
  }
  last_token_at_ = now;
  ++tokens_sent_;
}

void ChatExchange::Execute(const stream_command::EmitText& command) {
  version_.EventPassedOn();
  NoteTokenTimes();
  StartAnswer();
  if (!request_.stream) {
    text_ += command.text;
    return;
  }
  start_.responder->Write(ChatChunk(start_.request_id, request_.model_name, command.text));
  if (start_.responder->pending_bytes() <= services_.settings->max_pending_bytes) return;
  LogEvent(LogLevel::kWarning, "slow_caller_cut", {{"request", start_.request_id}});
  // Deferred, since the decisions are in the middle of their commands.
  QTimer::singleShot(0, [weak = weak_from_this()] {
    const auto exchange = weak.lock();
    if (!exchange || exchange->is_done_) return;
    exchange->start_.responder->Abort();
    exchange->OnCallerGone();
  });
}

void ChatExchange::Execute(const stream_command::EmitEnd& command) {
  const EngineUsage& usage = command.usage;
  const ChatUsage caller_usage{usage.prompt_tokens, usage.cached_tokens, tokens_sent_};
  if (request_.stream) {
    StartAnswer();
    start_.responder->Write(
        ChatEnd(start_.request_id, request_.model_name, command.finish_reason, caller_usage));
    start_.responder->End();
  } else {
    start_.responder->Send(
        200, {{"Content-Type", "application/json"}, {"X-Request-Id", start_.request_id}},
        ChatCompletion(start_.request_id, request_.model_name, text_, command.finish_reason,
                       caller_usage));
  }
  const double prompt = static_cast<double>(std::max<std::int64_t>(1, usage.prompt_tokens));
  services_.metrics->Observe("kumquat_cached_share", MetricLabels(),
                             static_cast<double>(usage.cached_tokens) / prompt);
  services_.metrics->Observe("kumquat_recomputed_tokens", MetricLabels(),
                             static_cast<double>(usage.prompt_tokens - usage.cached_tokens));
  ticket_.Settle(usage.prompt_tokens + tokens_sent_);
  if (attempt_) OnBeginningSurvived();
  CrashWatch& watch = services_.crashes->watch();
  if (watch.has_suspects()) watch.OnRunSurvived(RunSuspects());
  EndAttempt(true, usage.cached_tokens);
  Finish("complete");
}

void ChatExchange::Execute(const stream_command::EmitError& command) {
  if (!request_.stream) {
    Refuse(command.error);
    return;
  }
  EndAttempt(false, 0);
  const auto responder = start_.responder;
  responder->Write("event: error\ndata: " + ErrorBody(command.error) + "\n\n");
  // The transfer is left incomplete, so that nobody takes this for the end of the answer.
  QTimer::singleShot(kErrorFlushTime, [responder] { responder->Abort(); });
  Finish(AnswerFor(command.error.kind).name);
}

void ChatExchange::Execute(const stream_command::Refuse& command) { Refuse(command.error); }

void ChatExchange::Execute(const stream_command::WakeAt& command) {
  RunAt(command.moment, services_.clock, [weak = weak_from_this()] {
    const auto exchange = weak.lock();
    if (!exchange || exchange->is_done_) return;
    exchange->Execute(exchange->decisions_->OnWake(exchange->services_.clock()));
  });
}

void ChatExchange::Execute(const stream_command::RecordStrike& command) {
  const BackendChoice& backend = command.backend;
  if (!services_.membership->IsProvenDead(backend.backend_id, backend.incarnation)) return;
  services_.strikes->AddStrike(
      digest_, start_.request_id,
      StrikeFromLostRuns(backend.backend_id, backend.incarnation, losses_));
}

void ChatExchange::Execute(const stream_command::RecordSuccess& /*command*/) {
  services_.retry_budget->OnSuccess();
  services_.strikes->OnSuccess(digest_);
}

void ChatExchange::Execute(const stream_command::ProbeBackend& command) {
  services_.membership->ProbeBackend(command.backend.backend_id);
}

void ChatExchange::OnCallerGone() {
  if (is_done_) return;
  const auto self = shared_from_this();
  if (queue_id_ != 0) services_.queues->Remove(demand_.model, queue_id_);
  if (decisions_) Execute(decisions_->OnCallerGone(services_.clock()));
  EndAttempt(false, 0);
  Finish(AnswerFor(ErrorKind::kCallerGone).name);
}

void ChatExchange::Refuse(const Error& error) {
  if (is_done_) return;
  EndAttempt(false, 0);
  SendError(*start_.responder, start_.request_id, error);
  Finish(AnswerFor(error.kind).name);
}

void ChatExchange::Finish(std::string_view outcome) {
  if (is_done_) return;
  is_done_ = true;
  answer_account_.reset();
  services_.strikes->Abandon(digest_);
  services_.metrics->Count("kumquat_requests_total",
                           fmt::format("{},outcome=\"{}\"", MetricLabels(), outcome));
  LogEvent(LogLevel::kInfo, "request_done",
           {{"request", start_.request_id},
            {"organisation", start_.organisation},
            {"outcome", outcome},
            {"tokens", tokens_sent_},
            {"attempts", decisions_ ? decisions_->attempts() : 0},
            {"seconds", Seconds(services_.clock() - start_.received)}});
  if (on_done_) on_done_();
}

std::string ChatExchange::MetricLabels() const {
  return fmt::format("organisation=\"{}\",class=\"{}\"", start_.organisation,
                     RequestClassName(demand_.request_class));
}

}  // namespace kumquat

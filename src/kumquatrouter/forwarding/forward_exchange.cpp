#include "forwarding/forward_exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include "exchange.h"
#include "utils/durations.h"
#include "utils/log.h"

namespace kumquat {
namespace {

// Within one region a connection is established within milliseconds; a slower server is overloaded
// or gone.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(250);
// Bytes of a non-streamed answer that are buffered. A longer answer is relayed as it arrives, and
// its request can't be repeated from then on.
constexpr std::size_t kMaxBufferedAnswer = 256 * 1024;
// An attempt fails as broken if the parts of its stream without an event id exceed this in total.
// Engines number the events of a stream; only a few bytes, such as comments, carry no event id.
constexpr std::size_t kMaxBytesWithoutId = 64 * 1024;
// Above this many bytes that wait for a slow caller, its backend server isn't read from.
constexpr std::int64_t kMaxPendingBytes = 64 * 1024;
// A request may wait for a backend server for its route's objective divided by this.
constexpr int kQueueTimeDivisor = 2;
// A request may wait for its organisation's quota for the objective divided by this.
constexpr int kQuotaWaitDivisor = 4;
// A trial of a request's suspects takes a quiet second and the time of a prompt. The request waits
// for it so long, but at most for half of its time.
constexpr Duration kLongestHold = std::chrono::milliseconds(1500);
constexpr int kHoldDivisor = 2;
constexpr int kFirstServerError = 500;
constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;

std::string_view PathOf(const HttpRequest& request) {
  return std::string_view{request.target}.substr(0, request.target.find('?'));
}

bool IsSuccess(int status) { return status >= kFirstSuccess && status < kFirstRedirect; }

}  // namespace

ForwardExchange::ForwardExchange(ForwardServices& services, CallerRequest request,
                                 std::shared_ptr<HttpResponder> responder)
    : services_(services),
      request_(std::move(request)),
      responder_(std::move(responder)),
      routes_(services.routes),
      received_(services.clock()),
      cache_scope_(services.random),
      deadline_timer_(services.clock) {}

ForwardExchange::~ForwardExchange() = default;

void ForwardExchange::Start(std::function<void()> on_done) {
  on_done_ = std::move(on_done);
  const auto self = shared_from_this();
  responder_->OnClosed([weak = weak_from_this()] {
    if (const auto exchange = weak.lock()) exchange->OnCallerGone();
  });
  responder_->OnCaughtUp([weak = weak_from_this()] {
    if (const auto exchange = weak.lock()) exchange->PaceReading();
  });
  if (!ResolveRoute()) return;
  deadline_ = received_ + std::min(route_->timeout, request_.time_left.value_or(route_->timeout));
  deadline_timer_.OnReached([weak = weak_from_this()] {
    const auto exchange = weak.lock();
    if (exchange && exchange->decisions_) exchange->decisions_->OnDeadline(exchange->Now());
  });
  deadline_timer_.StartAt(deadline_);
  if (services_.drain &&
      !services_.drain->TakesOn(received_, deadline_ - received_, !route_->may_repeat())) {
    Refuse({ErrorKind::kDraining, services_.admission->RetryAfterElsewhere()});
    return;
  }
  if (TakesUpStream()) return FindOrigin();
  AcquireQuota();
}

bool ForwardExchange::TakesUpStream() const {
  return route_->is_stream && request_.last_event != 0 && request_.names_last_event;
}

void ForwardExchange::FindOrigin() {
  services_.origins->Find(StreamKey(OrganisationName(), request_.resumed_id),
                          [weak = weak_from_this()](const OriginAnswer& answer) {
                            if (const auto exchange = weak.lock()) exchange->OnOriginFound(answer);
                          });
}

void ForwardExchange::OnOriginFound(const OriginAnswer& answer) {
  if (is_done_) return;
  const auto self = shared_from_this();
  const StreamOrigin origin = answer.origin.value_or(StreamOrigin{});
  LogEvent(LogLevel::kInfo, "stream_taken_up",
           {{"request", request_.id},
            {"resumes", request_.resumed_id},
            {"verdict", OriginVerdictName(answer.verdict)},
            {"service", origin.service},
            {"software", origin.software_version},
            {"ms", Milliseconds(Now() - received_)}});
  services_.metrics->Count(
      "kumquat_forward_taken_up_total",
      fmt::format("{},verdict=\"{}\"", RouteLabel(), OriginVerdictName(answer.verdict)));
  if (answer.verdict == OriginVerdict::kUnconfirmed) {
    return Refuse({ErrorKind::kStreamOriginUnknown, services_.admission->RetryAfterElsewhere()});
  }
  if (!answer.origin || !request_.last_event) {
    return Refuse({ErrorKind::kStreamOriginUnknown, std::nullopt});
  }
  if (!RouteIndex::LeadsTo(*route_, origin.service))
    return Refuse({ErrorKind::kStreamVersionGone, std::nullopt});
  if (Now() >= deadline_) return Refuse({ErrorKind::kDeadlineBeforeRun, std::nullopt});
  UseService(origin.service);
  stream_version_.TakeUp(origin.software_version);
  AcquireQuota();
}

void ForwardExchange::UseService(std::string_view service) {
  service_ = routes_->FindService(service);
  engines_.reset();
  if (request_.prompt) {
    engines_.emplace(services_, service_->name, request_.prompt->model, stream_version_);
  }
}

void ForwardExchange::RecordOrigin() const {
  if (!route_->is_resumable) return;
  const std::string& first_id = TakesUpStream() ? request_.resumed_id : request_.id;
  const Duration lifetime = received_ + request_.time_left.value_or(route_->timeout) - Now();
  services_.origins->Note({StreamKey(OrganisationName(), first_id),
                           {service_->name, *stream_version_.required()},
                           lifetime});
}

bool ForwardExchange::IsVersionGone() const {
  const auto& required = stream_version_.required();
  // A router that has just started may know no server yet.
  const bool knows_servers = services_.pool.HasAny(service_->name);
  return required && knows_servers && !services_.pool.HasVersion(service_->name, *required);
}

std::int64_t ForwardExchange::QuotaUnits() const {
  const OrganisationQuota& quota = *organisation_->quota;
  if (!quota.counts_tokens) return 1;
  return std::max<std::int64_t>(1, request_.tokens.value_or(quota.units_without_count));
}

void ForwardExchange::AcquireQuota() {
  if (!organisation_ || !organisation_->quota) return Begin();
  const auto self = shared_from_this();
  const Instant give_up_at = received_ + route_->objective / kQuotaWaitDivisor;
  quota_wait_ =
      services_.quotas->Acquire(organisation_->name, QuotaUnits(), std::min(give_up_at, deadline_),
                                [weak = weak_from_this()](const QuotaDecision& decision) {
                                  if (const auto exchange = weak.lock())
                                    exchange->OnQuotaDecided(decision);
                                });
}

void ForwardExchange::OnQuotaDecided(const QuotaDecision& decision) {
  if (is_done_) return;
  const auto self = shared_from_this();
  quota_wait_ = 0;
  if (decision.is_admitted) {
    quota_units_ = QuotaUnits();
    if (Now() >= deadline_) return Refuse({ErrorKind::kDeadlineBeforeRun, std::nullopt});
    return Begin();
  }
  const auto status = services_.quotas->StatusOf(organisation_->name);
  LogEvent(
      LogLevel::kInfo, "quota_refused",
      {{"request", request_.id},
       {"organisation", organisation_->name},
       {"units", QuotaUnits()},
       {"rate", organisation_->quota->rate_per_second},
       {"burst", organisation_->quota->burst},
       {"version", routes_->table().version},
       {"reserve", status ? status->reserve : 0},
       {"answer_age_ms", status && status->answer_age ? Milliseconds(*status->answer_age) : -1},
       {"waited_ms", Milliseconds(Now() - received_)},
       {"retry_after_ms", Milliseconds(decision.retry_after)}});
  Refuse({ErrorKind::kLimitExceeded, decision.retry_after});
}

void ForwardExchange::Begin() {
  answer_account_ =
      services_.answer_memory->Open({[this] { return kept_bytes(); }, [this] { DropAnswer(); }});
  services_.budget->OnRequest(service_->name);
  decisions_.emplace(Policy(), Hooks());
  // Where others wait, a new request must not be sent before those that come first.
  if (!services_.waited_for.contains(service_->name)) return decisions_->Start(received_);
  decisions_->StartWaiting();
  services_.try_waiting(service_->name);
}

bool ForwardExchange::ResolveRoute() {
  if (!routes_) {
    Refuse({ErrorKind::kConfigurationUnconfirmed, services_.admission->RetryAfterStart()});
    return false;
  }
  route_ = routes_->FindRoute(request_.host, PathOf(request_.http));
  if (!route_) {
    Refuse({ErrorKind::kRouteUnknown, std::nullopt});
    return false;
  }
  organisation_ = routes_->FindOrganisation(request_.key);
  const bool needs_key = !route_->is_public && !routes_->table().organisations.empty();
  if (needs_key && !organisation_) {
    Refuse({ErrorKind::kNotAuthenticated, std::nullopt});
    return false;
  }
  UseService(RouteIndex::PickService(*route_, services_.random));
  return true;
}

const RequestSuspects& ForwardExchange::Suspects() {
  if (!suspects_) suspects_ = SuspectsOf(request_, organisation_ ? organisation_->name : "");
  return *suspects_;
}

bool ForwardExchange::IsCondemned() {
  return services_.crashes->has_accused() && services_.crashes->IsCondemned(Suspects().all);
}

bool ForwardExchange::IsRunCondemned() {
  return services_.crashes->has_accused() && services_.crashes->IsCondemned(Suspects().whole_run());
}

bool ForwardExchange::IsRunAccused() {
  return services_.crashes->has_accused() && services_.crashes->IsAccused(Suspects().whole_run());
}

std::span<const Suspect> ForwardExchange::SuspectsOfNextSend() {
  if (decisions_->is_past_beginning()) return Suspects().whole_run();
  return Suspects().all;
}

bool ForwardExchange::PassesSuspects(std::size_t servers) {
  held_until_.reset();
  is_trial_ = false;
  if (!services_.crashes->has_accused()) return true;
  switch (services_.crashes->Judge(SuspectsOfNextSend(), servers)) {
    case SuspectVerdict::kFree:
      return true;
    case SuspectVerdict::kTrial:
      is_trial_ = true;
      return true;
    case SuspectVerdict::kHeld:
      // A stream that has begun can't be refused any more.
      held_until_ =
          decisions_->is_relaying()
              ? deadline_
              : received_ + std::min(kLongestHold, (deadline_ - received_) / kHoldDivisor);
      return false;
    case SuspectVerdict::kExhausted:
    case SuspectVerdict::kCondemned:
      break;
  }
  // No trial will tell, so it is refused at once.
  held_until_ = received_;
  return false;
}

ForwardPolicy ForwardExchange::Policy() const {
  ForwardPolicy policy;
  policy.may_repeat = route_->repeat_rule == RepeatRule::kRepeatable;
  policy.is_stream = route_->is_stream;
  policy.is_resumable = route_->is_resumable;
  policy.attempts = route_->attempts;
  policy.deadline = deadline_;
  policy.caller_last_event = request_.last_event.value_or(0);
  policy.queue_until = received_ + route_->objective / kQueueTimeDivisor;
  return policy;
}

ForwardHooks ForwardExchange::Hooks() {
  ForwardHooks hooks;
  hooks.choose = [this](std::span<const BackendChoice> avoid) { return Choose(avoid); };
  hooks.is_hopeless = [this] { return IsHopeless(); };
  hooks.held_until = [this] { return held_until_; };
  hooks.is_version_gone = [this] { return IsVersionGone(); };
  hooks.is_condemned = [this] { return IsCondemned(); };
  hooks.is_run_condemned = [this] { return IsRunCondemned(); };
  hooks.try_repeat = [this] { return TryRepeat(); };
  hooks.try_optional_repeats = [this](int count) {
    return services_.budget->TryOptionalRepeats(service_->name, count);
  };
  hooks.return_repeat = [this] { services_.budget->ReturnRepeat(service_->name); };
  hooks.send = [this](const SendCommand& command) { Send(command); };
  hooks.find_copy = [this] { return TakeCopy(); };
  hooks.choose_to_resume = [this](std::span<const BackendChoice> avoid) {
    return engines_->ChooseToResume(avoid, run_weights_, moved_from_);
  };
  hooks.cancel = [this](std::int64_t /*number*/) { AbandonAttempt(); };
  hooks.relay_head = [this](std::int64_t /*number*/) {
    RelayHead();
    if (!attempt_->is_event_stream) return;
    stream_version_.EventPassedOn();
    RecordOrigin();
  };
  hooks.relay_event = [this](std::string_view event) { responder_->Write(event); };
  hooks.relay_end = [this] {
    responder_->End();
    Finish("complete");
  };
  hooks.relay_whole = [this](std::int64_t /*number*/) { RelayBufferedAnswer(); };
  hooks.refuse = [this](const Refusal& refusal) { Refuse(refusal); };
  hooks.cut = [this] {
    services_.metrics->Count(
        "kumquat_forward_cut_total",
        fmt::format("{},reason=\"{}\"", RouteLabel(), EndReasonName(decisions_->end_reason())));
    responder_->Abort();
    Finish("cut");
  };
  hooks.retry_after = [this] { return RetryAfter(); };
  return hooks;
}

bool ForwardExchange::TryRepeat() {
  const double tokens = services_.budget->available(service_->name);
  const bool is_allowed = services_.budget->TryRepeat(service_->name);
  LogEvent(LogLevel::kInfo, "repeat_decided",
           {{"request", request_.id},
            {"service", service_->name},
            {"allowed", is_allowed ? "yes" : "no"},
            {"tokens", tokens},
            {"routers", services_.budget->routers()},
            {"reason", EndReasonName(decisions_->end_reason())}});
  return is_allowed;
}

std::optional<BackendChoice> ForwardExchange::Choose(std::span<const BackendChoice> avoid) {
  next_choice_.reset();
  expected_wait_.reset();
  const auto may_run = [this](const PooledBackend& backend) {
    return stream_version_.MayRun(backend.software_version);
  };
  std::vector<PooledBackend*> candidates =
      services_.pool.Candidates(service_->name, avoid, Now(), may_run);
  if (engines_) candidates = engines_->MayBegin(std::move(candidates));
  if (!PassesSuspects(candidates.size()) || candidates.empty()) return std::nullopt;
  // A trial goes where the fewest other runs may be lost with it.
  if (!request_.prompt || is_trial_) {
    return ChooseLeastBusy(candidates, services_.failure_domain, services_.random)->choice();
  }
  const PromptContext setting = PlacementContext();
  while (!candidates.empty()) {
    next_choice_ = services_.placement->Choose(*request_.prompt, setting, candidates, Now());
    const Duration wait = next_choice_->placement.expected_first_token;
    // Only a request that hasn't run yet may be refused as too late; a stream that has begun
    // continues.
    const bool has_not_run = decisions_->runs() == 0;
    const Duration queue_time = next_choice_->placement.queue_time;
    const Duration own_time = wait - queue_time;
    const Duration begins_after =
        own_time + (setting.is_urgent
                        ? queue_time
                        : ForwardAdmission::OvertakenQueue(
                              queue_time, services_.waiting_order.MoreUrgentShare(Rank(), Now())));
    if (has_not_run &&
        services_.admission->IsTooLate(route_->objective, Now() - received_, begins_after)) {
      expected_wait_ = wait;
      services_.waiting_order.NoteDenied(
          Rank(), OrganisationName(),
          services_.admission->LongestQueue(route_->objective, own_time), Now());
      break;
    }
    if (has_not_run && LeavesRoom(queue_time)) break;
    if (!engines_->BeginsTooLate(*next_choice_->backend, wait))
      return next_choice_->backend->choice();
    std::erase(candidates, next_choice_->backend);
  }
  next_choice_.reset();
  return std::nullopt;
}

bool ForwardExchange::LeavesRoom(Duration queue_time) const {
  if (!services_.waited_for.contains(service_->name)) return false;
  const WaitingOrder& order = services_.waiting_order;
  const auto limit = order.QueueLimit(Rank(), OrganisationName(), Now());
  if (limit && queue_time > *limit) return true;
  return order.IsOverShare(Rank(), OrganisationName(), Now()) &&
         services_.admission->TakesLastRoom(route_->objective, queue_time);
}

bool ForwardExchange::IsHopeless() const {
  return expected_wait_ &&
         ForwardAdmission::IsHopeless(route_->objective, Now() - received_, *expected_wait_);
}

PromptContext ForwardExchange::PlacementContext() const {
  PromptContext context;
  context.cache_scope = CacheScope();
  const auto urgent_rank = routes_->UrgentRank(service_->name);
  context.is_urgent = !urgent_rank || Rank() == *urgent_rank;
  const CacheStore* store = LiveStore();
  if (store) {
    context.store = store->endpoint;
    context.store_domain = store->failure_domain;
  }
  if (!service_->engine) return context;
  const EngineProfile& engine = *service_->engine;
  context.memory_tokens = engine.memory_tokens;
  context.fetch.engine_us_per_token =
      TransferTime(engine.bytes_per_token, engine.link_mbps, context.fetch.engine_us_per_token);
  context.fetch.store_us_per_token = TransferTime(
      engine.bytes_per_token, store ? store->link_mbps : 0, context.fetch.store_us_per_token);
  return context;
}

// Returns the first cache store of the routing table that is alive; null if there is none.
const CacheStore* ForwardExchange::LiveStore() const {
  for (const Service& service : routes_->table().services) {
    if (service.store && services_.stores.IsAlive(service.store->endpoint, Now())) {
      return &*service.store;
    }
  }
  return nullptr;
}

// The organisation of this request, or another one, may have been isolated since the request came.
std::string ForwardExchange::CacheScope() const {
  const std::string organisation = OrganisationName();
  const RouteIndex& routes = routes_->IsIsolated(organisation) ? *routes_ : *services_.routes;
  return routes.CacheScopeOf(organisation);
}

void ForwardExchange::ChooseCacheScope(const SendCommand& command) {
  if (command.copy) {
    cache_scope_.GoOn(CacheScope());
  } else if (request_.prompt) {
    cache_scope_.Begin(CacheScope());
  } else {
    // The engine may find parts in it all the same, and on which weights isn't known.
    cache_scope_.BeginAlone();
  }
}

std::int64_t ForwardExchange::Rank() const {
  return organisation_ && organisation_->rank ? *organisation_->rank : route_->rank;
}

// Returns the copy of the last attempt's run, at most once. Returns nullopt if the engine with the
// copy is unknown, is leaving, or has weights that are too old or, since then, other ones: it would
// refuse to continue the run.
std::optional<RunCopy> ForwardExchange::TakeCopy() {
  if (!last_backup_ || IsRunAccused()) return std::nullopt;
  const PooledBackend* backend = services_.pool.Find(*last_backup_);
  last_backup_.reset();
  const bool fits =
      backend && !backend->is_leaving && engines_->MayContinue(*backend, run_weights_);
  if (!fits) return std::nullopt;
  return RunCopy{backend->choice(), backend->endpoint, request_.id};
}

ForwardCall ForwardExchange::CallTo(const PooledBackend& backend,
                                    const SendCommand& command) const {
  ForwardCall call;
  call.backend = backend.choice();
  call.endpoint = backend.endpoint;
  if (organisation_) call.organisation = organisation_->name;
  // The route's timeout also limits the router itself. The backend server gets the time that the
  // caller is willing to wait, or the route's timeout if the caller named none.
  const Instant gives_up_at = received_ + request_.time_left.value_or(route_->timeout);
  call.time_left = [clock = services_.clock, gives_up_at] { return gives_up_at - clock(); };
  call.resume_after = command.resume_after;
  call.copy = command.copy;
  call.rank = Rank();
  if (service_->engine || request_.prompt) {
    call.cache_salt = CacheSaltOf(run_weights_, cache_scope_.name());
  }
  if (!request_.prompt) return call;
  call.expected_weights = run_weights_;
  if (attempt_->prompt_choice) {
    call.fetch_from = attempt_->prompt_choice->fetch_from;
    call.save_to = attempt_->prompt_choice->save_to;
  }
  return call;
}

CallTimeouts ForwardExchange::Timeouts() const {
  CallTimeouts timeouts;
  timeouts.connect = kConnectTimeout;
  const Duration remaining = deadline_ - Now() + std::chrono::seconds(1);
  timeouts.first_byte = remaining;
  timeouts.between_bytes = remaining;
  return timeouts;
}

void ForwardExchange::Send(const SendCommand& command) {
  const std::int64_t number = command.attempt;
  PooledBackend* backend = services_.pool.Find(command.backend);
  attempt_ = std::make_unique<Attempt>();
  attempt_->number = number;
  attempt_->backend = command.backend;
  attempt_->software_version = backend->software_version;
  attempt_->prompt_choice = std::exchange(next_choice_, std::nullopt);
  attempt_->continues_run = command.copy || command.resume_after;
  attempt_->resumes_copy = command.copy.has_value();
  attempt_->sent_at = Now();
  attempt_->last_received_at = attempt_->sent_at;
  services_.pool.OnSent(*backend);
  if (std::exchange(is_trial_, false)) {
    attempt_->trial =
        services_.crashes->BeginTrial(SuspectsOfNextSend(), request_.id, command.backend);
  }
  if (number == 1) {
    const std::int64_t amount = request_.prompt ? request_.prompt->tokens : 1;
    services_.waiting_order.AddUse(Rank(), OrganisationName(), amount, Now());
  }
  if (attempt_->prompt_choice) {
    attempt_->dispatch = services_.placement->Sent(*attempt_->prompt_choice, Now());
  }
  if (!command.copy) stream_version_.RunSent(backend->software_version);
  if (request_.prompt && !command.copy) run_weights_ = backend->VersionOf(request_.prompt->model);
  ChooseCacheScope(command);
  ForwardCall forward = CallTo(*backend, command);
  // If enabled, a second engine keeps a copy of the run of a stream that can't be resumed, so that
  // the stream can continue there if the first engine fails. A copy costs far less than the stream.
  const bool needs_backup = route_->is_stream && !route_->is_resumable && request_.prompt &&
                            services_.backs_up_runs && service_->engine &&
                            service_->engine->backs_up_runs;
  const std::array avoid = {backend->choice()};
  if (PooledBackend* other =
          needs_backup ? engines_->ChooseToContinue(avoid, run_weights_) : nullptr) {
    attempt_->backup = other->choice();
    forward.backup_endpoint = other->endpoint;
  }
  BackendCallRequest call = services_.codec.encode_call(request_, forward);
  call.timeouts = Timeouts();
  call.takes_unframed_answer = true;
  // If the server closes a kept-alive connection at the moment a request is sent, it is unknown
  // whether the request ran, and one that may not be repeated is lost. On a new connection it is
  // known whether the request was sent.
  call.new_connection = !route_->may_repeat();
  LogSent(command);
  attempt_->call = services_.client->Start(std::move(call), CallHooks(number));
}

std::string ForwardExchange::RouteLabel() const {
  return fmt::format("route=\"{}\"", route_ ? route_->name : "-");
}

// Records how long the request waited, and logs the chosen backend server with the estimates that
// led to the choice.
void ForwardExchange::LogSent(const SendCommand& command) const {
  services_.metrics->Observe("kumquat_forward_wait_seconds", RouteLabel(),
                             Seconds(Now() - received_));
  services_.metrics->Count(
      "kumquat_forward_sends_total",
      fmt::format("service=\"{}\",cause=\"{}\"", service_->name, SendCauseName(command.cause)));
  const auto replaced = request_.prompt ? services_.weights.TimeSinceReplaced(
                                              request_.prompt->model, run_weights_, Now())
                                        : std::nullopt;
  const PromptChoice none;
  const PromptChoice& choice = attempt_->prompt_choice ? *attempt_->prompt_choice : none;
  LogEvent(
      LogLevel::kInfo, "request_sent",
      {{"request", request_.id},
       {"attempt", command.attempt},
       {"cause", SendCauseName(command.cause)},
       {"backend", command.backend.backend_id},
       {"incarnation", command.backend.incarnation},
       {"software", attempt_->software_version},
       {"resumes", request_.resumed_id.empty() ? std::string_view{"-"} : request_.resumed_id},
       {"after_event", command.resume_after.value_or(request_.last_event.value_or(0))},
       {"routing", routes_->table().version},
       {"weights", run_weights_},
       {"replaced_ms", replaced ? Milliseconds(*replaced) : -1},
       {"expected_ms", Milliseconds(choice.placement.expected_first_token)},
       {"prefix", attempt_->prompt_choice ? fmt::format("{:016x}", choice.request.prefix_hash_seed)
                                          : std::string("-")},
       {"prompt_tokens", request_.prompt ? request_.prompt->tokens : 0},
       {"shared_tokens", choice.shared_tokens},
       {"cached_tokens", choice.cached_tokens},
       {"read_tokens", choice.placement.missing_tokens},
       {"fetched_tokens", choice.placement.import_tokens},
       {"fetched_from", choice.fetch_from ? choice.fetch_from->ToString() : std::string("-")},
       {"from_copy", command.copy ? "yes" : "no"},
       {"ms", Milliseconds(Now() - received_)}});
}

BackendCallHooks ForwardExchange::CallHooks(std::int64_t number) {
  const auto weak = weak_from_this();
  BackendCallHooks hooks;
  hooks.on_headers = [weak, number](int status, const HttpHeaders& headers) {
    if (const auto exchange = weak.lock()) exchange->OnHeaders(number, status, headers);
  };
  hooks.on_data = [weak, number](std::string_view data) {
    if (const auto exchange = weak.lock()) exchange->OnData(number, data);
  };
  hooks.on_end = [weak, number] {
    if (const auto exchange = weak.lock()) exchange->OnAnswerEnd(number);
  };
  hooks.on_failure = [weak, number](CallFailure failure, std::string_view reason) {
    if (const auto exchange = weak.lock()) exchange->OnCallFailed(number, failure, reason);
  };
  return hooks;
}

void ForwardExchange::OnHeaders(std::int64_t number, int status, const HttpHeaders& headers) {
  if (is_done_ || !attempt_ || attempt_->number != number) return;
  attempt_->last_received_at = Now();
  attempt_->status = status;
  attempt_->headers = headers;
  attempt_->is_event_stream = route_->is_stream && IsSuccess(status);
  const AnswerHead head = services_.codec.decode_head(request_, status, headers);
  if (head.confirms_not_run) {
    LogEvent(LogLevel::kInfo, "attempt_not_run",
             {{"request", request_.id},
              {"backend", attempt_->backend.backend_id},
              {"status", status},
              {"misdirected", head.is_misdirected ? "yes" : "no"},
              {"ms", Milliseconds(Now() - attempt_->sent_at)}});
    WithdrawTrial();
  }
  if (!head.is_misdirected) services_.crashes->OnAnswering(attempt_->backend);
  if (PooledBackend* backend = services_.pool.Find(attempt_->backend)) {
    if (head.is_misdirected) {
      BackendPool::OnMisdirected(*backend, Now());
    } else {
      BackendPool::OnAnswer(*backend, status >= kFirstServerError && !head.confirms_not_run);
    }
    const auto version = services_.codec.decode_weights_version(headers);
    if (version && request_.prompt) backend->weights[request_.prompt->model] = *version;
  }
  decisions_->OnHead(number, head, Now());
}

void ForwardExchange::OnData(std::int64_t number, std::string_view data) {
  if (is_done_ || !attempt_ || attempt_->number != number) return;
  attempt_->last_received_at = Now();
  answer_account_->Received(static_cast<std::int64_t>(data.size()));
  if (!attempt_->is_event_stream) {
    attempt_->body += data;
    if (attempt_->body.size() <= kMaxBufferedAnswer && !is_head_relayed_) return;
    const std::string buffered = std::exchange(attempt_->body, {});
    decisions_->OnEvent(number, std::nullopt, buffered, Now());
    PaceReading();
    return;
  }
  attempt_->events.Feed(data, [&](const RawEvent& event) {
    if (!event.id) attempt_->bytes_without_id += event.bytes.size();
    if (attempt_->bytes_without_id > kMaxBytesWithoutId) return false;
    if (event.id && ++attempt_->event_count == kEventsPastBeginning) OnBeginningSurvived();
    decisions_->OnEvent(number, event.id, event.bytes, Now());
    return !is_done_ && attempt_ && attempt_->number == number;
  });
  if (is_done_ || !attempt_ || attempt_->number != number) return;
  if (attempt_->events.overflowed() || attempt_->bytes_without_id > kMaxBytesWithoutId) {
    OnCallFailed(number, CallFailure::kBroken,
                 "An event is too long, or too many bytes have no event id.");
    return;
  }
  if (!std::exchange(attempt_->has_stream_data, true)) OnFirstEvent();
  PaceReading();
}

std::int64_t ForwardExchange::kept_bytes() const {
  if (!attempt_) return 0;
  return static_cast<std::int64_t>(attempt_->body.capacity()) + attempt_->events.kept_bytes();
}

void ForwardExchange::DropAnswer() {
  if (is_done_ || !attempt_) return;
  const auto self = shared_from_this();
  // A run that is being moved ends too; its answer would grow on meanwhile.
  attempt_->mover.reset();
  OnCallFailed(attempt_->number, CallFailure::kBroken,
               "The answers of this process take too much memory.");
}

void ForwardExchange::PaceReading() {
  if (is_done_ || !attempt_ || !attempt_->call) return;
  const std::int64_t pending = responder_->pending_bytes();
  const std::int64_t limit = attempt_->is_paused ? 0 : kMaxPendingBytes;
  // Only an attempt whose answer has begun is known to be running. The rest of a run that is moved
  // is short, and the move waits for the end of its stream.
  const bool may_pause =
      attempt_->is_event_stream ? attempt_->has_stream_data : attempt_->status != 0;
  const bool is_moving = attempt_->mover && attempt_->mover->is_under_way();
  const bool pauses = may_pause && !is_moving && pending > limit;
  if (pauses == std::exchange(attempt_->is_paused, pauses)) return;
  attempt_->last_received_at = Now();
  attempt_->call->SetReading(!pauses);
  LogEvent(LogLevel::kDebug, pauses ? "reading_paused" : "reading_resumed",
           {{"request", request_.id}, {"pending", pending}});
}

// A run that goes on elsewhere doesn't begin there, which is when it would crash its server.
void ForwardExchange::OnBeginningSurvived() {
  if (attempt_->continues_run || !services_.crashes->has_suspects()) return;
  services_.crashes->OnBeginningSurvived(Suspects().beginning());
  if (!IsRunAccused()) EndTrial();
}

void ForwardExchange::EndTrial() {
  if (attempt_->trial) services_.crashes->EndTrial(*std::exchange(attempt_->trial, std::nullopt));
}

void ForwardExchange::WithdrawTrial() {
  if (!attempt_->trial) return;
  services_.crashes->WithdrawTrial(*std::exchange(attempt_->trial, std::nullopt));
}

void ForwardExchange::OnFirstEvent() {
  if (attempt_->prompt_choice) {
    // A run that goes on computes less than its prompt, which would be taken for the engine's
    // speed.
    const bool is_measured = !attempt_->continues_run;
    if (is_measured) ObserveExpectation();
    services_.placement->FirstEvent(attempt_->dispatch, is_measured, Now());
  }
  // The run began after it was known that the engine is to load weights, and would delay that.
  AdvanceMove();
  services_.metrics->Observe("kumquat_forward_first_event_seconds", RouteLabel(),
                             Seconds(Now() - received_));
  if (!first_event_at_) first_event_at_ = Now();
}

void ForwardExchange::ObserveExpectation() {
  const bool is_learnt = services_.placement->answers(request_.prompt->model) > 0;
  const std::string label = fmt::format("source=\"{}\"", is_learnt ? "answers" : "prior");
  services_.metrics->Observe("kumquat_first_event_expected_seconds", label,
                             Seconds(attempt_->prompt_choice->placement.expected_first_token));
  services_.metrics->Observe("kumquat_first_event_seen_seconds", label,
                             Seconds(Now() - attempt_->sent_at));
}

void ForwardExchange::OnAnswerEnd(std::int64_t number) {
  if (is_done_ || !attempt_ || attempt_->number != number) return;
  if (attempt_->is_event_stream && attempt_->events.mid_event()) {
    OnCallFailed(number, CallFailure::kBroken, "The answer ended in the middle of an event.");
    return;
  }
  // An error, or nothing, may be answered without running the request.
  const bool has_run =
      attempt_->is_event_stream ? attempt_->has_stream_data : IsSuccess(attempt_->status);
  if (has_run) {
    OnBeginningSurvived();
    if (services_.crashes->has_suspects()) {
      services_.crashes->OnRunSurvived(Suspects().whole_run());
    }
  }
  decisions_->OnEnd(number, Now());
}

void ForwardExchange::OnCallFailed(std::int64_t number, CallFailure failure,
                                   std::string_view reason) {
  if (is_done_ || !attempt_ || attempt_->number != number) return;
  if (attempt_->mover) {
    // The engine closes the stream when it stops the run to move it.
    attempt_->failure_at_stop = failure;
    attempt_->reason_at_stop = reason;
    if (attempt_->mover->HoldsFailure()) return;
  }
  LogEvent(LogLevel::kInfo, "attempt_failed",
           {{"request", request_.id},
            {"backend", attempt_->backend.backend_id},
            {"failure", CallFailureName(failure)},
            {"reason", reason},
            {"ms", Milliseconds(Now() - attempt_->sent_at)}});
  services_.metrics->Count("kumquat_forward_attempt_failures_total",
                           fmt::format("failure=\"{}\"", CallFailureName(failure)));
  if (PooledBackend* backend = services_.pool.Find(attempt_->backend)) {
    BackendPool::OnFailure(*backend, failure, Now());
  }
  if (failure == CallFailure::kNotSent) {
    WithdrawTrial();
  } else {
    ReportLoss();
  }
  EndAttempt();
  decisions_->OnFailure(number, failure, Now());
}

LostRun ForwardExchange::RunLostNow() {
  LostRun run;
  run.request_id = request_.id;
  run.is_past_beginning = attempt_->event_count >= kEventsPastBeginning;
  const std::span<const Suspect> suspects =
      run.is_past_beginning ? Suspects().whole_run() : std::span(Suspects().all);
  run.suspects.assign(suspects.begin(), suspects.end());
  run.lost_at = Now();
  run.sent_at = attempt_->sent_at;
  run.trial = attempt_->trial;
  return run;
}

void ForwardExchange::ReportLoss() {
  services_.crashes->OnRunLost(attempt_->backend, RunLostNow());
  // The outcome is known once it is known whether the server crashed.
  attempt_->trial.reset();
}

void ForwardExchange::AbandonAttempt() {
  if (!attempt_) return;
  // An error is answered without a run or at its end, and a run that was moved has ended.
  const bool has_answered = attempt_->status != 0 && !IsSuccess(attempt_->status);
  const bool was_moved =
      attempt_->mover && (attempt_->mover->is_stopping() || attempt_->mover->has_resumed());
  const bool may_run =
      attempt_->call && attempt_->call->may_have_sent() && !has_answered && !was_moved;
  if (may_run) {
    LostRun run = RunLostNow();
    // Only the request itself is counted: many sound ones share its parts, and the unknown time of
    // the crash doesn't tell a loss of power from several crashes.
    std::erase_if(run.suspects,
                  [](const Suspect& suspect) { return suspect.depth != kRequestDepth; });
    const Instant ends_by = received_ + request_.time_left.value_or(route_->timeout);
    services_.crashes->OnRunAbandoned(attempt_->backend, std::move(run), ends_by);
  }
  EndAttempt();
}

void ForwardExchange::EndAttempt() {
  if (!attempt_) return;
  EndTrial();
  Attempt ended = std::move(*attempt_);
  attempt_.reset();
  last_backup_ = ended.backup;
  if (PooledBackend* backend = services_.pool.Find(ended.backend)) {
    services_.pool.OnEnded(*backend);
  }
  if (ended.prompt_choice) services_.placement->Ended(ended.dispatch, Now());
  if (ended.call) DestroyLater(std::move(ended.call));
}

std::unique_ptr<RunMover> ForwardExchange::MakeMover(const PooledBackend& source) {
  const std::int64_t number = attempt_->number;
  RunMoverHooks hooks;
  hooks.choose_target =
      [this, from = source.choice()](
          std::span<const BackendChoice> refused) -> std::optional<BackendChoice> {
    if (IsRunAccused()) return std::nullopt;
    std::vector<BackendChoice> avoid(refused.begin(), refused.end());
    avoid.push_back(from);
    return engines_->ChooseMoveTarget(avoid, run_weights_);
  };
  hooks.reserve_repeats = [this, number] { return decisions_->BeginMove(number); };
  hooks.return_repeats = [this, number] { decisions_->OnMoveFailed(number); };
  hooks.resume = [this, number](const RunCopy& copy) {
    const auto self = shared_from_this();
    moved_from_ = attempt_->backend;
    const auto resumes_at = engines_->StillThere({copy.backend, attempt_->backend});
    if (!resumes_at) return OnCallFailed(number, CallFailure::kBroken, "Its engines are gone.");
    decisions_->OnMoved(number, {*resumes_at, copy.holder, copy.handle}, Now());
  };
  hooks.fail = [this, number] {
    const auto self = shared_from_this();
    const auto mover = std::move(attempt_->mover);
    OnCallFailed(number, attempt_->failure_at_stop, attempt_->reason_at_stop);
  };
  return std::make_unique<RunMover>(services_, source.choice(), source.endpoint, request_.id,
                                    std::move(hooks));
}

void ForwardExchange::AdvanceMove() {
  PaceReading();
  // A moved run isn't moved on before its engine has taken it.
  if (is_done_ || !attempt_ || !attempt_->has_stream_data) return;
  const PooledBackend* source = services_.pool.Find(attempt_->backend);
  if (!source || Now() >= source->loading_until) return;
  const bool can_move =
      services_.moves_runs && service_->engine && service_->engine->moves_runs && request_.prompt;
  if (!can_move) return;
  if (!attempt_->mover) attempt_->mover = MakeMover(*source);
  attempt_->mover->Advance();
}

std::optional<BackendChoice> ForwardExchange::SilentBackend(Duration silence) const {
  const bool is_silent = !is_done_ && attempt_ && route_->is_stream && !attempt_->is_paused &&
                         Now() - attempt_->last_received_at > silence;
  return is_silent ? std::optional(attempt_->backend) : std::nullopt;
}

void ForwardExchange::OnBackendUnreachable(const BackendChoice& backend, Duration silence) {
  if (SilentBackend(silence) != backend || attempt_->is_stopping()) return;
  // The probe may be wrong, so an attempt is only failed if the request can continue elsewhere.
  const auto& required = stream_version_.required();
  const bool has_other = !required || services_.pool.HasVersion(service_->name, *required, backend);
  const bool can_continue = services_.budget->available(service_->name) >= 1 && has_other &&
                            (decisions_->MayRepeatAfterLoss() || attempt_->backup);
  if (can_continue) OnCallFailed(attempt_->number, CallFailure::kSilent, "New connection failed.");
}

bool ForwardExchange::HasOutdatedAttempt() const {
  // A run that goes on has begun before, on weights that were recent enough.
  const bool is_waiting = attempt_ && !attempt_->has_stream_data && !attempt_->resumes_copy;
  // Only a streamed answer shows whether the run has begun: by its first data.
  return is_waiting && route_->is_stream && request_.prompt &&
         services_.weights_limit->MustCancel(request_.prompt->model, run_weights_, Now());
}

void ForwardExchange::CancelOutdatedAttempt() {
  LogEvent(LogLevel::kWarning, "attempt_taken_back",
           {{"request", request_.id},
            {"backend", attempt_->backend.backend_id},
            {"weights", run_weights_},
            {"ms", Milliseconds(Now() - attempt_->sent_at)}});
  services_.metrics->Count("kumquat_forward_taken_back_total", RouteLabel());
  const auto self = shared_from_this();
  decisions_->OnFailure(attempt_->number, CallFailure::kSilent, Now());
}

void ForwardExchange::RelayHead() {
  if (is_head_relayed_) return;
  is_head_relayed_ = true;
  responder_->StartStream(attempt_->status, services_.codec.headers_for_caller(attempt_->headers));
}

void ForwardExchange::RelayBufferedAnswer() {
  responder_->Send(attempt_->status, services_.codec.headers_for_caller(attempt_->headers),
                   attempt_->body);
  Finish("complete");
}

std::optional<Duration> ForwardExchange::RetryAfter() const {
  // What began the stream doesn't come back.
  if (decisions_->end_reason() == EndReason::kVersionGone) return std::nullopt;
  const Duration time_left = deadline_ - Now();
  if (decisions_->end_reason() == EndReason::kBacklog) {
    return services_.admission->RetryAfterBacklog(route_->objective, *expected_wait_, time_left);
  }
  return services_.admission->RetryAfterOverload(time_left);
}

void ForwardExchange::Refuse(const Refusal& refusal) {
  if (is_done_) return;
  if (quota_units_ > 0 && AnswerFor(refusal.kind).ran == Ran::kNo) {
    services_.quotas->Return(organisation_->name, quota_units_);
  }
  if (decisions_) {
    services_.metrics->Count(
        "kumquat_forward_refused_total",
        fmt::format("{},reason=\"{}\"", RouteLabel(), EndReasonName(decisions_->end_reason())));
  }
  services_.codec.send_refusal(*responder_, request_, refusal);
  Finish(AnswerFor(refusal.kind).name);
}

void ForwardExchange::OnCapacityFree() {
  const auto self = shared_from_this();
  if (decisions_ && !is_done_) decisions_->OnCapacityFree(Now());
}

void ForwardExchange::EndForShutdown() {
  const auto self = shared_from_this();
  if (is_done_) return;
  if (decisions_) return decisions_->OnShutdown();
  Refuse({ErrorKind::kDraining, services_.admission->RetryAfterElsewhere()});
}

void ForwardExchange::OnCallerGone() {
  if (is_done_) return;
  const auto self = shared_from_this();
  if (decisions_) decisions_->OnCallerGone();
  Finish(AnswerFor(ErrorKind::kCallerGone).name);
}

void ForwardExchange::Finish(std::string_view outcome) {
  if (is_done_) return;
  is_done_ = true;
  if (quota_wait_ != 0) services_.quotas->Cancel(quota_wait_);
  EndAttempt();
  answer_account_.reset();
  deadline_timer_.Stop();
  services_.metrics->Count("kumquat_forwarded_total",
                           fmt::format("{},outcome=\"{}\"", RouteLabel(), outcome));
  services_.metrics->Observe("kumquat_forward_seconds", RouteLabel(), Seconds(Now() - received_));
  LogEvent(LogLevel::kInfo, "request_done",
           {{"request", request_.id},
            {"route", route_ ? std::string_view{route_->name} : std::string_view{"-"}},
            {"outcome", outcome},
            {"reason", EndReasonName(decisions_ ? decisions_->end_reason() : EndReason::kNone)},
            {"runs", decisions_ ? decisions_->runs() : 0},
            {"first_event_ms", first_event_at_ ? Milliseconds(*first_event_at_ - received_) : -1},
            {"seconds", Seconds(Now() - received_)}});
  if (on_done_) on_done_();
}

}  // namespace kumquat

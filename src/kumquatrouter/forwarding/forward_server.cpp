#include "forwarding/forward_server.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "utils/log.h"
#include "utils/wall_clock.h"

namespace kumquat {
namespace {

// How often requests that wait for a backend server try again.
constexpr std::chrono::milliseconds kWakeInterval{15};
constexpr std::chrono::milliseconds kRemovalInterval{1000};
constexpr std::chrono::milliseconds kQuotaInterval{10};
constexpr std::chrono::milliseconds kLoadReportInterval{20};
// If a stream pauses for longer, its engine is probed. Events normally arrive every few 10 ms, and
// callers are specified to accept pauses of 400 ms.
constexpr Duration kSilenceThreshold = std::chrono::milliseconds(200);
constexpr std::chrono::milliseconds kSilenceCheckInterval{50};
// A timer that fires this late shows that the event loop was busy or that the instance got no CPU
// time.
constexpr Duration kLateTimerThreshold = std::chrono::milliseconds(40);
// Within one region a connection is established within milliseconds. On the saturated link of a
// small instance it took over 120 ms. So after this time a probe also connects to a second backend
// server, the witness: if that connection is slow as well, the probed server isn't at fault.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(120);
// How long the probed server may still take to connect once the witness has connected.
constexpr Duration kProbeWitnessMargin = std::chrono::milliseconds(30);
constexpr std::chrono::milliseconds kProbeCooldown{300};
// The same after a backend server that lost runs took a connection but may be about to close its
// listener: a culprit that isn't known yet goes on to the next servers meanwhile.
constexpr std::chrono::milliseconds kUnprovenProbeCooldown{40};
constexpr Duration kMaxLoadReportInterval = std::chrono::milliseconds(700);
constexpr std::chrono::milliseconds kDrainPollInterval{20};
// Requests may take the process's memory limit divided by this.
constexpr std::int64_t kRequestMemoryDivisor = 6;
// Parts of answers that wait, for the rest or for their callers, may take it divided by this.
constexpr std::int64_t kAnswerMemoryDivisor = 8;
// What has come in on callers' connections and isn't read may take it divided by this, at the most
// that the system keeps of each.
constexpr std::int64_t kUnreadMemoryDivisor = 4;
constexpr std::int64_t kMaxUnreadBytes = 32 * 1024;
constexpr std::int64_t kMegabyte = 1024 * 1024;
// Applies until a routing table with a limit is known.
constexpr std::int64_t kDefaultMaxBodyBytes = 4 * kMegabyte;
constexpr std::int64_t kMaxCallerConnections = 3000;
// How long an engine counts as loading after control reported it; control repeats the report every
// half second while the engine loads.
constexpr Duration kLoadingNewsLifetime = std::chrono::milliseconds(1800);

std::int64_t PartOfMemory(std::int64_t memory_mb, std::int64_t divisor) {
  return std::max(kMegabyte, memory_mb * kMegabyte / divisor);
}

PromptPlacementOptions PlacementOptionsOf(const ForwardSettings& settings) {
  PromptPlacementOptions options;
  options.engine_model = settings.engine_model;
  return options;
}

}  // namespace

ForwardServer::ForwardServer(ForwardSettings settings, ForwardCodec codec, const Clock& clock,
                             const Random& random)
    : settings_(std::move(settings)),
      admission_(settings_.admission, random),
      budget_(settings_.repeats),
      quotas_({}, QuotaHooks(), settings_.instance, WallClockMillis()),
      placement_(PlacementOptionsOf(settings_), &services_.weights, &cache_parts_, random),
      weights_limit_(&services_.weights, settings_.weights_longest_lag),
      answer_memory_(PartOfMemory(settings_.memory_mb, kAnswerMemoryDivisor)),
      request_memory_(PartOfMemory(settings_.memory_mb, kRequestMemoryDivisor)),
      client_(MakeHttpBackendClient(&answer_memory_)),
      crash_watch_(settings_.instance, CrashHooks(), &metrics_),
      origins_(OriginHooks()),
      feed_(
          {settings_.instance, settings_.failure_domain, WallClockMillis(),
           settings_.control_seeds},
          {clock, random, [this](const Document& document) { OnDocument(document); },
           [this](const MemberRecord& record) { OnMember(record); },
           [this](const std::string& replica, std::int64_t routers, std::size_t replicas) {
             OnRouterCount(replica, routers, replicas);
           },
           [this](const std::string& replica) {
             router_count_.OnLost(replica);
             services_.move_window.OnLost(replica);
           },
           [this](const std::string& replica, Instant greeted_at, Instant answered_at) {
             services_.move_window.OnAnswered(replica, greeted_at, answered_at);
           },
           [this](const std::map<std::string, bool>& alive) {
             services_.stores.Update(alive, services_.clock());
           },
           [this](const std::string& replica, const EngineNews& news) { OnEngines(replica, news); },
           [this](const CacheNews& news) { return cache_parts_.Apply(news); },
           [this](const RouterLoad& load, std::int64_t routers) { OnPeerLoads(load, routers); },
           [this] { return crash_watch_.Summary(); },
           [this](const SuspectNews& news) { return crash_watch_.Receive(news); },
           [this](const QuotaGranted& granted) { quotas_.OnGranted(granted); },
           [this] { return crash_watch_.TrialSummary(); },
           [this](const TrialNews& news) { crash_watch_.Receive(news); },
           [this] { return origins_.Records(); },
           [this](const StreamTold& told) { origins_.OnTold(told.number, told.origin); }}),
      loop_watch_(kSilenceCheckInterval, kLateTimerThreshold) {
  services_.failure_domain = settings_.failure_domain;
  services_.clock = clock;
  services_.random = random;
  services_.codec = std::move(codec);
  services_.admission = &admission_;
  services_.crashes = &crash_watch_;
  services_.origins = &origins_;
  services_.budget = &budget_;
  services_.quotas = &quotas_;
  services_.placement = &placement_;
  services_.client = client_.get();
  services_.answer_memory = &answer_memory_;
  services_.metrics = &metrics_;
  services_.weights_limit = &weights_limit_;
  services_.moves_runs = settings_.moves_runs;
  services_.backs_up_runs = settings_.backs_up_runs;
  services_.try_waiting = [this](const std::string& service) { WakeWaiting(&service); };
  started_at_ = clock();
  const auto handler = [](auto handle) {
    return [handle](HttpRequest request, const Responder& responder) {
      handle(std::move(request), responder);
    };
  };
  server_ = HttpServer::Builder()
                .WithLimits(DefaultHttpLimits())
                .WithAnswerMemory(&answer_memory_)
                .WithRequestMemory(&request_memory_)
                .WithOnRefused(CountRefusals())
                .WithHandler(handler([this](HttpRequest request, const Responder& responder) {
                  Handle(std::move(request), responder);
                }))
                .Build();
  ready_server_ = HttpServer::Builder()
                      .WithLimits(QuestionLimits())
                      .WithRequestMemory(&request_memory_)
                      .WithOnRefused(CountRefusals())
                      .WithHandler([this](const HttpRequest& request, const Responder& responder) {
                        HandleReady(request, responder);
                      })
                      .Build();
  metrics_server_ =
      HttpServer::Builder()
          .WithLimits(QuestionLimits())
          .WithAnswerMemory(&answer_memory_)
          .WithRequestMemory(&request_memory_)
          .WithOnRefused(CountRefusals())
          .WithHandler([this](const HttpRequest& request, const Responder& responder) {
            HandleMetrics(request, responder);
          })
          .Build();
  QObject::connect(&load_timer_, &QTimer::timeout, &load_timer_, [this] { ReportLoad(); });
  QObject::connect(&silence_timer_, &QTimer::timeout, &silence_timer_,
                   [this] { CheckSilentBackends(); });
  QObject::connect(&wake_timer_, &QTimer::timeout, &wake_timer_, [this] { WakeWaiting(); });
  quota_timer_.setTimerType(Qt::PreciseTimer);
  QObject::connect(&quota_timer_, &QTimer::timeout, &quota_timer_, [this] { quotas_.Tick(); });
  QObject::connect(&removal_timer_, &QTimer::timeout, &removal_timer_,
                   [this] { RemoveDepartedBackends(); });
  QObject::connect(&drain_timer_, &QTimer::timeout, &drain_timer_, [this] { CheckDrained(); });
}

ForwardServer::~ForwardServer() = default;

CrashWatchHooks ForwardServer::CrashHooks() {
  CrashWatchHooks hooks;
  hooks.clock = [this] { return services_.clock(); };
  hooks.probe = [this](const BackendChoice& backend) { Probe(backend); };
  hooks.latest_incarnation = [this](const std::string& id) -> std::optional<std::int64_t> {
    const Member* member = feed_.members().Find(id);
    return member ? std::optional(member->record.incarnation) : std::nullopt;
  };
  hooks.is_leaving = [this](const BackendChoice& backend) {
    return feed_.members().IsLeaving(backend.backend_id, backend.incarnation);
  };
  hooks.report = [this](const ControlNews& news) { feed_.ReportSuspects(news); };
  hooks.random = [this] { return services_.random(); };
  return hooks;
}

QuotaHolderHooks ForwardServer::QuotaHooks() {
  QuotaHolderHooks hooks;
  hooks.clock = [this] { return services_.clock(); };
  hooks.random = [this] { return services_.random(); };
  hooks.send = [this](const QuotaAsked& asked) { feed_.AskQuota(asked); };
  return hooks;
}

OriginLookupHooks ForwardServer::OriginHooks() {
  OriginLookupHooks hooks;
  hooks.clock = [this] { return services_.clock(); };
  hooks.ask = [this](std::int64_t number, const std::string& key) {
    return feed_.AskStream(number, key);
  };
  return hooks;
}

void ForwardServer::MeasureQuotas() {
  for (const std::string& organisation : quotas_.organisations()) {
    const auto status = quotas_.StatusOf(organisation);
    const std::string label = fmt::format("organisation=\"{}\"", organisation);
    const auto set = [&](std::string_view name, std::int64_t value) {
      metrics_.Set(name, label, static_cast<double>(value));
    };
    set("kumquat_quota_rate", status->quota.rate_per_second);
    set("kumquat_quota_burst", status->quota.burst);
    set("kumquat_quota_reserve", status->reserve);
    set("kumquat_quota_admitted", status->admitted);
    set("kumquat_quota_refused", status->refused);
    set("kumquat_quota_units_admitted", status->units_admitted);
    set("kumquat_quota_units_asked", status->units_asked);
    set("kumquat_quota_units_granted", status->units_granted);
  }
}

HttpServerLimits ForwardServer::DefaultHttpLimits() const {
  HttpServerLimits limits;
  limits.max_body_bytes = kDefaultMaxBodyBytes;
  limits.max_connections =
      std::min({kMaxCallerConnections, DescriptorsForCallers(settings_.max_descriptors),
                PartOfMemory(settings_.memory_mb, kUnreadMemoryDivisor) / kMaxUnreadBytes});
  return limits;
}

std::function<void(CallerRefusal reason)> ForwardServer::CountRefusals() {
  return [this](CallerRefusal reason) {
    refusal_log_.Count(&metrics_, CallerRefusalName(reason), services_.clock());
  };
}

bool ForwardServer::Start() {
  struct Listener {
    HttpServer& server;
    const Endpoint& endpoint;
  };
  for (const auto& [server, endpoint] :
       {Listener{*server_, settings_.listen}, Listener{*ready_server_, settings_.ready_listen},
        Listener{*metrics_server_, settings_.metrics_listen}}) {
    if (endpoint.port == 0 || server.Listen(endpoint)) continue;
    last_reason_ = server.last_reason();
    return false;
  }
  feed_.Start();
  removal_timer_.start(kRemovalInterval);
  load_timer_.start(kLoadReportInterval);
  silence_timer_.start(kSilenceCheckInterval);
  LogEvent(LogLevel::kInfo, "router_started", {{"listen", settings_.listen.ToString()}});
  return true;
}

void ForwardServer::Handle(HttpRequest request, const Responder& responder) {
  const auto exchange = std::make_shared<ForwardExchange>(
      services_, services_.codec.decode_request(std::move(request)), responder);
  exchanges_.insert(exchange);
  exchange->Start([this, raw = std::weak_ptr(exchange)] { exchanges_.erase(raw.lock()); });
  if (!exchange->is_waiting()) return;
  if (!exchange->is_held()) services_.waited_for.insert(exchange->service_name());
  if (!wake_timer_.isActive()) wake_timer_.start(kWakeInterval);
}

void ForwardServer::WakeWaiting(const std::string* service) {
  std::vector<std::shared_ptr<ForwardExchange>> exchanges;
  std::copy_if(exchanges_.begin(), exchanges_.end(), std::back_inserter(exchanges),
               [&](const auto& exchange) {
                 return exchange->is_waiting() &&
                        (!service || exchange->service_name() == *service);
               });
  std::vector<WaitingRequest> requests;
  requests.reserve(exchanges.size());
  for (const auto& exchange : exchanges) requests.push_back(exchange->Waiting());
  services_.waiting_order.TryInOrder(
      requests, services_.clock(), [&](std::size_t index) { exchanges[index]->OnCapacityFree(); });
  NoteWaiting();
}

// Notes the services that requests wait for now, and lets the timer run while there are any.
void ForwardServer::NoteWaiting() {
  services_.waited_for.clear();
  bool any_waits = false;
  for (const auto& exchange : exchanges_) {
    if (!exchange->is_waiting()) continue;
    any_waits = true;
    if (!exchange->is_held()) services_.waited_for.insert(exchange->service_name());
  }
  if (!any_waits) {
    wake_timer_.stop();
  } else if (!wake_timer_.isActive()) {
    wake_timer_.start(kWakeInterval);
  }
}

void ForwardServer::HandleReady(const HttpRequest& /*request*/, const Responder& responder) const {
  const bool is_ready = services_.routes && !services_.drain;
  responder->Send(is_ready ? 200 : 503, {}, is_ready ? "ready\n" : "not ready\n");
}

void ForwardServer::HandleMetrics(const HttpRequest& /*request*/, const Responder& responder) {
  metrics_.Set("kumquat_requests_in_progress", {}, static_cast<double>(exchanges_.size()));
  metrics_.Set("kumquat_control_replicas_connected", {},
               static_cast<double>(feed_.connected_replicas()));
  metrics_.Set("kumquat_answers_dropped_for_memory", {},
               static_cast<double>(answer_memory_.dropped()));
  metrics_.Set("kumquat_routers_counted", {}, static_cast<double>(budget_.routers()));
  crash_watch_.Measure();
  MeasureQuotas();
  metrics_.Set("kumquat_routing_version", {},
               static_cast<double>(feed_.VersionOf(std::string(kRoutingDocument))));
  responder->Send(200, {{"Content-Type", std::string(kMetricsContentType)}},
                  metrics_.ToPrometheusText());
}

void ForwardServer::OnDocument(const Document& document) {
  if (document.name.starts_with(kWeightsDocumentPrefix)) {
    services_.weights.Learn(document.name.substr(kWeightsDocumentPrefix.size()), document.version,
                            services_.clock());
    LogEvent(LogLevel::kInfo, "weights_named",
             {{"weights", document.name}, {"version", document.version}});
    return;
  }
  if (document.name != kRoutingDocument) return;
  auto table = DecodeRoutingTable(document.content);
  if (!table) {
    LogEvent(LogLevel::kError, "routing_table_malformed", {{"version", document.version}});
    return;
  }
  LogEvent(LogLevel::kInfo, "routing_in_force",
           {{"version", document.version}, {"routes", table->routes.size()}});
  ApplyLimits(table->limits);
  quotas_.SetQuotas(table->organisations);
  if (!quotas_.has_quotas()) {
    quota_timer_.stop();
  } else if (!quota_timer_.isActive()) {
    quota_timer_.start(kQuotaInterval);
  }
  services_.routes = std::make_shared<const RouteIndex>(std::move(*table));
}

void ForwardServer::ApplyLimits(const CallerLimits& limits) {
  HttpServerLimits own = DefaultHttpLimits();
  own.max_header_bytes = limits.max_header_bytes.value_or(own.max_header_bytes);
  own.max_body_bytes = limits.max_body_bytes.value_or(own.max_body_bytes);
  own.header_timeout = limits.header_timeout.value_or(own.header_timeout);
  own.idle_timeout = limits.idle_timeout.value_or(own.idle_timeout);
  own.request_timeout = limits.idle_timeout.value_or(own.request_timeout);
  server_->SetLimits(own);
}

void ForwardServer::OnMember(const MemberRecord& record) {
  LogEvent(LogLevel::kInfo, "backend_changed",
           {{"backend", record.id},
            {"incarnation", record.incarnation},
            {"sequence", record.sequence},
            {"address", record.endpoint.ToString()},
            {"leaving", record.leaving ? "yes" : "no"}});
  services_.pool.Update(record);
  crash_watch_.OnIncarnation(record.id, record.incarnation);
}

void ForwardServer::OnRouterCount(const std::string& replica, std::int64_t routers,
                                  std::size_t replicas) {
  router_count_.OnTold(replica, routers, replicas, services_.clock());
  if (router_count_.routers() != budget_.routers()) {
    LogEvent(LogLevel::kInfo, "routers_counted",
             {{"routers", router_count_.routers()}, {"before", budget_.routers()}});
  }
  budget_.SetRouters(router_count_.routers());
  quotas_.SetRouters(router_count_.routers());
  placement_.SetRouters(routers);
}

void ForwardServer::OnEngines(const std::string& replica, const EngineNews& news) {
  for (const EngineNews::Named& named : news.named) {
    services_.weights.Learn(named.model, named.version, services_.clock() - named.age);
  }
  services_.move_window.OnEngines(replica, news.others_unordered_until, news.move_targets);
  for (const EngineNews::Engine& engine : news.engines) {
    PooledBackend* backend = services_.pool.Find({engine.id, engine.incarnation});
    if (!backend) continue;
    backend->loading_until =
        engine.is_loading ? services_.clock() + kLoadingNewsLifetime : Instant(0);
    backend->unordered_until = services_.move_window.ToOwnTime(replica, engine.unordered_until);
    for (const auto& [model, version] : engine.weights) {
      std::int64_t& known = backend->weights[model];
      known = std::max(known, version);
    }
  }
  // Streams are moved only after all engines are updated, so that none is moved to an engine that
  // is loading too.
  AdvanceMoves();
}

void ForwardServer::AdvanceMoves() {
  const auto exchanges = exchanges_;
  for (const auto& exchange : exchanges) exchange->AdvanceMove();
}

// A silent open connection doesn't prove that a backend server is gone, so silent servers are
// probed with a new connection: if it can't be established the server is gone, and if it can the
// server is reachable again. Nothing is probed if this process itself was stalled, because data
// that arrived meanwhile hasn't been read yet.
void ForwardServer::CheckSilentBackends() {
  loop_watch_.Beat(services_.clock());
  crash_watch_.ProbeUnproven();
  CancelOutdatedAttempts();
  AdvanceMoves();
  // A request may begin to wait at any time, after a send that failed or was taken back.
  NoteWaiting();
  if (loop_watch_.WasLate(services_.clock() - kSilenceThreshold)) return;
  std::set<std::string> silent;
  for (const auto& exchange : exchanges_) {
    const auto backend = exchange->SilentBackend(kSilenceThreshold);
    if (backend && silent.insert(backend->backend_id).second) Probe(*backend);
  }
  for (const PooledBackend* backend : services_.pool.DueForProbe(services_.clock())) {
    Probe(backend->choice());
  }
}

void ForwardServer::CancelOutdatedAttempts() {
  std::vector<std::shared_ptr<ForwardExchange>> outdated;
  std::copy_if(exchanges_.begin(), exchanges_.end(), std::back_inserter(outdated),
               [](const auto& exchange) { return exchange->HasOutdatedAttempt(); });
  // Each exchange may finish in this call and remove itself from exchanges_.
  for (const auto& exchange : outdated) exchange->CancelOutdatedAttempt();
}

void ForwardServer::Probe(const BackendChoice& backend) {
  const PooledBackend* pooled = services_.pool.Find(backend);
  if (!pooled || probes_.contains(backend.backend_id)) return;
  const Instant begun = services_.clock();
  const PooledBackend* witness = services_.pool.PickProbeWitness(backend, begun, services_.random);
  const auto witness_endpoint = witness ? std::optional(witness->endpoint) : std::nullopt;
  probes_[backend.backend_id] = StartWitnessedProbe(
      {pooled->endpoint, witness_endpoint, kProbeTimeout, kProbeWitnessMargin},
      [this, backend, begun](ProbeVerdict verdict) { OnProbed(backend, begun, verdict); });
}

void ForwardServer::OnProbed(const BackendChoice& backend, Instant begun, ProbeVerdict verdict) {
  PooledBackend* probed = services_.pool.Find(backend);
  if (verdict == ProbeVerdict::kReachable && probed) BackendPool::OnReachable(*probed);
  if (verdict == ProbeVerdict::kReachable) crash_watch_.OnReachable(backend, begun);
  if (verdict == ProbeVerdict::kRefused) crash_watch_.OnRefused(backend);
  const bool may_close_yet =
      verdict == ProbeVerdict::kReachable && crash_watch_.IsUnproven(backend);
  QTimer::singleShot(may_close_yet ? kUnprovenProbeCooldown : kProbeCooldown, Qt::PreciseTimer,
                     &silence_timer_, [this, id = backend.backend_id] { probes_.erase(id); });
  loop_watch_.Look(services_.clock());
  const bool is_gone = verdict == ProbeVerdict::kGone && !loop_watch_.WasLate(begun);
  if (!is_gone && verdict != ProbeVerdict::kRefused) return;
  LogEvent(LogLevel::kWarning, "backend_unreachable", {{"backend", backend.backend_id}});
  if (probed) BackendPool::OnFailure(*probed, CallFailure::kNotSent, services_.clock());
  const auto exchanges = exchanges_;
  for (const auto& exchange : exchanges) exchange->OnBackendUnreachable(backend, kSilenceThreshold);
}

void ForwardServer::OnPeerLoads(const RouterLoad& load, std::int64_t routers) {
  std::vector<SentLoad> loads;
  loads.reserve(load.engines.size());
  for (const EngineLoad& engine : load.engines) {
    loads.push_back({engine.engine, engine.incarnation, engine.urgent_tokens, engine.tokens,
                     engine.held_tokens});
  }
  placement_.PeersSent(load.router, routers, loads, services_.clock());
}

void ForwardServer::ReportLoad() {
  crash_watch_.ReportChanges();
  feed_.ReportStreams(origins_.TakeNews());
  origins_.Tick();
  const Instant now = services_.clock();
  const std::vector<std::uint64_t> keys = placement_.TakeInterest();
  if (!keys.empty()) feed_.ReportInterest(keys);
  std::vector<EngineLoad> engines;
  for (const SentLoad& load : placement_.TakeSentLoads(now)) {
    engines.push_back(
        {load.backend_id, load.incarnation, load.tokens, load.held_tokens, load.reply_tokens});
  }
  // An empty report tells the other routers that this one is still running.
  if (engines.empty() && now - load_reported_at_ < kMaxLoadReportInterval) return;
  load_reported_at_ = now;
  feed_.ReportLoad(engines);
}

void ForwardServer::RemoveDepartedBackends() {
  services_.pool.Retain(
      [this](std::string_view id) { return feed_.members().Find(id) != nullptr; });
}

void ForwardServer::Drain(Instant asked, std::function<void()> on_drained) {
  if (services_.drain) return;
  LogEvent(LogLevel::kInfo, "router_draining", {{"requests", exchanges_.size()}});
  services_.drain.emplace(asked, services_.clock(), settings_.grace);
  on_drained_ = std::move(on_drained);
  server_->CloseAfterAnswers(settings_.grace);
  drain_timer_.start(kDrainPollInterval);
}

// Requests that arrive while the load balancer is unaware of the stop are still accepted.
void ForwardServer::CheckDrained() {
  const Instant now = services_.clock();
  const DrainWindow& drain = *services_.drain;
  if (drain.IsBalancerUnaware(now)) return;
  if (server_->port() != 0) server_->StopListening();
  if (now >= drain.answers_due() && !exchanges_.empty()) EndExchangesForShutdown();
  // The machine may go with the process, and then what callers haven't acknowledged is lost.
  const std::int64_t unacknowledged = server_->unacknowledged_connections();
  if ((server_->open_requests() > 0 || unacknowledged > 0) && now < drain.ends()) return;
  drain_timer_.stop();
  LogEvent(LogLevel::kInfo, "router_drained",
           {{"requests_cut", server_->open_requests()}, {"unacknowledged", unacknowledged}});
  if (on_drained_) std::exchange(on_drained_, nullptr)();
}

void ForwardServer::EndExchangesForShutdown() {
  LogEvent(LogLevel::kWarning, "requests_ended_for_shutdown", {{"requests", exchanges_.size()}});
  const auto exchanges = exchanges_;
  for (const auto& exchange : exchanges) exchange->EndForShutdown();
}

}  // namespace kumquat

#include "router.h"

#include <fmt/format.h>

#include <QTimer>
#include <algorithm>
#include <chrono>
#include <utility>

#include "cache_follower.h"
#include "caller_identity.h"
#include "chat_exchange.h"
#include "exchange.h"
#include "protocol/backend_report.h"
#include "protocol/control_messages.h"
#include "protocol/json_fields.h"
#include "router_settings.h"
#include "service_exchange.h"
#include "transport/descriptor_limit.h"
#include "utils/deadline_timer.h"
#include "utils/log.h"
#include "utils/wall_clock.h"

namespace kumquat {
namespace {

constexpr std::size_t kMaxRequestIdBytes = 128;
constexpr std::string_view kServicesPath = "/services/";
// A router that has just started waits for its lease and its picture of the backend servers instead
// of refusing, for this long and at this interval.
constexpr Duration kStartupGrace = std::chrono::seconds(3);
constexpr Duration kSentLoadInterval = std::chrono::milliseconds(100);
constexpr std::int64_t kTicksBetweenEmptyLoads = 10;
constexpr Duration kCacheFollowerInterval = std::chrono::milliseconds(50);
constexpr Duration kReportInterval = std::chrono::seconds(1);
constexpr Duration kStartupRetry = std::chrono::milliseconds(20);
constexpr int kStatusOk = 200;
constexpr int kStatusAccepted = 202;
constexpr int kStatusUnavailable = 503;

void SendText(HttpResponder& responder, int status, std::string_view text) {
  responder.Send(status, {{"Content-Type", "text/plain; charset=utf-8"}}, text);
}

void SendJson(HttpResponder& responder, int status, const QJsonObject& json) {
  responder.Send(status, {{"Content-Type", "application/json"}}, ToJsonText(json));
}

// Whether the caller's own request id may stand in logs and answers.
bool IsUsableId(std::string_view id) {
  if (id.empty() || id.size() > kMaxRequestIdBytes) return false;
  return id.find_first_not_of(
             "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.:") ==
         std::string_view::npos;
}

QTimer* StartTimer(QObject* context, Duration interval, std::function<void()> hook) {
  auto* timer = new QTimer(context);
  QObject::connect(timer, &QTimer::timeout, timer, std::move(hook));
  timer->start(std::chrono::duration_cast<std::chrono::milliseconds>(interval));
  return timer;
}

}  // namespace

Router::Router(const RouterSettings& settings, Clock clock, Random random)
    : settings_(settings),
      clock_(std::move(clock)),
      random_(std::move(random)),
      started_at_(clock_()),
      incarnation_(WallClockMillis()),
      network_(settings.instance, random_),
      answer_memory_(settings.max_answer_bytes),
      request_memory_(settings.max_request_bytes),
      client_(MakeHttpBackendClient(&answer_memory_)),
      control_(settings, incarnation_, clock_, random_),
      membership_(settings, &network_, client_.get(), clock_, random_),
      index_(settings.instance, static_cast<std::size_t>(settings.max_index_entries), &network_,
             &metrics_),
      engines_(&membership_.table(), &index_, clock_, random_),
      directory_(&membership_.table(), clock_),
      queues_(
          FairQueueOptions{.max_waiting = static_cast<std::size_t>(settings.max_queued_requests)},
          [this](const ModelVersion& model) { return engines_.HasRoom(model); }, clock_),
      retry_budget_({}, random_),
      strikes_(
          settings.instance, &network_,
          [this](std::string_view backend_id) {
            return membership_.FirstKeeperOf(std::string(backend_id));
          },
          settings.request_deadline, clock_),
      crashes_(settings.instance, &network_, &membership_, &metrics_, clock_, random_),
      cache_follower_(std::make_unique<CacheFollower>(&membership_, &index_, client_.get(), clock_,
                                                      settings.cache_poll_interval)) {
  services_ = {&settings_, client_.get(),   &control_,      &membership_, &engines_,
               &index_,    &queues_,        &retry_budget_, &strikes_,    &crashes_,
               &metrics_,  &answer_memory_, incarnation_,   clock_,       random_};
  membership_.OnLoadReported([this](const Announcement& engine, Instant measured_at) {
    engines_.LoadReported(engine, measured_at);
    queues_.Drain();
  });
  network_.SetHandler(PeerMessageType::kResync,
                      [this](const std::string& /*from*/, const QJsonObject& body) {
                        cache_follower_->Resync(body["engine"].toString().toStdString());
                      });
  network_.SetHandler(PeerMessageType::kSentLoads,
                      [this](const std::string& from, const QJsonObject& body) {
                        const auto loads = ParseSentLoads(body);
                        if (loads) engines_.PeerSent(from, *loads);
                      });
  membership_.OnBackendDown([this](const std::string& id, std::int64_t incarnation) {
    const auto chats = chats_;
    for (const auto& [key, chat] : chats) chat->OnBackendDown({id, incarnation});
    crashes_.OnBackendDown({id, incarnation});
  });
}

Router::~Router() = default;

bool Router::Start() {
  HttpServerLimits limits;
  limits.max_header_bytes = settings_.max_header_bytes;
  limits.max_body_bytes = settings_.max_body_bytes;
  limits.max_connections = std::min(settings_.max_connections, DescriptorsForCallers(0));
  server_ = HttpServer::Builder()
                .WithLimits(limits)
                .WithAnswerMemory(&answer_memory_)
                .WithRequestMemory(&request_memory_)
                .WithOnRefused([this](CallerRefusal reason) {
                  refusal_log_.Count(&metrics_, CallerRefusalName(reason), clock_());
                })
                .WithHandler(
                    [this](HttpRequest request, const std::shared_ptr<HttpResponder>& responder) {
                      Handle(std::move(request), responder);
                    })
                .WithLimitBody([](int status) {
                  ErrorKind kind = ErrorKind::kHeaderTooLong;
                  if (status == AnswerFor(ErrorKind::kBodyTooLarge).http_status) {
                    kind = ErrorKind::kBodyTooLarge;
                  } else if (status == kStatusUnavailable) {
                    kind = ErrorKind::kOverloaded;
                  }
                  return ErrorBody({kind, "", std::nullopt});
                })
                .Build();
  if (!network_.Listen(settings_.peer_listen)) {
    last_reason_ = network_.last_reason();
    return false;
  }
  if (!server_->Listen(settings_.listen)) {
    last_reason_ = server_->last_reason();
    return false;
  }
  timers_ = std::make_unique<QObject>();
  StartTimer(timers_.get(), ControlClient::kTickInterval, [this] { control_.Tick(); });
  StartTimer(timers_.get(), kCacheFollowerInterval, [this] { cache_follower_->Tick(); });
  StartTimer(timers_.get(), MembershipService::kTickInterval, [this] { TickMembership(); });
  StartTimer(timers_.get(), kSentLoadInterval, [this] { SendSentLoads(); });
  StartTimer(timers_.get(), kReportInterval, [this] { ReportBackends(); });
  LogEvent(LogLevel::kInfo, "router_started",
           {{"listen", settings_.listen.ToString()},
            {"peer_listen", settings_.peer_listen.ToString()},
            {"incarnation", incarnation_}});
  return true;
}

void Router::Drain(std::function<void()> on_drained) {
  if (on_drained_) return;
  LogEvent(LogLevel::kInfo, "draining",
           {{"chats", chats_.size()}, {"service_calls", calls_.size()}});
  on_drained_ = std::move(on_drained);
  membership_.Leave();
  CheckDrained();
}

void Router::CheckDrained() {
  if (!on_drained_ || !chats_.empty() || !calls_.empty()) return;
  if (server_->open_requests() > 0) {
    QTimer::singleShot(MembershipService::kTickInterval / std::chrono::milliseconds(1),
                       [this] { CheckDrained(); });
    return;
  }
  on_drained_();
}

void Router::TickMembership() {
  membership_.Tick();
  strikes_.Tick();
  crashes_.Tick();
  const auto routers = membership_.live_routers();
  engines_.SetRouters(routers.size());
  std::map<std::string, std::int64_t> runs;
  for (const std::string& router : routers) {
    const Member* member = membership_.table().Find(router);
    if (member) runs[router] = member->record.incarnation;
  }
  strikes_.SetRouters(runs);
  if (index_.SetRouters(routers)) cache_follower_->ResyncAll();
  membership_.table().ForEach([this](const Member& member) {
    if (member.record.backend) index_.Observe(member.record.id, member.record.incarnation);
  });
  RequestResyncs();
  queues_.Drain();
  SetGauges();
}

void Router::SendSentLoads() {
  const auto loads = engines_.TakeSentLoads();
  // An empty message only says that this router is there.
  const bool is_due = ++sent_load_ticks_ % kTicksBetweenEmptyLoads == 0;
  if (loads.empty() && !is_due) return;
  const QJsonObject body = ToJson(loads);
  for (const std::string& peer : network_.connected_peers()) {
    network_.Send(peer, PeerMessageType::kSentLoads, body);
  }
}

void Router::ReportBackends() {
  BackendReport report;
  report.router_id = settings_.instance;
  membership_.table().ForEach([&](const Member& member) {
    const MemberRecord& record = member.record;
    const bool is_engine = record.backend && record.backend->kind == BackendKind::kEngine;
    if (!is_engine || record.down || !membership_.IsFirstKeeperOf(record.id)) return;
    report.announcements.push_back(*record.backend);
  });
  std::map<ModelVersion, std::int64_t> demand;
  for (const auto& [key, chat] : chats_) ++demand[chat->model()];
  for (const auto& [model, requests] : demand) report.demand.push_back({model, requests});
  if (report.announcements.empty() && report.demand.empty()) return;
  control_.Call(control_method::kReportBackends, ToJson(report), kReportInterval,
                [](const std::optional<QJsonObject>& /*result*/) {});
}

void Router::RequestResyncs() {
  for (const std::string& engine : index_.shard().needs_resync()) {
    const std::string keeper = membership_.FirstKeeperOf(engine);
    if (keeper == settings_.instance) {
      cache_follower_->Resync(engine);
    } else {
      network_.Send(keeper, PeerMessageType::kResync, {{"engine", ToQString(engine)}});
    }
  }
}

void Router::SetGauges() {
  metrics_.Set("kumquat_requests_in_progress", "",
               static_cast<double>(chats_.size() + calls_.size()));
  metrics_.Set("kumquat_requests_waiting", "", static_cast<double>(queues_.waiting()));
  crashes_.watch().Measure();
  metrics_.Set("kumquat_members", "", static_cast<double>(membership_.table().size()));
  metrics_.Set("kumquat_index_entries", "", static_cast<double>(index_.shard().entries()));
  metrics_.Set("kumquat_peer_bytes", "", static_cast<double>(network_.bytes_transferred()));
  metrics_.Set("kumquat_control_bytes", "", static_cast<double>(control_.bytes_transferred()));
  metrics_.Set("kumquat_lease_renewals", "", static_cast<double>(control_.renewals_sent()));
  metrics_.Set("kumquat_may_serve", "", control_.MayServe() ? 1 : 0);
  metrics_.Set("kumquat_plans_revision", "", static_cast<double>(control_.lists().plans_revision));
  metrics_.Set("kumquat_allowances_revision", "",
               static_cast<double>(control_.lists().allowances_revision));
}

void Router::Handle(HttpRequest request, const Responder& responder) {
  if (HandleOperational(request, responder)) return;
  ExchangeStart start;
  const std::string_view own_id = request.Header("X-Request-Id");
  start.request_id = IsUsableId(own_id) ? std::string(own_id)
                                        : fmt::format("{}-{:016x}", settings_.instance, random_());
  start.received = clock_();
  start.deadline = start.received + settings_.request_deadline;
  start.responder = responder;
  HandleCaller(std::make_shared<const HttpRequest>(std::move(request)), std::move(start));
}

bool Router::HandleOperational(const HttpRequest& request, const Responder& responder) {
  if (request.path == "/healthz") {
    SendText(*responder, kStatusOk, "alive\n");
    return true;
  }
  if (request.path == "/readyz") {
    const bool is_ready = !on_drained_ && control_.MayServe();
    SendText(*responder, is_ready ? kStatusOk : kStatusUnavailable,
             is_ready ? "ready\n" : "not ready\n");
    return true;
  }
  if (request.path == "/metrics") {
    SetGauges();
    SendText(*responder, kStatusOk, metrics_.ToPrometheusText());
    return true;
  }
  if (request.path == "/v1/backends/announce") {
    HandleAnnouncement(request, responder);
    return true;
  }
  return false;
}

void Router::HandleAnnouncement(const HttpRequest& request, const Responder& responder) {
  if (request.method != "POST") {
    SendError(*responder, "", {ErrorKind::kMethodNotAllowed, "", std::nullopt});
    return;
  }
  std::string reason = "The body is not a JSON object.";
  const auto json = ParseJsonObject(request.body);
  const auto announcement = json ? ParseAnnouncement(*json, &reason) : std::nullopt;
  if (!announcement) {
    metrics_.Count("kumquat_announcements_refused_total");
    SendError(*responder, "", {ErrorKind::kAnnouncementInvalid, reason, std::nullopt});
    return;
  }
  membership_.Announce(*announcement);
  SendJson(*responder, kStatusAccepted, {{"router", ToQString(settings_.instance)}});
}

void Router::HandleCaller(const SharedRequest& request, ExchangeStart start) {
  const auto refuse = [&](ErrorKind kind) { Refuse(start, {kind, "", std::nullopt}); };
  const bool is_chat = request->path == "/v1/chat/completions";
  const bool is_models = request->path == "/v1/models";
  const bool is_service = request->path.starts_with(kServicesPath);
  if (!is_chat && !is_models && !is_service) return refuse(ErrorKind::kRouteUnknown);
  if (is_chat && request->method != "POST") return refuse(ErrorKind::kMethodNotAllowed);
  if (is_models && request->method != "GET") return refuse(ErrorKind::kMethodNotAllowed);
  if (on_drained_) return refuse(ErrorKind::kDraining);
  if (!control_.MayServe()) {
    if (IsStarting()) return HandleAgain(request, std::move(start));
    return refuse(ErrorKind::kConfigurationUnconfirmed);
  }
  const auto caller = IdentifyCaller(request->Header("Authorization"), control_.lists());
  if (!caller) return refuse(ErrorKind::kNotAuthenticated);
  start.organisation = caller->organisation->name;
  start.share = caller->allowance->share;
  if (is_models) return HandleModels(start, *caller);
  if (is_chat) return HandleChat(request, std::move(start), *caller);
  HandleService(request, std::move(start), *caller);
}

void Router::Refuse(const ExchangeStart& start, const Error& error) {
  metrics_.Count("kumquat_requests_refused_total",
                 fmt::format("kind=\"{}\"", AnswerFor(error.kind).name));
  SendError(*start.responder, start.request_id, error);
}

bool Router::IsStarting() const { return clock_() - started_at_ < kStartupGrace; }

void Router::HandleAgain(const SharedRequest& request, ExchangeStart start) {
  RunAt(clock_() + kStartupRetry, clock_,
        [this, request, start = std::move(start)] { HandleCaller(request, start); });
}

void Router::HandleModels(const ExchangeStart& start, const Caller& caller) {
  QJsonArray models;
  for (const ModelVersion& model : caller.allowance->models) {
    models.append(QJsonObject{{"id", ToQString(model.CallerName())},
                              {"object", "model"},
                              {"owned_by", ToQString(caller.organisation->plan)},
                              {"version", ToQString(model.version)}});
  }
  SendJson(*start.responder, kStatusOk, {{"object", "list"}, {"data", models}});
}

void Router::HandleChat(const SharedRequest& request, ExchangeStart start, const Caller& caller) {
  std::string reason;
  auto chat = ParseChatRequest(request->body, &reason);
  if (!chat) return Refuse(start, {ErrorKind::kBadRequest, reason, std::nullopt});
  Error error;
  const auto model = FindModel(caller, chat->model_name, control_.lists(), &error);
  if (!model) return Refuse(start, error);
  if (!engines_.IsServed(*model) && IsStarting()) return HandleAgain(request, std::move(start));
  EngineDemand demand;
  demand.model = *model;
  demand.request_class = caller.allowance->replies ? RequestClassOf(request->Header("Priority"))
                                                   : RequestClass::kDraft;
  std::vector<PromptMessage> messages;
  for (const ChatMessage& message : chat->messages) {
    messages.push_back({message.role, message.content});
  }
  demand.prefix = IdentifyPrefix({start.organisation, *model}, messages);
  const std::uint64_t key = ++last_exchange_;
  const auto exchange = std::make_shared<ChatExchange>(services_, std::move(start),
                                                       std::move(*chat), std::move(demand));
  chats_[key] = exchange;
  exchange->Start([this, key] {
    QTimer::singleShot(0, [this, key] {
      chats_.erase(key);
      CheckDrained();
    });
  });
}

void Router::HandleService(const SharedRequest& request, ExchangeStart start,
                           const Caller& caller) {
  const std::string_view whole_path = request->path;
  const std::string_view rest = whole_path.substr(kServicesPath.size());
  const auto slash = rest.find('/');
  const std::string service(rest.substr(0, slash));
  const std::string path{slash == std::string_view::npos ? "/" : rest.substr(slash)};
  const auto& allowed = caller.allowance->services;
  const bool is_allowed = std::find(allowed.begin(), allowed.end(), service) != allowed.end();
  const auto target = directory_.Find(service, request->method, path);
  if (!is_allowed || !target) {
    const ErrorKind kind =
        is_allowed || !target ? ErrorKind::kServiceUnknown : ErrorKind::kServiceNotAllowed;
    SendError(*start.responder, start.request_id, {kind, "", std::nullopt});
    return;
  }
  const std::uint64_t key = ++last_exchange_;
  const auto exchange = std::make_shared<ServiceExchange>(services_, &directory_, std::move(start),
                                                          *request, *target);
  calls_[key] = exchange;
  exchange->Start([this, key] {
    QTimer::singleShot(0, [this, key] {
      calls_.erase(key);
      CheckDrained();
    });
  });
}

}  // namespace kumquat

// The router process: callers' and backend servers' HTTP in front, everything else behind.
#pragma once

#include <QObject>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "control_client.h"
#include "coordination/admission/retry_budget.h"
#include "crash_exchange.h"
#include "engine_selector.h"
#include "index_service.h"
#include "membership_service.h"
#include "model_queues.h"
#include "peer_network.h"
#include "protocol/error_kind.h"
#include "router_services.h"
#include "service_directory.h"
#include "strike_exchange.h"
#include "transport/backend_client.h"
#include "transport/caller_refusal_log.h"
#include "transport/http_server.h"
#include "utils/histogram.h"

namespace kumquat {

class CacheFollower;
class ChatExchange;
class ServiceExchange;
struct Caller;
struct ExchangeStart;
struct RouterSettings;

class Router {
 public:
  // `settings` must outlive the router.
  Router(const RouterSettings& settings, Clock clock, Random random);
  ~Router();

  // Starts to serve; false when an address can't be had, with the reason in last_reason().
  bool Start();

  // Takes no new work and calls the hook once every request in progress has its answer.
  void Drain(std::function<void()> on_drained);

  const std::string& last_reason() const { return last_reason_; }

 private:
  using Responder = std::shared_ptr<HttpResponder>;
  using SharedRequest = std::shared_ptr<const HttpRequest>;

  void Handle(HttpRequest request, const Responder& responder);
  bool HandleOperational(const HttpRequest& request, const Responder& responder);
  void HandleAnnouncement(const HttpRequest& request, const Responder& responder);
  void HandleCaller(const SharedRequest& request, ExchangeStart start);
  void HandleAgain(const SharedRequest& request, ExchangeStart start);
  void HandleModels(const ExchangeStart& start, const Caller& caller);
  void HandleChat(const SharedRequest& request, ExchangeStart start, const Caller& caller);
  void HandleService(const SharedRequest& request, ExchangeStart start, const Caller& caller);
  void Refuse(const ExchangeStart& start, const Error& error);
  bool IsStarting() const;
  void TickMembership();
  void RequestResyncs();
  void SendSentLoads();
  void ReportBackends();
  void SetGauges();
  void CheckDrained();

  const RouterSettings& settings_;
  Clock clock_;
  Random random_;
  Instant started_at_;
  std::int64_t incarnation_;
  Metrics metrics_;
  PeerNetwork network_;
  AnswerMemory answer_memory_;
  RequestMemory request_memory_;
  CallerRefusalLog refusal_log_;
  std::unique_ptr<BackendClient> client_;
  ControlClient control_;
  MembershipService membership_;
  IndexService index_;
  EngineSelector engines_;
  ServiceDirectory directory_;
  ModelQueues queues_;
  RetryBudget retry_budget_;
  StrikeExchange strikes_;
  CrashExchange crashes_;
  std::unique_ptr<CacheFollower> cache_follower_;
  RouterServices services_;
  std::unique_ptr<HttpServer> server_;
  std::map<std::uint64_t, std::shared_ptr<ChatExchange>> chats_;
  std::map<std::uint64_t, std::shared_ptr<ServiceExchange>> calls_;
  std::uint64_t last_exchange_ = 0;
  std::int64_t sent_load_ticks_ = 0;
  std::function<void()> on_drained_;
  std::string last_reason_;
  // Parent of the timers; destroyed first, as their hooks use the rest.
  std::unique_ptr<QObject> timers_;
};

}  // namespace kumquat

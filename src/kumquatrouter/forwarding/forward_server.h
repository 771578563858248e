// A router that forwards HTTP requests to backend servers according to the routing table.
#pragma once

#include <QTimer>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "coordination/forwarding/origin_lookup.h"
#include "coordination/forwarding/router_count.h"
#include "crash_watch.h"
#include "forwarding/control_feed.h"
#include "forwarding/forward_exchange.h"
#include "forwarding/forward_services.h"
#include "forwarding/forward_settings.h"
#include "transport/caller_refusal_log.h"
#include "transport/connect_probe.h"
#include "transport/descriptor_limit.h"
#include "transport/http_server.h"
#include "transport/witnessed_probe.h"
#include "utils/endpoint.h"
#include "utils/loop_watch.h"

namespace kumquat {

class ForwardServer {
 public:
  ForwardServer(ForwardSettings settings, ForwardCodec codec, const Clock& clock,
                const Random& random);
  ~ForwardServer();

  // Starts to listen and connects to control. Returns false if an address can't be listened on;
  // last_reason() tells why.
  bool Start();

  // Shuts down gracefully: reports not ready, later accepts no new connections, lets open requests
  // finish and their answers arrive within the grace period, and then calls `on_drained` once. The
  // grace counts from `asked`, when the process was asked to end.
  void Drain(Instant asked, std::function<void()> on_drained);

  void SetControlSeeds(const std::vector<Endpoint>& seeds) { feed_.SetSeeds(seeds); }

  const std::string& last_reason() const { return last_reason_; }

 private:
  using Responder = std::shared_ptr<HttpResponder>;

  void Handle(HttpRequest request, const Responder& responder);
  void HandleReady(const HttpRequest& request, const Responder& responder) const;
  void HandleMetrics(const HttpRequest& request, const Responder& responder);
  void OnDocument(const Document& document);
  void OnMember(const MemberRecord& record);
  void OnRouterCount(const std::string& replica, std::int64_t routers, std::size_t replicas);
  void OnEngines(const std::string& replica, const EngineNews& news);
  void OnPeerLoads(const RouterLoad& load, std::int64_t routers);
  void ReportLoad();
  void AdvanceMoves();
  void CheckSilentBackends();
  void CancelOutdatedAttempts();
  CrashWatchHooks CrashHooks();
  void Probe(const BackendChoice& backend);
  void OnProbed(const BackendChoice& backend, Instant begun, ProbeVerdict verdict);
  void ApplyLimits(const CallerLimits& limits);
  // Tries to send the waiting requests, in order; only those that wait for `service` if it is
  // given.
  void WakeWaiting(const std::string* service = nullptr);
  void NoteWaiting();
  // Removes the backend servers from the pool that control's member table no longer lists.
  void RemoveDepartedBackends();
  void CheckDrained();
  void EndExchangesForShutdown();
  HttpServerLimits DefaultHttpLimits() const;
  QuotaHolderHooks QuotaHooks();
  OriginLookupHooks OriginHooks();
  void MeasureQuotas();
  std::function<void(CallerRefusal reason)> CountRefusals();

  ForwardSettings settings_;
  std::string last_reason_;
  Metrics metrics_;
  ForwardAdmission admission_;
  RouterCount router_count_;
  RepeatBudget budget_;
  QuotaHolder quotas_;
  ForwardServices services_;
  // Which prompt parts each engine and store is believed to hold; fed by CacheNews from control.
  PartIndex cache_parts_;
  PromptPlacement placement_;
  WeightsLimit weights_limit_;
  AnswerMemory answer_memory_;
  RequestMemory request_memory_;
  CallerRefusalLog refusal_log_;
  std::unique_ptr<BackendClient> client_;
  CrashWatch crash_watch_;
  OriginLookup origins_;
  ControlFeed feed_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<HttpServer> ready_server_;
  std::unique_ptr<HttpServer> metrics_server_;
  std::set<std::shared_ptr<ForwardExchange>> exchanges_;
  Instant started_at_{0};
  std::function<void()> on_drained_;
  Instant load_reported_at_{0};
  QTimer load_timer_;
  QTimer silence_timer_;
  LoopWatch loop_watch_;
  // Connection probes by backend id, of silent backend servers and of those that the pool reports
  // due for a probe. A probe stays here for kProbeCooldown after its result, so that its server
  // isn't probed again at once.
  std::map<std::string, std::unique_ptr<ConnectProbe>> probes_;
  QTimer wake_timer_;
  // Runs only while the routing table has quotas.
  QTimer quota_timer_;
  QTimer removal_timer_;
  QTimer drain_timer_;
};

}  // namespace kumquat

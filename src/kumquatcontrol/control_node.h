// One control replica: the log, its state and its service behind one listening address.
#pragma once

#include <QTimer>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cache_keeper.h"
#include "control_api.h"
#include "coordination/forwarding/stream_origins.h"
#include "coordination/hints/hint_outbox.h"
#include "coordination/hints/wanted_parts.h"
#include "coordination/limits/quota_ledger.h"
#include "coordination/log/replicated_log.h"
#include "coordination/membership/backend_directory.h"
#include "coordination/membership/departure_service.h"
#include "coordination/orders/named_weights.h"
#include "engine_codec.h"
#include "engine_operator.h"
#include "member_flood.h"
#include "protocol/control_news.h"
#include "replica_links.h"
#include "router_desk.h"
#include "state/control/control_state.h"
#include "state/control_service/control_service.h"
#include "state/control_service/document_service.h"
#include "store_watch.h"
#include "suspect_relay.h"
#include "transport/backend_client.h"
#include "transport/caller_refusal_log.h"
#include "transport/frame_link.h"
#include "transport/rpc.h"
#include "utils/endpoint.h"
#include "utils/histogram.h"
#include "utils/hooks.h"

namespace kumquat {

struct ControlNodeOptions {
  // Unique among the replicas. Where membership is open, the listening address is the name instead.
  std::string instance;
  Endpoint listen;
  // The other replicas, where they are named.
  std::vector<NamedEndpoint> peers;
  // The replicas that found the log and through which others are found. Membership is open where
  // there are any.
  std::vector<Endpoint> seeds;
  LogOptions log;
  ControlServiceOptions service;
  // No two replicas may order an engine within this time of each other.
  Duration order_lease = std::chrono::seconds(3);
  // Engines refuse orders under an older fencing number than they have seen.
  bool engines_check_fences = false;
  WeightsRolloutOptions rollout;
  HintLimits hints;
  // Messages a second, to all routers together, about changed backend servers.
  std::int64_t member_messages_per_second = 2000;
  // What the connections of routers and other replicas may take together.
  FrameServerLimits frames;

  bool is_open() const { return !seeds.empty(); }
  std::string log_name() const { return is_open() ? listen.ToString() : instance; }
};

// Replicas talk over links of their own, one each way: JSON-RPC frames carry calls, CBOR frames
// carry the log's messages to a replica and announcements of new revisions from it, and news frames
// the gossip about backend servers. Routers get their news on the connections that they make.
class ControlNode {
 public:
  struct Hooks {
    Random random;
    // Makes the storage of the log; called again after the storage has failed.
    std::function<std::unique_ptr<LogStorage>()> make_storage;
    // Turns a document into the form that routers use; nothing when routers have no use for it.
    std::function<std::optional<Document>(const Document& document)> compile_document;
    // Given where engines are to be ordered to load the weights that documents name.
    std::optional<EngineCodec> engine_codec;
    // Given where the cache events of engines and stores are to be read.
    std::optional<PartEventCodec> cache_codec;
  };

  ControlNode(ControlNodeOptions options, Hooks hooks);

  // Listens, then starts the log; false when the address can't be had or the storage is damaged,
  // with last_reason().
  bool Start();

  // Returns what the edges to backend servers and operators call.
  ControlApi api();

  // Returns the replica's metrics in the Prometheus text format.
  std::string MetricsText();

  // Returns the metrics that MetricsText() renders.
  Metrics& metrics() { return metrics_; }

  // Counts a caller that was refused or whose connection was closed.
  void CountRefusal(CallerRefusal reason);

  // Replaces the seeds.
  void SetSeeds(const std::vector<Endpoint>& seeds);

  const std::string& last_reason() const { return last_reason_; }

 private:
  bool StartLog();
  void RestartLogLater(const std::string& reason);
  std::vector<std::string> MemberNames() const;
  void Received(const std::shared_ptr<FrameConnection>& connection, FrameKind kind,
                std::string_view payload);
  void ReceivedNews(const std::shared_ptr<FrameConnection>& connection, std::string_view payload);
  void CallLeader(std::string_view method, const QJsonObject& params,
                  DocumentServiceHooks::OnResult on_result);
  void Applied(const LogPosition& position, std::string_view answer);
  std::vector<const Document*> CompiledDocuments();
  std::vector<std::string> OtherReplicas() const;
  void UpdateNeighbours();
  void SendGossip(std::span<const std::string> to, const GossipMessage& message);
  void SendToRouters(std::span<const std::string> routers, std::string_view news);
  std::string EncodeGossip(const GossipMessage& message) const;
  void AnnounceRevision(std::int64_t revision);
  void SendOrder(const Announcement& engine, const EngineOrder& order);
  void OrderEnded(std::int64_t fencing_number, std::string_view outcome);
  EngineOperatorHooks OperatorHooks();
  DepartureServiceHooks DepartureHooks();
  void AddDepartureMethod();
  // Marks servers as leaving that the log says have left.
  void MarkDeparted();
  void NoteLeader();
  void NoteNamedWeights();
  bool FormerLeaderIsSilent() const;
  // Visits the engines that are known and not leaving.
  void ForEachEngine(const std::function<void(const MemberRecord& record)>& visit) const;
  // Takes what control itself needs from the routing table.
  void UseRouting(const Document& routing);
  // Answers a router about quotas if this replica leads, once a majority has confirmed that.
  void OnQuotaAsked(const QuotaAsked& asked);
  void ConfirmQuotas();
  void GrantQuotas(bool is_confirmed);
  void ShareCacheSources();
  void TellRouters();
  // Tells routers of the changes of wanted parts.
  void PublishCache(const CacheNews& news);
  // A router wants these parts; what is known of those that nobody wanted before is told to all.
  void OnPartsWanted(const PartsWanted& wanted);
  // Returns the wanted parts of all sources that this replica keeps.
  std::vector<CacheNews> WholeCache();
  void MeasureHints();

  ControlNodeOptions options_;
  Hooks hooks_;
  std::string last_reason_;
  ControlState state_;
  ReplicaLinks links_;
  ControlService service_;
  DocumentService documents_;
  BackendDirectory directory_;
  DepartureService departures_;
  RouterDesk desk_;
  SuspectRelay suspects_;
  // What routers tell of streams that callers may take up elsewhere.
  StreamOrigins streams_;
  Metrics metrics_;
  CallerRefusalLog refusal_log_;
  std::unique_ptr<RpcServer> rpc_;
  std::unique_ptr<FrameServer> server_;
  std::unique_ptr<LogStorage> storage_;
  std::unique_ptr<ReplicatedLog> log_;
  AnswerMemory answer_memory_;
  std::unique_ptr<BackendClient> backend_client_;
  std::unique_ptr<EngineOperator> operator_;
  std::unique_ptr<StoreWatch> stores_;
  std::unique_ptr<CacheKeeper> cache_keeper_;
  std::vector<Endpoint> store_endpoints_;
  MemberFlood member_flood_;
  WantedParts wanted_parts_;
  HintOutbox hints_;
  QuotaLedger quotas_;
  // Messages about quotas that the next confirmation of the leadership answers, and those that the
  // one under way answers.
  std::vector<QuotaAsked> quota_asked_;
  std::vector<QuotaAsked> quota_confirming_;
  // When that confirmation was asked for. Buckets fill up to then and no later: once the majority
  // has acknowledged it, another leader may grant what comes after.
  Instant quota_round_at_{0};
  // How much of the outbox's counts the metrics have.
  HintCounts measured_hints_;
  // A leader and its term.
  struct Leadership {
    std::string name;
    std::uint64_t term = 0;
  };
  // The last two that this replica has known of.
  Leadership leadership_;
  Leadership former_leadership_;
  // Kept when the log is read again, which doesn't tell when they were named.
  NamedWeights named_weights_;
  // What compile_document made of the committed documents, by name.
  std::map<std::string, Document> compiled_;
  // Orders under way, by fencing number.
  std::map<std::int64_t, std::unique_ptr<BackendCall>> orders_;
  QTimer tick_;
  QTimer flush_;
  QTimer gossip_tick_;
  QTimer load_tick_;
  QTimer restart_;
};

}  // namespace kumquat

// kumquat-control: one replica of the system's durable state, on an instance with a disk.
#include <fmt/format.h>

#include <QRandomGenerator>
#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "control_node.h"
#include "platform/configuration.h"
#include "platform/control_edge.h"
#include "platform/engine_edge.h"
#include "state/storage/log_file_storage.h"
#include "transport/descriptor_limit.h"
#include "transport/http_server.h"
#include "transport/process_signals.h"
#include "utils/application.h"
#include "utils/log.h"
#include "utils/log_settings.h"
#include "utils/program.h"
#include "utils/settings.h"
#include "utils/settings_watch.h"

namespace kumquat {
namespace {

constexpr int kExitFailed = 1;
constexpr std::string_view kName = "kumquat-control";
constexpr std::string_view kPurpose =
    "Keeps the plans, the allowances and the claims together with the other replicas, and hands\n"
    "out leases and shares of capacity to the routers.";

// Some heartbeats of a leader that lives, and little against the time that a restart takes.
constexpr Duration kFirstCampaign = std::chrono::milliseconds(400);

struct Settings {
  ControlNodeOptions node;
  std::string failure_domain;
  std::vector<Endpoint> seeds;
  Endpoint http_listen;
  Endpoint metrics_listen;
  std::string data_dir;
  LogSettings log;
  std::int64_t snapshot_entries = 10'000;
  std::int64_t loads_at_once = 2;
  std::int64_t voters = 5;
  std::int64_t memory_mb = 256;
  std::int64_t max_descriptors = 0;
};

constexpr std::int64_t kMegabyte = 1024 * 1024;
// Requests, and answers that their callers haven't read, may each take the process's memory limit
// divided by this. The log, its state and the links to routers need most of it.
constexpr std::int64_t kCallerMemoryDivisor = 8;
// Of the connections that callers may hold, backend servers and operators get one of so many; the
// others are those of routers and replicas.
constexpr std::int64_t kHttpConnectionsDivisor = 2;

// What callers of this process's HTTP addresses may take.
class CallerLimitsOfProcess {
 public:
  CallerLimitsOfProcess(const Settings& settings, ControlNode* node)
      : requests_(settings.memory_mb * kMegabyte / kCallerMemoryDivisor),
        answers_(settings.memory_mb * kMegabyte / kCallerMemoryDivisor),
        max_connections_(DescriptorsForCallers(settings.max_descriptors) / kHttpConnectionsDivisor),
        node_(node) {}

  platform::ControlEdgeResources ForEdge() {
    return {&requests_, &answers_, max_connections_, OnRefused()};
  }

  RequestMemory* requests() { return &requests_; }
  AnswerMemory* answers() { return &answers_; }

  std::function<void(CallerRefusal reason)> OnRefused() const {
    return [node = node_](CallerRefusal reason) { node->CountRefusal(reason); };
  }

 private:
  RequestMemory requests_;
  AnswerMemory answers_;
  std::int64_t max_connections_;
  ControlNode* node_;
};

// What connections at the port of routers and replicas may take: the same parts of the memory as
// HTTP callers, and no more connections than a quarter of it has receive buffers for. They get half
// of the descriptors, as each router and replica needs one here, and a second while it links anew.
FrameServerLimits FrameLimitsOfProcess(const Settings& settings) {
  constexpr std::int64_t kReceiveBufferDivisor = 4;
  const std::int64_t memory = settings.memory_mb * kMegabyte;
  FrameServerLimits limits;
  limits.max_partial_bytes = memory / kCallerMemoryDivisor;
  limits.max_waiting_bytes = memory / kCallerMemoryDivisor;
  limits.max_connections = std::min(DescriptorsForCallers(settings.max_descriptors),
                                    memory / kReceiveBufferDivisor / kFrameReceiveBufferBytes);
  return limits;
}

void Declare(Settings* settings, SettingsReader* reader) {
  ControlNodeOptions& node = settings->node;
  reader->Add("instance", &node.instance, "This replica's name, unique among the replicas.")
      .Required();
  reader->Add("seeds", &settings->seeds,
              "Replicas through which others are found, instead of peers; the port of listen is "
              "that of every replica.");
  reader->Add("found", &node.log.may_found_cluster,
              "Whether this replica may take part in the founding of an empty cluster.");
  reader->Add("voters", &settings->voters, {1, 7}, "Voters of a cluster that is made by seeds.");
  reader->Add("http_listen", &settings->http_listen,
              "Where backend servers and operators of the users' platform reach this replica.");
  reader->Add("metrics_listen", &settings->metrics_listen, "Where the metrics are served.");
  reader->Add("failure_domain", &settings->failure_domain, "The failure domain of this instance.")
      .Required();
  reader->Add("listen", &node.listen, "The address that routers and other replicas connect to.")
      .Required();
  reader->Add("peers", &node.peers, "The other replicas, where there are no seeds.");
  reader->Add("data_dir", &settings->data_dir, "The folder of the durable state.").Required();
  AddLogSettings(*reader, &settings->log);
  reader->Add("lease_ms", &node.service.lease, {500, 5000},
              "How long a router may serve by an answer.");
  reader->Add("heartbeat_ms", &node.log.heartbeat_interval, {10, 1000},
              "Time between the leader's heartbeats.");
  reader->Add("election_shortest_ms", &node.log.election_timeout_min, {100, 10'000},
              "Shortest silence of the leader before an election.");
  reader->Add("election_longest_ms", &node.log.election_timeout_max, {200, 20'000},
              "Longest silence of the leader before an election.");
  reader->Add("loads_at_once", &settings->loads_at_once, {1, 1000},
              "Engines that may load weights at the same time.");
  reader->Add("order_lease_ms", &node.order_lease, {100, 60'000},
              "No two replicas order an engine of the users' platform within this time.");
  reader->Add("weights_longest_lag_ms", &node.rollout.longest_lag, {1000, 600'000},
              "Engines are ordered to load newer weights well within this time.");
  reader->Add(
      "engines_check_fences", &node.engines_check_fences,
      "Whether engines of the users' platform refuse an order under an older fencing number; "
      "then a new leader doesn't wait for the lease of one that is dead.");
  reader->Add("member_messages_per_second", &node.member_messages_per_second, {10, 1'000'000},
              "Messages a second, to all routers together, about changed backend servers.");
  reader->Add("hint_messages_per_second", &node.hints.messages_per_second, {10, 1'000'000},
              "Messages a second, to all routers together, about cached parts and loads.");
  reader->Add("hint_bytes_per_second", &node.hints.bytes_per_second, {10'000, 1'000'000'000},
              "Bytes a second of these messages.");
  reader->Add("order_message_life_ms", &node.service.orders.max_message_lifetime, {500, 60'000},
              "Longest time from sending an order to its last possible effect.");
  reader->Add("memory_mb", &settings->memory_mb, {64, 1'000'000},
              "Memory that this process may use, in megabytes.");
  reader->Add("max_descriptors", &settings->max_descriptors, {0, 1'000'000},
              "Descriptors that this process may have open; 0 for the limit that it is started "
              "with. Callers get a part of them.");
  reader->Add("snapshot_entries", &settings->snapshot_entries, {10, 1'000'000},
              "Entries of the log after which a snapshot is taken.");
}

Random SystemRandom() {
  return [] { return QRandomGenerator::system()->generate64(); };
}

// Returns where the replicas of these addresses talk to each other: at the same port everywhere.
std::vector<Endpoint> ReplicasAt(std::vector<Endpoint> addresses, std::uint16_t port) {
  for (Endpoint& address : addresses) address.port = port;
  return addresses;
}

ControlNode::Hooks NodeHooks(const std::string& data_dir) {
  ControlNode::Hooks hooks;
  hooks.random = SystemRandom();
  hooks.make_storage = [data_dir] {
    return std::make_unique<LogFileStorage>(data_dir, SystemRandom());
  };
  hooks.compile_document = platform::CompileDocument;
  hooks.engine_codec = platform::MakeEngineCodec();
  hooks.cache_codec = platform::MakePartEventCodec();
  return hooks;
}

// Of all settings only the seeds may change while the replica runs.
void ReloadSeeds(ControlNode& node) {
  Settings settings;
  SettingsReader reader;
  Declare(&settings, &reader);
  if (!reader.ReadFile(SettingsPath())) {
    LogEvent(LogLevel::kError, "settings_refused", {{"reason", reader.last_reason()}});
    return;
  }
  LogEvent(LogLevel::kInfo, "settings_reloaded", {{"seeds", settings.seeds.size()}});
  node.SetSeeds(ReplicasAt(settings.seeds, settings.node.listen.port));
}

std::unique_ptr<HttpServer> MetricsServer(ControlNode& node, CallerLimitsOfProcess& callers) {
  const auto answer = [&node](const HttpRequest&, const std::shared_ptr<HttpResponder>& responder) {
    responder->Send(200, {{"Content-Type", std::string(kMetricsContentType)}}, node.MetricsText());
  };
  return HttpServer::Builder()
      .WithLimits(QuestionLimits())
      .WithRequestMemory(callers.requests())
      .WithAnswerMemory(callers.answers())
      .WithOnRefused(callers.OnRefused())
      .WithHandler(answer)
      .Build();
}

int Main(int argc, char** argv) {
  Settings settings;
  SettingsReader reader;
  Declare(&settings, &reader);
  if (const auto status = StartProgram(&argc, &argv, kName, KUMQUAT_VERSION, kPurpose, reader)) {
    return *status;
  }
  settings.node.log.snapshot_after_entries = static_cast<std::uint64_t>(settings.snapshot_entries);
  settings.node.service.orders.loads_at_once = static_cast<std::size_t>(settings.loads_at_once);
  ApplyLogSettings(settings.node.instance, settings.log);
  settings.node.frames = FrameLimitsOfProcess(settings);
  settings.node.seeds = ReplicasAt(settings.seeds, settings.node.listen.port);
  if (settings.node.is_open()) {
    settings.node.log.open_membership_voters = static_cast<std::size_t>(settings.voters);
    // Routers that forward by the routing table hold no lease and prove no outage, so that nothing
    // rests on a quiet start; requests are refused until a leader has told routers the table.
    settings.node.log.startup_quiet_period = Duration(0);
    settings.node.log.first_election_timeout_max = kFirstCampaign;
  }
  Application application(argc, argv);
  ControlNode node(settings.node, NodeHooks(settings.data_dir));
  SettingsWatch watch(SettingsPath(), [&node] { ReloadSeeds(node); });
  // All that was acknowledged is synced, so there is nothing to wait for at the end.
  const ProcessSignals signals([](Instant /*came*/) { QCoreApplication::quit(); },
                               [&watch] { watch.Check(); });
  if (!node.Start()) {
    fmt::print(stderr, "{}: {}\n", kName, node.last_reason());
    return kExitFailed;
  }
  CallerLimitsOfProcess callers(settings, &node);
  std::unique_ptr<platform::ControlEdge> edge;
  if (settings.http_listen.port != 0) {
    edge = std::make_unique<platform::ControlEdge>(node.api(), callers.ForEdge());
    if (!edge->Listen(settings.http_listen)) {
      fmt::print(stderr, "{}: {}\n", kName, edge->last_reason());
      return kExitFailed;
    }
  }
  const auto metrics = MetricsServer(node, callers);
  if (settings.metrics_listen.port != 0 && !metrics->Listen(settings.metrics_listen)) {
    fmt::print(stderr, "{}: {}\n", kName, metrics->last_reason());
    return kExitFailed;
  }
  LogEvent(
      LogLevel::kInfo, "control_started",
      {{"listen", settings.node.listen.ToString()}, {"failure_domain", settings.failure_domain}});
  const int status = application.Run();
  LogEvent(LogLevel::kInfo, "control_stopped");
  return status;
}

}  // namespace
}  // namespace kumquat

int main(int argc, char** argv) {
  kumquat::ProcessSignals::Take();
  return kumquat::Main(argc, argv);
}

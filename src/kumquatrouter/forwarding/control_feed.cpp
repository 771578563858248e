#include "forwarding/control_feed.h"

#include <algorithm>
#include <utility>

#include "protocol/json_fields.h"
#include "utils/log.h"
#include "utils/rendezvous.h"

namespace kumquat {
namespace {

constexpr std::chrono::milliseconds kHelloInterval{1000};
// A replica that isn't a seed is dropped if for this long no replica has named it and it has sent
// nothing.
constexpr Duration kForgetReplicaAfter = std::chrono::seconds(30);
// How many replicas keep the record of a stream: one more than may be lost at once.
constexpr std::size_t kStreamReplicas = 3;

// Removes this router's own part from sums of loads.
void Subtract(const std::map<std::string, EngineLoad>& own_loads, std::vector<EngineLoad>* sums) {
  for (EngineLoad& sum : *sums) {
    const auto own = own_loads.find(sum.engine);
    if (own == own_loads.end() || own->second.incarnation != sum.incarnation) continue;
    sum.tokens = std::max<std::int64_t>(0, sum.tokens - own->second.tokens);
    sum.urgent_tokens = std::max<std::int64_t>(0, sum.urgent_tokens - own->second.urgent_tokens);
    sum.held_tokens = std::max<std::int64_t>(0, sum.held_tokens - own->second.held_tokens);
  }
}

}  // namespace

ControlFeed::ControlFeed(ControlFeedOptions options, ControlFeedHooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      directory_({hooks_.clock, hooks_.random,
                  [this](std::span<const std::string> to, const GossipMessage& message) {
                    SendGossip(to, message);
                  },
                  [this](const MemberRecord& record) { hooks_.on_member(record); }}) {
  QObject::connect(&hello_timer_, &QTimer::timeout, &hello_timer_, [this] {
    for (const auto& [endpoint, replica] : replicas_) SendHello(*replica.link);
    DropUnknownReplicas();
    directory_.Tick();
  });
}

void ControlFeed::SendGossip(std::span<const std::string> to, const GossipMessage& message) {
  const std::string news = Encode(MemberNews{options_.router, ToJsonText(ToJson(message))});
  for (const std::string& address : to) {
    const auto endpoint = ParseEndpoint(address);
    const auto replica = endpoint ? replicas_.find(*endpoint) : replicas_.end();
    if (replica != replicas_.end()) replica->second.link->Send(FrameKind::kNews, news);
  }
}

void ControlFeed::Start() {
  for (const Endpoint& seed : options_.seeds) LinkTo(seed);
  hello_timer_.start(kHelloInterval);
}

void ControlFeed::SetSeeds(const std::vector<Endpoint>& seeds) {
  options_.seeds = seeds;
  for (const Endpoint& seed : options_.seeds) LinkTo(seed);
}

std::int64_t ControlFeed::VersionOf(const std::string& document) const {
  const auto found = versions_.find(document);
  return found != versions_.end() ? found->second : 0;
}

std::int64_t ControlFeed::connected_replicas() const {
  return std::count_if(replicas_.begin(), replicas_.end(),
                       [](const auto& entry) { return entry.second.link->connected(); });
}

void ControlFeed::LinkTo(const Endpoint& endpoint) {
  const auto [entry, is_new] = replicas_.try_emplace(endpoint);
  Replica& replica = entry->second;
  replica.last_seen_at = hooks_.clock();
  if (!is_new) return;
  replica.link = MakeFrameLink(
      endpoint,
      [this, endpoint](FrameKind kind, std::string_view payload) {
        OnFrame(endpoint, kind, payload);
      },
      hooks_.random);
  replica.link->OnConnectedChanged([this, endpoint](bool connected) {
    LogEvent(LogLevel::kInfo, connected ? "control_connected" : "control_lost",
             {{"replica", endpoint.ToString()}});
    if (!connected) hooks_.on_replica_lost(endpoint.ToString());
    const auto found = replicas_.find(endpoint);
    if (connected && found != replicas_.end()) SendHello(*found->second.link);
    // Another replica may keep this router's streams now, and one that has started has none.
    ReportStreams(hooks_.streams());
  });
}

void ControlFeed::SendHello(FrameLink& link) const {
  const RouterHello hello{options_.router, options_.failure_domain,     options_.incarnation,
                          versions_,       directory_.table().digest(), hooks_.clock()};
  link.Send(FrameKind::kNews, Encode(hello));
  link.Send(FrameKind::kNews, Encode(hooks_.suspect_summary()));
  const TrialNews trials = hooks_.trial_summary();
  if (!trials.trials.empty() || !trials.crashes.empty()) {
    link.Send(FrameKind::kNews, Encode(trials));
  }
}

void ControlFeed::OnFrame(const Endpoint& replica, FrameKind kind, std::string_view payload) {
  if (kind != FrameKind::kNews) return;
  const auto news = DecodeControlNews(payload);
  if (!news) {
    LogEvent(LogLevel::kWarning, "news_malformed", {{"replica", replica.ToString()}});
    return;
  }
  replicas_[replica].last_seen_at = hooks_.clock();
  std::visit([&](const auto& one) { Receive(replica, one); }, *news);
}

void ControlFeed::Receive(const Endpoint& /*replica*/, const RouterHello& /*news*/) {}

void ControlFeed::Receive(const Endpoint& /*replica*/, const DocumentNews& news) {
  for (const Document& document : news.documents) {
    std::int64_t& version = versions_[document.name];
    if (document.version <= version) continue;
    version = document.version;
    hooks_.on_document(document);
  }
}

void ControlFeed::Receive(const Endpoint& replica, const MemberNews& news) {
  std::string reason;
  const auto message = ParseGossipMessage(news.json, &reason);
  if (!reason.empty()) {
    LogEvent(LogLevel::kWarning, "gossip_dropped",
             {{"from", replica.ToString()}, {"reason", reason}});
  }
  if (message) directory_.Receive(replica.ToString(), *message);
}

void ControlFeed::Receive(const Endpoint& replica, const FleetNews& news) {
  for (const std::string& address : news.replicas) {
    if (const auto endpoint = ParseEndpoint(address)) LinkTo(*endpoint);
  }
  hooks_.on_answered(replica.ToString(), news.greeted_at, news.answered_at);
  hooks_.on_routers(replica.ToString(), news.routers, replicas_.size());
  hooks_.on_stores(news.stores);
}

void ControlFeed::Receive(const Endpoint& replica, const EngineNews& news) {
  hooks_.on_engines(replica.ToString(), news);
}

void ControlFeed::Receive(const Endpoint& replica, const CacheNews& news) {
  if (hooks_.on_cache(news)) return;
  const CacheWanted wanted{options_.router, news.source};
  replicas_[replica].link->Send(FrameKind::kNews, Encode(wanted));
}

void ControlFeed::Receive(const Endpoint& /*replica*/, const CacheWanted& /*news*/) {}

void ControlFeed::Receive(const Endpoint& replica, const LoadNews& news) {
  for (const RouterLoad& load : news.routers) {
    if (load.router != options_.router) continue;
    auto& own_loads = replicas_[replica].own_loads.emplace();
    for (const EngineLoad& engine : load.engines) own_loads[engine.engine] = engine;
  }
}

void ControlFeed::Receive(const Endpoint& replica, const SuspectNews& news) {
  const auto answer = hooks_.on_suspects(news);
  if (answer) replicas_[replica].link->Send(FrameKind::kNews, Encode(*answer));
}

void ControlFeed::Receive(const Endpoint& replica, const HintNews& news) {
  for (const CacheNews& cache : news.cache) Receive(replica, cache);
  const auto own_loads = std::exchange(replicas_[replica].own_loads, std::nullopt);
  RouterLoad others{replica.ToString(), news.loads};
  if (own_loads) Subtract(*own_loads, &others.engines);
  hooks_.on_load(others, news.routers - (own_loads ? 1 : 0));
}

void ControlFeed::Receive(const Endpoint& /*replica*/, const PartsWanted& /*news*/) {}

void ControlFeed::Receive(const Endpoint& /*replica*/, const QuotaAsked& /*news*/) {}

void ControlFeed::Receive(const Endpoint& replica, const QuotaGranted& news) {
  quota_leader_ = replica;
  quota_unanswered_since_.reset();
  hooks_.on_quota(news);
}

void ControlFeed::Receive(const Endpoint& /*replica*/, const TrialNews& news) {
  hooks_.on_trials(news);
}

void ControlFeed::Receive(const Endpoint& /*replica*/, const StreamNews& /*news*/) {}

void ControlFeed::Receive(const Endpoint& /*replica*/, const StreamAsked& /*news*/) {}

void ControlFeed::Receive(const Endpoint& /*replica*/, const StreamTold& news) {
  hooks_.on_stream(news);
}

void ControlFeed::ReportStreams(const std::vector<StreamRecord>& streams) {
  if (streams.empty()) return;
  const std::string encoded = Encode(StreamNews{streams});
  for (const std::string& replica :
       RendezvousTop(options_.router, ConnectedReplicas(), kStreamReplicas)) {
    replicas_.at(*ParseEndpoint(replica)).link->Send(FrameKind::kNews, encoded);
  }
}

std::size_t ControlFeed::AskStream(std::int64_t number, const std::string& key) {
  SendToAll(StreamAsked{options_.router, number, key});
  return static_cast<std::size_t>(connected_replicas());
}

void ControlFeed::AskQuota(const QuotaAsked& asked) {
  const Instant now = hooks_.clock();
  if (!quota_unanswered_since_) quota_unanswered_since_ = now;
  const bool is_silent = now - *quota_unanswered_since_ >= kQuotaAnswerTimeout;
  const auto leader = quota_leader_ ? replicas_.find(*quota_leader_) : replicas_.end();
  if (!is_silent && leader != replicas_.end() && leader->second.link->connected()) {
    leader->second.link->Send(FrameKind::kNews, Encode(asked));
    return;
  }
  SendToAll(asked);
}

void ControlFeed::ReportInterest(const std::vector<std::uint64_t>& keys) {
  SendToAll(PartsWanted{keys});
}

void ControlFeed::ReportSuspects(const ControlNews& news) { SendToAll(news); }

void ControlFeed::SendToAll(const ControlNews& news) {
  const std::string encoded = Encode(news);
  for (const auto& [endpoint, replica] : replicas_) {
    if (replica.link->connected()) replica.link->Send(FrameKind::kNews, encoded);
  }
}

std::vector<std::string> ControlFeed::ConnectedReplicas() const {
  std::vector<std::string> connected;
  for (const auto& [endpoint, replica] : replicas_) {
    if (replica.link->connected()) connected.push_back(endpoint.ToString());
  }
  return connected;
}

// Returns the connection to the replica that relays this router's load reports; null if none is
// connected. Rendezvous hashing spreads the routers over the replicas.
FrameLink* ControlFeed::LoadRelayLink() {
  const std::vector<std::string> connected = ConnectedReplicas();
  if (connected.empty()) return nullptr;
  const auto relay = ParseEndpoint(RendezvousTop(options_.router, connected, 1).front());
  return replicas_.at(*relay).link.get();
}

void ControlFeed::ReportLoad(const std::vector<EngineLoad>& engines) {
  FrameLink* relay = LoadRelayLink();
  if (relay) relay->Send(FrameKind::kNews, Encode(LoadNews{{{options_.router, engines}}}));
}

void ControlFeed::DropUnknownReplicas() {
  const Instant now = hooks_.clock();
  std::erase_if(replicas_, [&](const auto& entry) {
    const auto& seeds = options_.seeds;
    const bool is_seed = std::find(seeds.begin(), seeds.end(), entry.first) != seeds.end();
    return !is_seed && now - entry.second.last_seen_at > kForgetReplicaAfter;
  });
}

}  // namespace kumquat

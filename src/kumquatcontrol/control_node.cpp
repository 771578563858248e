#include "control_node.h"

#include <QCborMap>
#include <QCborValue>
#include <algorithm>
#include <set>
#include <utility>

#include "protocol/control_messages.h"
#include "protocol/engine_messages.h"
#include "protocol/json_fields.h"
#include "protocol/routing_table.h"
#include "utils/log.h"
#include "utils/rendezvous.h"

namespace kumquat {
namespace {

constexpr std::chrono::milliseconds kTickInterval{20};
constexpr std::chrono::milliseconds kGossipInterval{500};
// What routers tell of their load is passed on this often: sooner than a prompt of usual size is
// read, so that two routers seldom choose the same engine unawares.
constexpr std::chrono::milliseconds kLoadInterval{40};
// Bytes kept of the answers of all engines and stores together; one may have several megabytes.
constexpr std::int64_t kMaxAnswerBytes = 32 * 1024 * 1024;
// A replica whose disk failed tries it again after this long; until then it neither votes nor
// acknowledges.
constexpr std::chrono::milliseconds kDiskRetryInterval{1000};
// An order that is silent for longer is given up, well within the longest life of a message.
constexpr Duration kOrderSilence = std::chrono::seconds(2);
// A replica that answers none of several heartbeats is dead, frozen or cut off.
constexpr Duration kLeaderSilence = std::chrono::milliseconds(400);
constexpr Duration kLeaderCallTimeout = std::chrono::milliseconds(600);
// Replicas of one region answer within milliseconds; a later answer still counts.
constexpr Duration kDepartureCallTimeout = DepartureService::kPatience;
// Before the name of a router among the gossip's neighbours; replicas have plain names.
constexpr std::string_view kRouterPrefix = "router/";

}  // namespace

ControlNode::ControlNode(ControlNodeOptions options, Hooks hooks)
    : options_(std::move(options)),
      hooks_(std::move(hooks)),
      links_(options_.peers, options_.is_open(), hooks_.random),
      service_(options_.service,
               {SteadyClock(),
                [this](std::string_view name) {
                  if (name != options_.log_name()) return links_.AddressOf(name);
                  return options_.log_name() + "@" + options_.listen.ToString();
                },
                [this](std::int64_t revision) { AnnounceRevision(revision); },
                [this](const Announcement& engine, const EngineOrder& order) {
                  SendOrder(engine, order);
                }},
               &state_),
      documents_({SteadyClock(),
                  [this](std::string_view method, const QJsonObject& params,
                         DocumentServiceHooks::OnResult on_result) {
                    CallLeader(method, params, std::move(on_result));
                  },
                  [this] { return log_ ? log_->applied_index() : 0; }},
                 &state_),
      directory_({SteadyClock(),
                  hooks_.random,
                  [this](std::span<const std::string> to, const GossipMessage& message) {
                    SendGossip(to, message);
                  },
                  {}}),
      departures_(DepartureHooks(), &directory_),
      desk_({SteadyClock(), [this] { return CompiledDocuments(); },
             [this] { return directory_.table().digest(); },
             [this](const std::string& router) {
               directory_.SyncWith(std::string(kRouterPrefix) + router);
             },
             [this](const std::string& router) { hints_.Forget(router); },
             [this] {
               std::vector<std::string> replicas = OtherReplicas();
               replicas.push_back(options_.listen.ToString());
               return replicas;
             },
             [this] {
               std::map<std::string, bool> stores;
               if (!stores_) return stores;
               for (const auto& [store, is_alive] : stores_->alive()) {
                 stores[store.ToString()] = is_alive;
               }
               return stores;
             }}),
      suspects_(SteadyClock()),
      rpc_(MakeRpcServer()),
      answer_memory_(kMaxAnswerBytes),
      backend_client_(MakeHttpBackendClient(&answer_memory_)),
      member_flood_(options_.member_messages_per_second,
                    [this](std::span<const std::string> routers, const GossipMessage& message) {
                      SendToRouters(routers, EncodeGossip(message));
                    }),
      hints_(options_.hints,
             {[this](const std::string& router) { return desk_.WaitingBytes(router); },
              [this](const std::string& router, std::string_view news) {
                desk_.SendEncoded(router, news);
              },
              [this] { return WholeCache(); }}) {
  service_.AddMethods(rpc_.get());
  AddDepartureMethod();
  server_ = MakeFrameServer(
      [this](const std::shared_ptr<FrameConnection>& connection, FrameKind kind,
             std::string_view payload) { Received(connection, kind, payload); },
      FrameLimits{}, options_.frames, [this](CallerRefusal reason) { CountRefusal(reason); });
  if (hooks_.engine_codec) {
    EngineOperatorOptions operator_options;
    operator_options.holder = options_.log_name();
    operator_options.lease = options_.order_lease;
    operator_options.engines_check_fences = options_.engines_check_fences;
    operator_options.rollout = options_.rollout;
    operator_ = std::make_unique<EngineOperator>(operator_options, OperatorHooks(),
                                                 *hooks_.engine_codec, backend_client_.get());
  }
  if (hooks_.cache_codec) {
    stores_ = std::make_unique<StoreWatch>(*hooks_.cache_codec, backend_client_.get(),
                                           [this] { desk_.PushFleet(); });
    cache_keeper_ =
        std::make_unique<CacheKeeper>(*hooks_.cache_codec, backend_client_.get(),
                                      [this](const CacheNews& news) { PublishCache(news); });
  }
  flush_.setSingleShot(true);
  restart_.setSingleShot(true);
  QObject::connect(&flush_, &QTimer::timeout, &flush_, [this] {
    if (log_) log_->Flush();
  });
  QObject::connect(&tick_, &QTimer::timeout, &tick_, [this] {
    if (log_) log_->Tick();
    NoteLeader();
    NoteNamedWeights();
    service_.Tick();
    documents_.Tick();
    departures_.Tick();
    if (operator_) operator_->Tick();
  });
  QObject::connect(&gossip_tick_, &QTimer::timeout, &gossip_tick_, [this] {
    UpdateNeighbours();
    MarkDeparted();
    directory_.Tick();
    ShareCacheSources();
  });
  QObject::connect(&load_tick_, &QTimer::timeout, &load_tick_, [this] { TellRouters(); });
  QObject::connect(&restart_, &QTimer::timeout, &restart_, [this] {
    if (!StartLog()) RestartLogLater(last_reason_);
  });
}

EngineOperatorHooks ControlNode::OperatorHooks() {
  EngineOperatorHooks hooks;
  hooks.clock = SteadyClock();
  hooks.term = [this]() -> std::optional<std::int64_t> {
    if (!log_ || log_->role() != LogRole::kLeader) return std::nullopt;
    return static_cast<std::int64_t>(log_->term());
  };
  hooks.confirm = [this](std::function<void(bool confirmed)> done) {
    log_->ConfirmLeadership(std::move(done));
  };
  hooks.engines = [this] {
    std::vector<RolloutEngine> engines;
    ForEachEngine([&engines](const MemberRecord& record) {
      RolloutEngine engine;
      engine.id = record.id;
      engine.incarnation = record.incarnation;
      engine.endpoint = record.endpoint;
      for (const ModelVersion& model : record.backend->models) {
        engine.weights[model.model] = model.VersionNumber();
      }
      engines.push_back(std::move(engine));
    });
    return engines;
  };
  hooks.named = &named_weights_;
  hooks.metrics = &metrics_;
  hooks.former_leader_is_silent = [this] { return FormerLeaderIsSilent(); };
  hooks.publish = [this](const EngineNews& news) { desk_.SendAll(news); };
  return hooks;
}

DepartureServiceHooks ControlNode::DepartureHooks() {
  DepartureServiceHooks hooks;
  hooks.clock = SteadyClock();
  hooks.self = options_.log_name();
  hooks.voters = [this] {
    std::vector<std::string> names;
    if (!log_) return names;
    for (const ReplicaId& voter : log_->voters()) names.push_back(voter.name);
    return names;
  };
  hooks.in_contact = [this] { return log_ && log_->in_contact(); };
  hooks.record = [this](const Departure& departure, std::function<void(bool recorded)> done) {
    documents_.Record(departure, std::move(done));
  };
  hooks.ask = [this](const std::string& replica, const DepartureRequest& request,
                     const DepartureServiceHooks::OnAnswer& on_answer) {
    links_.Call(replica, control_method::kHoldDeparture, ToJson(request), kDepartureCallTimeout,
                [on_answer](const std::optional<QJsonObject>& result) {
                  on_answer(result ? ParseDepartureAnswer(*result) : std::nullopt);
                });
  };
  return hooks;
}

void ControlNode::AddDepartureMethod() {
  rpc_->AddMethod(control_method::kHoldDeparture,
                  [this](const QJsonObject& params, const RpcReply& reply) {
                    const auto request = ParseDepartureRequest(params);
                    if (!request) {
                      LogEvent(LogLevel::kWarning, "departure_request_malformed");
                      return;
                    }
                    reply(ToJson(departures_.OnAsked(*request)));
                  });
}

// What was announced before the log was read, or came from a process that doesn't know the
// departure, must not stay in the table as ready.
void ControlNode::MarkDeparted() {
  state_.departures().ForEach([this](const Departure& departure) {
    const Member* member = directory_.table().Find(departure.backend_id);
    const bool is_wrong =
        member && !member->record.leaving && member->record.incarnation <= departure.incarnation;
    if (!is_wrong) return;
    LogEvent(LogLevel::kInfo, "departed_server_announced",
             {{"backend", departure.backend_id}, {"incarnation", member->record.incarnation}});
    directory_.Leave(departure.backend_id);
  });
}

void ControlNode::NoteLeader() {
  const auto leader = log_ ? log_->leader() : std::nullopt;
  if (!leader || log_->term() == leadership_.term) return;
  former_leadership_ = std::exchange(leadership_, {leader->name, log_->term()});
}

void ControlNode::NoteNamedWeights() {
  for (const auto& [name, document] : state_.documents().documents()) {
    if (!name.starts_with(kWeightsDocumentPrefix)) continue;
    const std::string model = name.substr(kWeightsDocumentPrefix.size());
    if (document.version <= named_weights_.Newest(model)) continue;
    named_weights_.Learn(model, document.version, SteadyClock()());
    LogEvent(LogLevel::kInfo, "weights_named", {{"weights", name}, {"version", document.version}});
  }
}

void ControlNode::CountRefusal(CallerRefusal reason) {
  refusal_log_.Count(&metrics_, CallerRefusalName(reason), SteadyClock()());
}

std::string ControlNode::MetricsText() {
  const bool leads = log_ && log_->role() == LogRole::kLeader;
  metrics_.Set("kumquat_control_leads", {}, leads ? 1 : 0);
  metrics_.Set("kumquat_control_log_bytes", {},
               log_ ? static_cast<double>(log_->status().entry_bytes) : 0);
  metrics_.Set("kumquat_routers_linked", {}, static_cast<double>(desk_.LiveRouters().size()));
  suspects_.Measure(&metrics_);
  MeasureHints();
  if (operator_) operator_->Measure();
  return metrics_.ToPrometheusText();
}

// Whether the term before this one had a leader, and which, is known only where no term lies
// between.
bool ControlNode::FormerLeaderIsSilent() const {
  if (!log_ || former_leadership_.term == 0) return false;
  if (former_leadership_.term + 1 != log_->term()) return false;
  if (former_leadership_.name == options_.log_name()) return true;
  bool is_known = false;
  for (const LogStatus::Peer& peer : log_->status().peers) {
    if (peer.id.name != former_leadership_.name) continue;
    is_known = true;
    if (peer.silent_for < kLeaderSilence) return false;
  }
  return is_known;
}

void ControlNode::ForEachEngine(
    const std::function<void(const MemberRecord& record)>& visit) const {
  directory_.table().ForEach([&visit](const Member& member) {
    const MemberRecord& record = member.record;
    const bool is_engine = record.backend && !record.backend->models.empty();
    if (is_engine && !record.leaving) visit(record);
  });
}

std::vector<std::string> ControlNode::MemberNames() const {
  std::vector<std::string> names;
  for (const Endpoint& seed : options_.seeds) names.push_back(seed.ToString());
  if (options_.is_open()) return names;
  names.push_back(options_.instance);
  for (const NamedEndpoint& peer : options_.peers) names.push_back(peer.name);
  return names;
}

bool ControlNode::Start() {
  // Routers that are refused a connection rely on this order: a replica neither votes nor
  // acknowledges before it listens.
  if (!server_->Listen(options_.listen)) {
    last_reason_ = server_->last_reason();
    return false;
  }
  if (!StartLog()) {
    if (!options_.is_open()) return false;
    // A full or broken disk may get better, and this process is of use meanwhile.
    RestartLogLater(last_reason_);
  }
  // The first campaign comes soon, and what is sent while a link is made is lost.
  links_.Connect(OtherReplicas());
  tick_.start(kTickInterval);
  gossip_tick_.start(kGossipInterval);
  load_tick_.start(kLoadInterval);
  return true;
}

bool ControlNode::StartLog() {
  log_.reset();
  // The confirmation under way went with the log.
  quota_confirming_.clear();
  quota_asked_.clear();
  state_ = ControlState();
  storage_ = hooks_.make_storage();
  log_ = ReplicatedLog::Builder()
             .Name(options_.log_name())
             .MemberNames(MemberNames())
             .Options(options_.log)
             .Storage(storage_.get())
             .Machine(&state_)
             .Time(SteadyClock())
             .Randomness(hooks_.random)
             .OnSend([this](const LogMessage& message) { links_.Send(message); })
             .OnApplied([this](const LogPosition& position, std::string_view answer) {
               Applied(position, answer);
             })
             .OnChanged([this] { service_.OnChanged(); })
             .OnFlushRequested([this] { flush_.start(std::chrono::milliseconds(0)); })
             .OnFailed([this](const std::string& reason) { RestartLogLater(reason); })
             .Build();
  service_.Attach(log_.get());
  if (log_->Start()) return true;
  last_reason_ = log_->last_reason();
  return false;
}

// The process stays up: it still takes heartbeats and passes calls on to the leader.
void ControlNode::RestartLogLater(const std::string& reason) {
  LogEvent(LogLevel::kError, "log_storage_failed",
           {{"reason", reason}, {"retry_ms", kDiskRetryInterval.count()}});
  restart_.start(kDiskRetryInterval);
}

void ControlNode::SetSeeds(const std::vector<Endpoint>& seeds) {
  if (seeds == options_.seeds || seeds.empty()) return;
  options_.seeds = seeds;
  if (log_) log_->SetSeeds(MemberNames());
}

ControlApi ControlNode::api() {
  ControlApi api;
  api.announce = [this](const Announcement& announcement, const ControlApi::OnDone& done) {
    MemberRecord record = RecordOf(announcement);
    if (state_.departures().HasLeft(record.id, record.incarnation)) record.MarkLeaving();
    if (record.leaving) return departures_.Announce(record, done);
    directory_.Learn(record);
    done(log_ && log_->in_contact());
  };
  api.leave = [this](const std::string& backend_id, const ControlApi::OnDone& done) {
    departures_.Leave(backend_id, done);
  };
  api.put_document = [this](const Document& document, ControlApi::OnDone done) {
    documents_.Put(document, std::move(done));
  };
  api.read_document = [this](const std::string& name, ControlApi::OnRead done) {
    documents_.Read(name, std::move(done));
  };
  return api;
}

void ControlNode::Received(const std::shared_ptr<FrameConnection>& connection, FrameKind kind,
                           std::string_view payload) {
  if (kind == FrameKind::kJsonRpc) {
    rpc_->Handle(connection, payload);
    return;
  }
  if (kind == FrameKind::kNews) {
    ReceivedNews(connection, payload);
    return;
  }
  const auto message = DecodeLogMessage(payload);
  if (!message) {
    LogEvent(LogLevel::kWarning, "log_message_malformed", {{"bytes", payload.size()}});
    return;
  }
  if (log_) log_->Receive(*message);
}

void ControlNode::ReceivedNews(const std::shared_ptr<FrameConnection>& connection,
                               std::string_view payload) {
  const auto news = DecodeControlNews(payload);
  if (!news) {
    LogEvent(LogLevel::kWarning, "news_malformed", {{"bytes", payload.size()}});
    return;
  }
  if (const auto* hello = std::get_if<RouterHello>(&*news)) {
    desk_.Receive(connection, *hello);
  } else if (const auto* members = std::get_if<MemberNews>(&*news)) {
    std::string reason;
    const auto message = ParseGossipMessage(members->json, &reason);
    if (!reason.empty()) {
      LogEvent(LogLevel::kWarning, "gossip_dropped", {{"from", members->from}, {"reason", reason}});
    }
    // Answers go to a name that tells routers from replicas.
    const std::string prefix(desk_.IsLinked(members->from) ? kRouterPrefix : "");
    if (message) directory_.Receive(prefix + members->from, *message);
  } else if (const auto* load = std::get_if<LoadNews>(&*news)) {
    for (const RouterLoad& one : load->routers) hints_.AddLoad(one, SteadyClock()());
  } else if (const auto* wanted = std::get_if<CacheWanted>(&*news)) {
    auto snapshot = cache_keeper_ ? cache_keeper_->Snapshot(wanted->source) : std::nullopt;
    if (snapshot) snapshot = wanted_parts_.Pass(std::move(*snapshot));
    if (snapshot) hints_.SendSnapshot(wanted->router, *snapshot, SteadyClock()());
  } else if (const auto* parts = std::get_if<PartsWanted>(&*news)) {
    OnPartsWanted(*parts);
  } else if (const auto* quota = std::get_if<QuotaAsked>(&*news)) {
    OnQuotaAsked(*quota);
  } else if (const auto* suspects = std::get_if<SuspectNews>(&*news)) {
    const auto answer = suspects_.Receive(*suspects);
    if (!answer) return;
    desk_.Send(suspects->router, *answer);
    desk_.Send(suspects->router, suspects_.TrialSummary());
  } else if (const auto* trials = std::get_if<TrialNews>(&*news)) {
    suspects_.Receive(*trials);
  } else if (const auto* streams = std::get_if<StreamNews>(&*news)) {
    for (const StreamRecord& stream : streams->streams) streams_.Add(stream, SteadyClock()());
  } else if (const auto* asked = std::get_if<StreamAsked>(&*news)) {
    desk_.Send(asked->router,
               StreamTold{asked->number, streams_.Find(asked->key, SteadyClock()())});
  }
}

void ControlNode::CallLeader(std::string_view method, const QJsonObject& params,
                             DocumentServiceHooks::OnResult on_result) {
  const auto leader = log_ ? log_->leader() : std::nullopt;
  if (!leader) return on_result(std::nullopt);
  if (leader->name == options_.log_name()) {
    service_.Call(method, params, [on_result](const QJsonObject& result) { on_result(result); });
    return;
  }
  links_.Call(leader->name, method, params, kLeaderCallTimeout, std::move(on_result));
}

void ControlNode::Applied(const LogPosition& position, std::string_view answer) {
  service_.OnApplied(position, answer);
  MarkDeparted();
  documents_.Tick();
  desk_.PushDocuments();
}

std::vector<const Document*> ControlNode::CompiledDocuments() {
  std::vector<const Document*> documents;
  for (const auto& [name, document] : state_.documents().documents()) {
    auto known = compiled_.find(name);
    if (known == compiled_.end() || known->second.version != document.version) {
      auto made =
          hooks_.compile_document ? hooks_.compile_document(document) : std::optional(document);
      if (!made) continue;
      known = compiled_.insert_or_assign(name, std::move(*made)).first;
      if (name == kRoutingDocument) UseRouting(known->second);
    }
    documents.push_back(&known->second);
  }
  return documents;
}

void ControlNode::OnQuotaAsked(const QuotaAsked& asked) {
  if (!log_ || log_->role() != LogRole::kLeader) return;
  quota_asked_.push_back(asked);
  if (quota_confirming_.empty()) ConfirmQuotas();
}

void ControlNode::ConfirmQuotas() {
  quota_confirming_ = std::exchange(quota_asked_, {});
  quota_round_at_ = SteadyClock()();
  log_->ConfirmLeadership([this](bool is_confirmed) { GrantQuotas(is_confirmed); });
}

void ControlNode::GrantQuotas(bool is_confirmed) {
  const auto asked = std::exchange(quota_confirming_, {});
  const bool leads = is_confirmed && log_ && log_->role() == LogRole::kLeader;
  if (leads) {
    const auto routers = static_cast<std::int64_t>(desk_.LiveRouters().size());
    for (const QuotaAsked& one : asked) {
      const QuotaGranted granted =
          quotas_.Grant(one, log_->term(), routers, quota_round_at_, log_->sole_leader_since());
      desk_.Send(one.router, granted);
    }
  }
  if (!quota_asked_.empty() && leads) ConfirmQuotas();
  if (!leads) quota_asked_.clear();
}

void ControlNode::UseRouting(const Document& routing) {
  const auto table = DecodeRoutingTable(routing.content);
  if (!table) return;
  quotas_.SetQuotas(table->organisations, SteadyClock()());
  if (!stores_) return;
  store_endpoints_.clear();
  for (const Service& service : table->services) {
    if (service.store) store_endpoints_.push_back(service.store->endpoint);
  }
  stores_->SetStores(store_endpoints_);
}

// Each source goes to one of the replicas that can reach each other, by rendezvous hashing. Two may
// keep one source while they disagree; routers tell by the numbers what they know already.
void ControlNode::ShareCacheSources() {
  if (!cache_keeper_) return;
  std::vector<std::string> replicas = links_.Connected();
  replicas.push_back(options_.log_name());
  std::vector<CacheSource> kept;
  const auto keep_if_mine = [&](const CacheSource& source) {
    const auto keeper = RendezvousTop(source.name, replicas, 1);
    if (keeper.front() == options_.log_name()) kept.push_back(source);
  };
  ForEachEngine([&](const MemberRecord& record) {
    keep_if_mine({record.id, record.endpoint, false});
  });
  for (const Endpoint& store : store_endpoints_) keep_if_mine({store.ToString(), store, true});
  cache_keeper_->SetSources(kept);
}

// One tick's news go out together: each router is woken once for all of them.
void ControlNode::TellRouters() {
  if (const auto suspects = suspects_.TakeNews()) desk_.SendAll(*suspects);
  if (const auto trials = suspects_.TakeTrialNews()) desk_.SendAll(*trials);
  desk_.PushUnsentDocuments();
  const std::vector<std::string> routers = desk_.LiveRouters();
  member_flood_.Flush(routers, SteadyClock()());
  hints_.Flush(routers, SteadyClock()());
}

void ControlNode::PublishCache(const CacheNews& news) {
  if (auto wanted = wanted_parts_.Pass(news)) hints_.AddCache(std::move(*wanted));
}

void ControlNode::OnPartsWanted(const PartsWanted& wanted) {
  const auto added = wanted_parts_.Note(wanted.keys, SteadyClock()());
  if (added.empty() || !cache_keeper_) return;
  for (const CacheNews& holder : cache_keeper_->HoldersOf(added)) PublishCache(holder);
}

std::vector<CacheNews> ControlNode::WholeCache() {
  std::vector<CacheNews> whole;
  if (!cache_keeper_) return whole;
  for (CacheNews& snapshot : cache_keeper_->Snapshots()) {
    if (auto wanted = wanted_parts_.Pass(std::move(snapshot))) whole.push_back(std::move(*wanted));
  }
  return whole;
}

void ControlNode::MeasureHints() {
  const HintCounts& now = hints_.counts();
  const auto count = [this](std::string_view name, std::int64_t total, std::int64_t before) {
    metrics_.Count(name, {}, static_cast<std::uint64_t>(total - before));
  };
  count("kumquat_hint_messages_total", now.messages, measured_hints_.messages);
  count("kumquat_hint_bytes_total", now.bytes, measured_hints_.bytes);
  count("kumquat_hint_links_full_total", now.links_full, measured_hints_.links_full);
  count("kumquat_hint_allowance_used_up_total", now.allowance_used_up,
        measured_hints_.allowance_used_up);
  count("kumquat_hint_changes_dropped_total", now.dropped, measured_hints_.dropped);
  metrics_.Set("kumquat_stream_records", {}, static_cast<double>(streams_.size()));
  metrics_.Set("kumquat_parts_wanted", {}, static_cast<double>(wanted_parts_.size()));
  metrics_.Set("kumquat_hint_kept_bytes", {}, static_cast<double>(hints_.kept_bytes()));
  measured_hints_ = now;
}

std::vector<std::string> ControlNode::OtherReplicas() const {
  std::set<std::string> names;
  for (const std::string& name : MemberNames()) names.insert(name);
  if (log_) {
    for (const ReplicaId& voter : log_->voters()) names.insert(voter.name);
    for (const ReplicaId& learner : log_->learners()) names.insert(learner.name);
  }
  names.erase(options_.log_name());
  return {names.begin(), names.end()};
}

void ControlNode::UpdateNeighbours() {
  std::vector<std::string> neighbours = OtherReplicas();
  for (const std::string& router : desk_.LiveRouters()) {
    neighbours.push_back(std::string(kRouterPrefix) + router);
  }
  directory_.SetNeighbours(std::move(neighbours));
}

// What changed goes to all neighbours; to routers at a bounded pace, as they are many.
void ControlNode::SendGossip(std::span<const std::string> to, const GossipMessage& message) {
  std::vector<std::string> routers;
  std::vector<std::string> replicas;
  for (const std::string& process : to) {
    if (process.starts_with(kRouterPrefix)) {
      routers.push_back(process.substr(kRouterPrefix.size()));
    } else {
      replicas.push_back(process);
    }
  }
  const bool is_flood = routers.size() > 1;
  if (is_flood) member_flood_.Add(message.records, routers, SteadyClock()());
  const std::string news = EncodeGossip(message);
  for (const std::string& replica : replicas) links_.Send(replica, FrameKind::kNews, news);
  if (!is_flood) SendToRouters(routers, news);
}

void ControlNode::SendToRouters(std::span<const std::string> routers, std::string_view news) {
  for (const std::string& router : routers) desk_.SendEncoded(router, news);
}

std::string ControlNode::EncodeGossip(const GossipMessage& message) const {
  return Encode(MemberNews{options_.log_name(), ToJsonText(ToJson(message))});
}

void ControlNode::AnnounceRevision(std::int64_t revision) {
  const QCborMap announcement{{QStringLiteral("revision"), static_cast<qint64>(revision)}};
  server_->Broadcast(FrameKind::kCbor, announcement.toCborValue().toCbor().toStdString());
}

void ControlNode::SendOrder(const Announcement& engine, const EngineOrder& order) {
  const std::int64_t number = order.fencing_number;
  LogEvent(LogLevel::kInfo, "order_sent",
           {{"engine", engine.backend_id}, {"number", number}, {"models", order.models.size()}});
  BackendCallRequest request;
  request.endpoint = engine.endpoint;
  request.target = "/orders";
  request.headers = {{"Content-Type", "application/json"}};
  request.body = ToJsonText(ToJson(order));
  request.timeouts.first_byte = kOrderSilence;
  request.max_time = kOrderSilence;
  request.new_connection = true;
  BackendCallHooks hooks;
  hooks.on_end = [this, number] { OrderEnded(number, "answered"); };
  hooks.on_failure = [this, number](CallFailure failure, std::string_view) {
    OrderEnded(number, CallFailureName(failure));
  };
  orders_[number] = backend_client_->Start(std::move(request), std::move(hooks));
}

void ControlNode::OrderEnded(std::int64_t fencing_number, std::string_view outcome) {
  LogEvent(LogLevel::kDebug, "order_ended", {{"number", fencing_number}, {"outcome", outcome}});
  // The call can't be destroyed within its own hook.
  QTimer::singleShot(0, &tick_, [this, fencing_number] { orders_.erase(fencing_number); });
}

}  // namespace kumquat

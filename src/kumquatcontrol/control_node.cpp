#include "control_node.h"

#include <QCborMap>
#include <QCborValue>
#include <utility>

#include "protocol/engine_messages.h"
#include "protocol/json_fields.h"
#include "utils/log.h"

namespace kumquat {
namespace {

constexpr std::chrono::milliseconds kTickInterval{20};
// An order that is silent for longer is given up, well within the longest life of a message.
constexpr Duration kOrderSilence = std::chrono::seconds(2);

}  // namespace

ControlNode::ControlNode(ControlNodeOptions options, LogStorage* storage, const Random& random,
                         std::function<void(const std::string& reason)> on_failed)
    : options_(std::move(options)),
      service_(options_.service,
               {SteadyClock(), [this](std::string_view name) { return AddressOf(name); },
                [this](std::int64_t revision) { AnnounceRevision(revision); },
                [this](const Announcement& engine, const EngineOrder& order) {
                  SendOrder(engine, order);
                }},
               &state_),
      rpc_(MakeRpcServer()),
      backend_client_(MakeHttpBackendClient()) {
  service_.AddMethods(rpc_.get());
  server_ =
      MakeFrameServer([this](const std::shared_ptr<FrameConnection>& connection, FrameKind kind,
                             std::string_view payload) { Received(connection, kind, payload); });
  for (const NamedEndpoint& peer : options_.peers) {
    // What a peer announces to routers is of no use here.
    links_[peer.name] = MakeFrameLink(
        peer.endpoint, [](FrameKind, std::string_view) {}, random);
  }
  log_ = MakeLog(storage, random, std::move(on_failed));
  service_.Attach(log_.get());
  flush_.setSingleShot(true);
  QObject::connect(&flush_, &QTimer::timeout, &flush_, [this] { log_->Flush(); });
  QObject::connect(&tick_, &QTimer::timeout, &tick_, [this] {
    log_->Tick();
    service_.Tick();
  });
}

std::unique_ptr<ReplicatedLog> ControlNode::MakeLog(
    LogStorage* storage, const Random& random,
    std::function<void(const std::string& reason)> on_failed) {
  std::vector<std::string> members = {options_.instance};
  for (const NamedEndpoint& peer : options_.peers) members.push_back(peer.name);
  return ReplicatedLog::Builder()
      .Name(options_.instance)
      .MemberNames(std::move(members))
      .Options(options_.log)
      .Storage(storage)
      .Machine(&state_)
      .Time(SteadyClock())
      .Randomness(random)
      .OnSend([this](const LogMessage& message) { Send(message); })
      .OnApplied([this](const LogPosition& position, std::string_view answer) {
        service_.OnApplied(position, answer);
      })
      .OnChanged([this] { service_.OnChanged(); })
      .OnFlushWanted([this] { flush_.start(std::chrono::milliseconds(0)); })
      .OnFailed(std::move(on_failed))
      .Build();
}

bool ControlNode::Start() {
  // Routers that are refused a connection rely on this order: a replica neither votes nor
  // acknowledges before it listens.
  if (!server_->Listen(options_.listen)) {
    last_reason_ = server_->last_reason();
    return false;
  }
  if (!log_->Start()) {
    last_reason_ = log_->last_reason();
    return false;
  }
  tick_.start(kTickInterval);
  return true;
}

std::string ControlNode::AddressOf(std::string_view name) const {
  if (name == options_.instance) return options_.instance + "@" + options_.listen.ToString();
  for (const NamedEndpoint& peer : options_.peers) {
    if (peer.name == name) return peer.name + "@" + peer.endpoint.ToString();
  }
  return std::string(name);
}

void ControlNode::Received(const std::shared_ptr<FrameConnection>& connection, FrameKind kind,
                           std::string_view payload) {
  if (kind == FrameKind::kJsonRpc) {
    rpc_->Handle(connection, payload);
    return;
  }
  const auto message = DecodeLogMessage(payload);
  if (!message) {
    LogEvent(LogLevel::kWarning, "log_message_malformed", {{"bytes", payload.size()}});
    return;
  }
  log_->Receive(*message);
}

void ControlNode::Send(const LogMessage& message) {
  const auto link = links_.find(message.to.name);
  if (link != links_.end()) link->second->Send(FrameKind::kCbor, Encode(message));
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
  request.new_connection = true;
  BackendCallHooks hooks;
  hooks.on_headers = [](int, const HttpHeaders&) {};
  hooks.on_data = [](std::string_view) {};
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

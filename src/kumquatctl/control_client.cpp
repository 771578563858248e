#include "control_client.h"

#include <QEventLoop>
#include <QTimer>
#include <algorithm>

#include "protocol/control_messages.h"

namespace kumquat {
namespace {

constexpr Duration kStatusTimeout = std::chrono::seconds(1);
// Longer than an edit may wait at the leader until it is answered.
constexpr Duration kCallTimeout = std::chrono::seconds(10);
constexpr Duration kRetryInterval = std::chrono::milliseconds(100);

bool IsNotLeader(const QJsonObject& answer) {
  std::string reason;
  const auto error = ParseError(answer["error"].toObject(), &reason);
  return error && error->kind == ErrorKind::kNotLeader;
}

}  // namespace

ControlClient::ControlClient(const std::vector<NamedEndpoint>& replicas, const Random& random) {
  for (const NamedEndpoint& replica : replicas) {
    replicas_.push_back({replica, MakeRpcClient(replica.endpoint, random)});
  }
}

void ControlClient::Wait(Duration duration) {
  QEventLoop loop;
  QTimer::singleShot(std::chrono::ceil<std::chrono::milliseconds>(duration), Qt::PreciseTimer,
                     &loop, &QEventLoop::quit);
  loop.exec();
}

std::optional<QJsonObject> ControlClient::Call(RpcClient& client, std::string_view method,
                                               const QJsonObject& params, Duration longest) {
  QEventLoop loop;
  std::optional<QJsonObject> answer;
  client.Call(method, params, longest,
              [&](const std::optional<QJsonObject>& result, RpcFailure /*failure*/) {
                answer = result;
                loop.quit();
              });
  loop.exec();
  return answer;
}

void ControlClient::WaitForConnections(Duration longest) const {
  const Clock clock = SteadyClock();
  const Instant end = clock() + longest;
  const auto settled = [](const Replica& replica) {
    return replica.client->link().last_outcome() != ConnectOutcome::kNone;
  };
  while (clock() < end && !std::all_of(replicas_.begin(), replicas_.end(), settled)) {
    Wait(std::chrono::milliseconds(10));
  }
}

void ControlClient::Advance(const QJsonObject& refusal) {
  std::string reason;
  const auto error = ParseError(refusal["error"].toObject(), &reason);
  const auto leader = error ? ParseNamedEndpoint(error->detail) : std::nullopt;
  const auto known = std::find_if(replicas_.begin(), replicas_.end(), [&](const Replica& replica) {
    return leader && replica.address.name == leader->name;
  });
  next_ = known == replicas_.end() ? (next_ + 1) % replicas_.size()
                                   : static_cast<std::size_t>(known - replicas_.begin());
}

std::optional<QJsonObject> ControlClient::CallLeader(std::string_view method,
                                                     const QJsonObject& params, Duration longest) {
  const Clock clock = SteadyClock();
  const Instant deadline = clock() + longest;
  while (clock() < deadline) {
    RpcClient& client = *replicas_[next_].client;
    std::optional<QJsonObject> answer;
    if (client.link().connected()) {
      answer = Call(client, method, params, std::min(kCallTimeout, deadline - clock()));
    }
    if (answer && !IsNotLeader(*answer)) return answer;
    Advance(answer.value_or(QJsonObject()));
    Wait(kRetryInterval);
  }
  return std::nullopt;
}

std::vector<ControlClient::ReplicaStatus> ControlClient::Statuses() {
  WaitForConnections(kStatusTimeout);
  std::vector<ReplicaStatus> statuses;
  for (Replica& replica : replicas_) {
    auto status = Call(*replica.client, control_method::kStatus, {}, kStatusTimeout);
    statuses.push_back(
        {replica.address.name, std::move(status), replica.client->link().last_outcome()});
  }
  return statuses;
}

}  // namespace kumquat

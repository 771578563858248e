#include "control_client.h"

#include <QTimer>
#include <utility>

#include "protocol/control_messages.h"
#include "protocol/json_fields.h"
#include "router_settings.h"
#include "utils/log.h"

namespace kumquat {
namespace {

constexpr Duration kRenewalTimeout = std::chrono::milliseconds(600);
constexpr Duration kCallTimeout = std::chrono::milliseconds(600);
constexpr Duration kShortestBackoff = std::chrono::milliseconds(50);
constexpr Duration kProbeInterval = std::chrono::milliseconds(200);
constexpr Duration kProbeTimeout = std::chrono::milliseconds(150);
// Voters are probed from this long before the lease ends.
constexpr Duration kProbeBeforeEnd = std::chrono::milliseconds(2500);

}  // namespace

struct ControlClient::PendingCall {
  std::string method;
  QJsonObject params;
  Instant give_up_at;
  OnResult on_result;
  std::size_t replica;
};

ControlClient::ControlClient(const RouterSettings& settings, std::int64_t router_incarnation,
                             Clock clock, Random random)
    : settings_(settings),
      router_incarnation_(router_incarnation),
      clock_(std::move(clock)),
      random_(std::move(random)),
      share_holder_(ShareHolderOptions{.renew_interval = settings.lease_interval},
                    [this](Instant lease_end, Instant now) {
                      return plan_lease_.OutageExtendsLease(lease_end, now);
                    }) {
  for (const NamedEndpoint& control : settings_.control) {
    replicas_.push_back(MakeRpcClient(control.endpoint, random_, FrameLimits{},
                                      [this](std::string_view payload) { ReceivePush(payload); }));
  }
  current_replica_ = random_() % replicas_.size();
}

void ControlClient::Call(std::string_view method, const QJsonObject& params, Duration patience,
                         OnResult on_result) {
  auto call = std::make_shared<PendingCall>(PendingCall{
      std::string(method), params, clock_() + patience, std::move(on_result), current_replica_});
  QTimer::singleShot(0, [this, call] { TryCall(call); });
}

void ControlClient::Tick() {
  const Instant now = clock_();
  const bool due = share_holder_.IsRequestDue(now) || revision_pushed_;
  if (due && !renewal_under_way_ && now >= next_attempt_) Renew();
  const auto lease_end = plan_lease_.lease_end();
  const bool runs_out = lease_end && now > *lease_end - kProbeBeforeEnd && renewal_under_way_;
  const bool has_run_out = lease_end && now > *lease_end;
  if ((runs_out || has_run_out) && now >= next_probe_) ProbeVoters();
}

std::int64_t ControlClient::bytes_transferred() const {
  std::int64_t bytes = 0;
  for (const auto& replica : replicas_) bytes += replica->link().bytes_transferred();
  return bytes;
}

void ControlClient::Renew() {
  const Instant now = clock_();
  const SharesToRenew shares = share_holder_.BeginRequest(now);
  LeaseRequest request;
  request.router_id = settings_.instance;
  request.router_incarnation = router_incarnation_;
  request.sequence = shares.sequence;
  request.term = plan_lease_.term();
  request.plans_revision = plan_lease_.lists().plans_revision;
  request.allowances_revision = plan_lease_.lists().allowances_revision;
  request.shares = shares.shares;
  renewal_under_way_ = true;
  revision_pushed_ = false;
  ++renewals_sent_;
  replica().Call(control_method::kRenewLease, ToJson(request), kRenewalTimeout,
                 [this, sequence = shares.sequence, now](const std::optional<QJsonObject>& result,
                                                         RpcFailure /*failure*/) {
                   renewal_under_way_ = false;
                   Renewed(sequence, now, result);
                 });
}

void ControlClient::Renewed(std::int64_t sequence, Instant sent,
                            const std::optional<QJsonObject>& result) {
  std::string reason = "There was no answer.";
  const auto answer = result ? ParseLeaseAnswer(*result, &reason) : std::nullopt;
  const Instant now = clock_();
  if (!answer) {
    LogEvent(LogLevel::kDebug, "lease_renewal_failed", {{"reason", reason}});
    current_replica_ = ReplicaAfter(current_replica_, result);
    // Full jitter, so that a herd of routers doesn't come back at the same moment.
    next_attempt_ =
        now + Duration(random_() % static_cast<std::uint64_t>(kShortestBackoff.count()));
    return;
  }
  next_attempt_ = now;
  const auto revision_before = plan_lease_.lists().plans_revision;
  const auto allowances_before = plan_lease_.lists().allowances_revision;
  if (plan_lease_.Apply(*answer, sent)) share_holder_.Apply(sequence, *answer, now);
  const Lists& lists = plan_lease_.lists();
  if (lists.plans_revision != revision_before || lists.allowances_revision != allowances_before) {
    LogEvent(LogLevel::kInfo, "lists_in_force",
             {{"plans", lists.plans_revision}, {"allowances", lists.allowances_revision}});
  }
  if (on_renewed_) on_renewed_();
}

std::size_t ControlClient::ReplicaAfter(std::size_t replica,
                                        const std::optional<QJsonObject>& result) const {
  const std::size_t next = (replica + 1) % replicas_.size();
  if (!result) return next;
  std::string reason;
  const auto error = ParseError((*result)["error"].toObject(), &reason);
  const auto leader = error ? ParseNamedEndpoint(error->detail) : std::nullopt;
  if (!leader) return next;
  for (std::size_t i = 0; i < settings_.control.size(); ++i) {
    if (settings_.control[i].endpoint == leader->endpoint) return i;
  }
  return next;
}

void ControlClient::ReceivePush(std::string_view /*payload*/) {
  // A push only says that there is a newer revision; the renewal brings it.
  revision_pushed_ = true;
  next_attempt_ = clock_();
  Tick();
}

void ControlClient::ProbeVoters() {
  next_probe_ = clock_() + kProbeInterval;
  for (const std::string& voter : plan_lease_.voters()) {
    const auto peer = ParseNamedEndpoint(voter);
    if (!peer) continue;
    const Instant sent = clock_();
    probes_[voter] = StartConnectProbe(
        peer->endpoint, kProbeTimeout, [this, voter, sent](ConnectProbeResult result) {
          const bool refused = result == ConnectProbeResult::kRefused;
          plan_lease_.OnProbe(voter, refused ? ProbeResult::kRefused : ProbeResult::kNotRefused,
                              sent, clock_());
        });
  }
}

void ControlClient::TryCall(const std::shared_ptr<PendingCall>& call) {
  const Duration left = call->give_up_at - clock_();
  if (left <= Duration(0)) {
    call->on_result(std::nullopt);
    return;
  }
  const auto on_result = [this, call](const std::optional<QJsonObject>& result,
                                      RpcFailure /*failure*/) {
    if (result && !result->contains("error")) {
      call->on_result(result);
      return;
    }
    call->replica = ReplicaAfter(call->replica, result);
    const auto pause = Duration(random_() % static_cast<std::uint64_t>(kShortestBackoff.count()));
    QTimer::singleShot(std::chrono::ceil<std::chrono::milliseconds>(pause),
                       [this, call] { TryCall(call); });
  };
  replicas_[call->replica]->Call(call->method, call->params, std::min(left, kCallTimeout),
                                 on_result);
}

}  // namespace kumquat

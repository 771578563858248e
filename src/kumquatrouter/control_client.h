// This router's side of the control replicas: the plan lease, the shares and the claims.
#pragma once

#include <QJsonObject>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/limits/plan_lease.h"
#include "coordination/limits/share_holder.h"
#include "transport/connect_probe.h"
#include "transport/rpc.h"
#include "utils/hooks.h"

namespace kumquat {

struct RouterSettings;

class ControlClient {
 public:
  // The result of a call; nothing when no replica answered in time.
  using OnResult = std::function<void(const std::optional<QJsonObject>& result)>;

  ControlClient(const RouterSettings& settings, std::int64_t router_incarnation, Clock clock,
                Random random);

  const PlanLease& plan_lease() const { return plan_lease_; }
  ShareHolder& share_holder() { return share_holder_; }
  bool MayServe() const { return plan_lease_.MayServe(clock_()); }
  const Lists& lists() const { return plan_lease_.lists(); }

  // Sets who is told of each answer to a renewal.
  void OnRenewed(std::function<void()> hook) { on_renewed_ = std::move(hook); }

  // Calls a method that may safely be called more than once, on one replica after the other until
  // one answers or the time is over. The hook runs once, never before this returns.
  void Call(std::string_view method, const QJsonObject& params, Duration patience,
            OnResult on_result);

  // Renews and probes when that is due; called every kTickInterval.
  void Tick();

  // Returns the renewals sent so far.
  std::int64_t renewals_sent() const { return renewals_sent_; }

  static constexpr Duration kTickInterval = std::chrono::milliseconds(10);

 private:
  struct PendingCall;

  void Renew();
  void Renewed(std::int64_t sequence, Instant sent, const std::optional<QJsonObject>& result);
  void ReceivePush(std::string_view payload);
  void ProbeVoters();
  void TryCall(const std::shared_ptr<PendingCall>& call);
  RpcClient& replica() { return *replicas_[current_replica_]; }
  // Returns the replica to ask after this one: the leader where the answer names it, else the next.
  std::size_t ReplicaAfter(std::size_t replica, const std::optional<QJsonObject>& result) const;

  const RouterSettings& settings_;
  std::int64_t router_incarnation_;
  Clock clock_;
  Random random_;
  PlanLease plan_lease_;
  ShareHolder share_holder_;
  std::vector<std::unique_ptr<RpcClient>> replicas_;
  std::size_t current_replica_ = 0;
  std::function<void()> on_renewed_;
  std::map<std::string, std::unique_ptr<ConnectProbe>> probes_;
  bool renewal_under_way_ = false;
  bool revision_pushed_ = false;
  Instant next_attempt_{0};
  Instant next_probe_{0};
  std::int64_t renewals_sent_ = 0;
};

}  // namespace kumquat

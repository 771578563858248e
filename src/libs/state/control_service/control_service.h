// The methods that a control replica serves to routers and operators.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/log/replicated_log.h"
#include "coordination/orders/order_scheduler.h"
#include "protocol/control_messages.h"
#include "state/control/control_state.h"
#include "transport/rpc.h"
#include "utils/hooks.h"

namespace kumquat {

namespace Internal {
class EngineOrders;
class LeaderTerm;
}  // namespace Internal

struct ControlServiceOptions {
  // How long a router may serve by an answer.
  Duration lease = std::chrono::seconds(3);
  // An accepted edit that is not in force after this is answered so; the operator sends it again.
  Duration edit_patience = std::chrono::seconds(8);
  // The leader moves the logical clock on this often.
  Duration clock_mark_interval = std::chrono::minutes(1);
  // The placement of models is looked at this often.
  Duration order_interval = std::chrono::milliseconds(500);
  OrderSchedulerOptions orders;
  // Further calls are refused while this many wait for the log.
  std::size_t max_pending_calls = 20'000;
};

struct ControlServiceHooks {
  Clock clock;
  // Returns the address of the replica with this name, as "name@ip:port".
  std::function<std::string(std::string_view name)> address_of;
  // Tells all routers that a list has reached this revision, so that they renew at once.
  std::function<void(std::int64_t revision)> announce_revision;
  // Sends an order to an engine, once.
  OrderScheduler::Send send_order;
};

// Serves the methods of control_method from the replicated log and its state. Only the leader
// serves; each other replica answers with an error of kind not_leader, whose detail is the leader's
// address where it is known. It stands in the field `error` of every method's result.
//
// Nothing is served from the state before the log has confirmed by a round begun after the request
// that this replica still leads. So a lease can't rest on a deposed leader, and runs from the
// moment the router sent its request.
class ControlService {
 public:
  // The state is the log's state machine and outlives the service.
  ControlService(ControlServiceOptions options, ControlServiceHooks hooks,
                 const ControlState* state);
  ~ControlService();

  // Sets the log, before any call. It outlives the service.
  void Attach(ReplicatedLog* log) { log_ = log; }

  void AddMethods(RpcServer* server);

  // To be called from the log's hooks of the same names.
  void OnApplied(const LogPosition& position, std::string_view answer);
  void OnChanged();

  // Does what is due by the clock; to be called with the log's Tick().
  void Tick();

  // Each answers one call.
  void RenewLease(const QJsonObject& params, const RpcReply& reply);
  void BeginClaim(const QJsonObject& params, const RpcReply& reply);
  void FinishClaim(const QJsonObject& params, const RpcReply& reply);
  void ReleaseClaim(const QJsonObject& params, const RpcReply& reply);
  void GetList(const QJsonObject& params, const RpcReply& reply);
  void SetList(const QJsonObject& params, const RpcReply& reply);
  void Status(const QJsonObject& params, const RpcReply& reply);
  void ReportBackends(const QJsonObject& params, const RpcReply& reply);
  void PutDocument(const QJsonObject& params, const RpcReply& reply);
  void RecordDeparture(const QJsonObject& params, const RpcReply& reply);
  void Confirm(const QJsonObject& params, const RpcReply& reply);

  // Answers one call of a method by its name, as if it had come from another process.
  void Call(std::string_view method, const QJsonObject& params, const RpcReply& reply);

 private:
  // A command that was proposed in the present term and is not applied yet.
  struct Pending {
    RpcReply reply;
    RpcReply on_applied;
  };

  // An accepted edit whose answer waits until it is in force.
  struct WaitingEdit {
    ListName list = ListName::kPlans;
    std::int64_t revision = 0;
    Instant deadline{0};
    RpcReply reply;
  };

  using Handler = void (ControlService::*)(const QJsonObject&, const RpcReply&);

  Error NotLeader() const;
  void Refuse(const RpcReply& reply, const Error& error) const;
  // Proposes a command; `on_applied` gets its answer, `reply` the refusal.
  void Propose(ControlCommand::Body body, const RpcReply& reply, RpcReply on_applied);
  // Runs the action once this replica is known to lead in the present term, else refuses.
  void WhenConfirmed(const RpcReply& reply, std::function<void()> action);
  void BeginTerm();
  void EndTerm();
  void EditApplied(ListName list, const QJsonObject& answer, const RpcReply& reply);
  void AnswerEditsInForce();
  void AnswerEdit(const WaitingEdit& edit, bool in_force) const;
  void MarkClock();
  void OrderEngines();
  std::vector<std::string> VoterAddresses() const;
  Instant Now() const { return hooks_.clock(); }

  ControlServiceOptions options_;
  ControlServiceHooks hooks_;
  const ControlState* state_;
  ReplicatedLog* log_ = nullptr;
  // There while this replica leads.
  std::unique_ptr<Internal::LeaderTerm> leading_;
  std::unique_ptr<Internal::EngineOrders> engine_orders_;
  // By index in the log.
  std::map<std::uint64_t, Pending> pending_;
  std::vector<WaitingEdit> waiting_edits_;
  std::map<std::string, Handler, std::less<>> methods_;
  Instant next_clock_mark_{0};
  Instant next_orders_{0};
};

}  // namespace kumquat

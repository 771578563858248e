#include "state/control_service/control_service.h"

#include <QJsonArray>
#include <utility>

#include "protocol/json_fields.h"
#include "state/control_service/engine_orders.h"
#include "state/control_service/leader_term.h"
#include "utils/log.h"
#include "utils/soft_assert.h"

namespace kumquat {
namespace {

// Every result has an error in this field; the results of list.get and list.set have the others.
QJsonObject RefusalJson(const Error& error) { return ToJson(ListAnswer{0, error, {}, false}); }

Error BadRequest(std::string reason) {
  return {ErrorKind::kBadRequest, std::move(reason), std::nullopt};
}

const RpcReply kIgnore = [](const QJsonObject&) {};

QJsonArray PeersJson(const LogStatus& status) {
  QJsonArray peers;
  for (const LogStatus::Peer& peer : status.peers) {
    peers.append(QJsonObject{
        {"name", ToQString(peer.id.name)},
        {"voter", peer.voter},
        {"acknowledged_index", static_cast<qint64>(peer.acknowledged_index)},
        {"silent_ms", static_cast<qint64>(peer.silent_for / std::chrono::milliseconds(1))}});
  }
  return peers;
}

QJsonObject StatusJson(const LogStatus& status) {
  return {{"name", ToQString(status.self.name)},
          {"role", ToQString(NameOf(status.role))},
          {"term", static_cast<qint64>(status.term)},
          {"leader", ToQString(status.leader ? status.leader->name : "")},
          {"commit_index", static_cast<qint64>(status.commit_index)},
          {"applied_index", static_cast<qint64>(status.applied_index)},
          {"last_index", static_cast<qint64>(status.last_index)},
          {"snapshot_index", static_cast<qint64>(status.snapshot_index)},
          {"peers", PeersJson(status)}};
}

}  // namespace

ControlService::ControlService(ControlServiceOptions options, ControlServiceHooks hooks,
                               const ControlState* state)
    : options_(options),
      hooks_(std::move(hooks)),
      state_(state),
      methods_({{std::string(control_method::kRenewLease), &ControlService::RenewLease},
                {std::string(control_method::kBeginClaim), &ControlService::BeginClaim},
                {std::string(control_method::kFinishClaim), &ControlService::FinishClaim},
                {std::string(control_method::kReleaseClaim), &ControlService::ReleaseClaim},
                {std::string(control_method::kGetList), &ControlService::GetList},
                {std::string(control_method::kSetList), &ControlService::SetList},
                {std::string(control_method::kStatus), &ControlService::Status},
                {std::string(control_method::kReportBackends), &ControlService::ReportBackends},
                {std::string(control_method::kPutDocument), &ControlService::PutDocument},
                {std::string(control_method::kRecordDeparture), &ControlService::RecordDeparture},
                {std::string(control_method::kConfirm), &ControlService::Confirm}}) {}

ControlService::~ControlService() = default;

void ControlService::AddMethods(RpcServer* server) {
  for (const auto& [name, handler] : methods_) {
    server->AddMethod(name,
                      [this, handler = handler](const QJsonObject& params, const RpcReply& reply) {
                        (this->*handler)(params, reply);
                      });
  }
}

void ControlService::Call(std::string_view method, const QJsonObject& params,
                          const RpcReply& reply) {
  const auto found = methods_.find(method);
  KUMQUAT_ASSERT(found != methods_.end(), return reply({}));
  (this->*found->second)(params, reply);
}

void ControlService::OnChanged() {
  const bool leads = log_->role() == LogRole::kLeader;
  if (leading_ && (!leads || leading_->term() != log_->term())) EndTerm();
  if (leads && !leading_) BeginTerm();
}

void ControlService::BeginTerm() {
  LogEvent(LogLevel::kInfo, "control_leads", {{"term", log_->term()}});
  leading_ = std::make_unique<Internal::LeaderTerm>(log_->term(), options_.lease, *state_, Now());
  engine_orders_ = std::make_unique<Internal::EngineOrders>(
      options_.orders, hooks_.send_order, static_cast<std::int64_t>(log_->term()), Now());
  next_clock_mark_ = Now() + options_.clock_mark_interval;
  next_orders_ = Now() + options_.order_interval;
}

void ControlService::EndTerm() {
  LogEvent(LogLevel::kInfo, "control_leads_no_more", {{"term", leading_->term()}});
  leading_.reset();
  engine_orders_.reset();
  // Some of these may still be committed by the next leader; the callers ask it again.
  const auto pending = std::exchange(pending_, {});
  for (const auto& [index, call] : pending) Refuse(call.reply, NotLeader());
  const auto waiting = std::exchange(waiting_edits_, {});
  for (const WaitingEdit& edit : waiting) Refuse(edit.reply, NotLeader());
}

void ControlService::OnApplied(const LogPosition& position, std::string_view answer) {
  if (!leading_) return;
  if (const auto revision = leading_->SetLists(state_->lists().lists())) {
    hooks_.announce_revision(*revision);
  }
  // What waits was proposed in the present term, so this entry is the proposed one.
  const auto call = pending_.find(position.index);
  if (call == pending_.end()) return;
  const Pending done = std::move(call->second);
  pending_.erase(call);
  done.on_applied(ParseJsonObject(answer).value_or(QJsonObject()));
}

void ControlService::Tick() {
  if (!leading_) return;
  leading_->Expire(Now());
  AnswerEditsInForce();
  if (Now() >= next_clock_mark_) MarkClock();
  if (leading_ && Now() >= next_orders_) OrderEngines();
}

void ControlService::MarkClock() {
  next_clock_mark_ = Now() + options_.clock_mark_interval;
  Propose(ClockMark{}, kIgnore, kIgnore);
}

void ControlService::OrderEngines() {
  next_orders_ = Now() + options_.order_interval;
  if (engine_orders_->engines() == 0) return;
  // The next leader waits for this long before it orders.
  const Instant send_before = Now() + options_.orders.leader_lease;
  WhenConfirmed(kIgnore, [this, send_before] {
    if (Now() < send_before) engine_orders_->Advance(state_->lists().lists().allowances, Now());
  });
}

Error ControlService::NotLeader() const {
  const auto leader = log_->leader();
  const bool other = leader && leader->name != log_->self().name;
  return {ErrorKind::kNotLeader, other ? hooks_.address_of(leader->name) : "", std::nullopt};
}

void ControlService::Refuse(const RpcReply& reply, const Error& error) const {
  reply(RefusalJson(error));
}

void ControlService::Propose(ControlCommand::Body body, const RpcReply& reply,
                             RpcReply on_applied) {
  if (!leading_) return Refuse(reply, NotLeader());
  if (pending_.size() >= options_.max_pending_calls) {
    return Refuse(reply, {ErrorKind::kOverloaded, "Too many calls wait.", std::nullopt});
  }
  const auto position = log_->Propose(Encode({leading_->TimeAt(Now()), std::move(body)}));
  if (!position) {
    return Refuse(reply, {ErrorKind::kOverloaded, log_->last_reason(), std::nullopt});
  }
  pending_[position->index] = {reply, std::move(on_applied)};
}

void ControlService::WhenConfirmed(const RpcReply& reply, std::function<void()> action) {
  if (!leading_) return Refuse(reply, NotLeader());
  const std::uint64_t term = leading_->term();
  log_->ConfirmLeadership([this, term, reply, action = std::move(action)](bool confirmed) {
    const bool same_term = leading_ && leading_->term() == term;
    if (!confirmed || !same_term) return Refuse(reply, NotLeader());
    action();
  });
}

void ControlService::RenewLease(const QJsonObject& params, const RpcReply& reply) {
  std::string reason;
  const auto request = ParseLeaseRequest(params, &reason);
  if (!request) return Refuse(reply, BadRequest(reason));
  if (!leading_) return Refuse(reply, NotLeader());
  const Instant received = Now();
  const auto shares = leading_->Renew(*request, received);
  WhenConfirmed(reply, [this, request = *request, shares, received, reply] {
    LeaseAnswer answer = leading_->Answer(request, shares, state_->lists().lists(), received);
    answer.voters = VoterAddresses();
    reply(ToJson(answer));
  });
}

std::vector<std::string> ControlService::VoterAddresses() const {
  std::vector<std::string> addresses;
  for (const ReplicaId& voter : log_->voters()) addresses.push_back(hooks_.address_of(voter.name));
  return addresses;
}

void ControlService::BeginClaim(const QJsonObject& params, const RpcReply& reply) {
  std::string reason;
  auto request = ParseClaimRequest(params, &reason);
  if (!request) return Refuse(reply, BadRequest(reason));
  Propose(std::move(*request), reply, reply);
}

void ControlService::FinishClaim(const QJsonObject& params, const RpcReply& reply) {
  std::string reason;
  auto finish = ParseClaimFinish(params, &reason);
  if (!finish) return Refuse(reply, BadRequest(reason));
  Propose(std::move(*finish), reply, reply);
}

void ControlService::ReleaseClaim(const QJsonObject& params, const RpcReply& reply) {
  std::string reason;
  auto id = ParseClaimId(params, &reason);
  if (!id) return Refuse(reply, BadRequest(reason));
  Propose(ClaimRelease{std::move(*id)}, reply, reply);
}

void ControlService::GetList(const QJsonObject& params, const RpcReply& reply) {
  std::string name;
  JsonFields(params).Read("list", &name);
  const auto list = ParseListName(name);
  if (!list) return Refuse(reply, BadRequest("list: the name is not known."));
  WhenConfirmed(reply, [this, list = *list, reply] {
    const VersionedLists& lists = state_->lists();
    reply(ToJson(ListAnswer{lists.RevisionOf(list), {}, lists.Content(list), false}));
  });
}

void ControlService::SetList(const QJsonObject& params, const RpcReply& reply) {
  std::string reason;
  auto edit = ParseListEdit(params, &reason);
  if (!edit) return Refuse(reply, BadRequest(reason));
  const ListName list = edit->list;
  Propose(std::move(*edit), reply,
          [this, list, reply](const QJsonObject& answer) { EditApplied(list, answer, reply); });
}

void ControlService::EditApplied(ListName list, const QJsonObject& answer, const RpcReply& reply) {
  std::string reason;
  const auto parsed = ParseListAnswer(answer, &reason);
  const bool accepted = parsed && !parsed->error;
  if (!accepted) return reply(answer);
  waiting_edits_.push_back({list, parsed->revision, Now() + options_.edit_patience, reply});
}

void ControlService::AnswerEditsInForce() {
  const Instant now = Now();
  std::vector<WaitingEdit> still_waiting;
  // Whatever is called below may add to the edits that wait.
  for (WaitingEdit& edit : std::exchange(waiting_edits_, {})) {
    if (leading_->InForce(edit.list, edit.revision, now)) {
      WhenConfirmed(edit.reply, [this, edit] { AnswerEdit(edit, true); });
    } else if (edit.deadline <= now) {
      AnswerEdit(edit, false);
    } else {
      still_waiting.push_back(std::move(edit));
    }
  }
  waiting_edits_.insert(waiting_edits_.end(), std::make_move_iterator(still_waiting.begin()),
                        std::make_move_iterator(still_waiting.end()));
}

void ControlService::AnswerEdit(const WaitingEdit& edit, bool in_force) const {
  edit.reply(ToJson(ListAnswer{edit.revision, {}, {}, in_force}));
}

void ControlService::ReportBackends(const QJsonObject& params, const RpcReply& reply) {
  std::string reason;
  const auto report = ParseBackendReport(params, &reason);
  if (!report) return Refuse(reply, BadRequest(reason));
  if (!leading_) return Refuse(reply, NotLeader());
  engine_orders_->OnReport(*report, Now());
  reply({});
}

void ControlService::PutDocument(const QJsonObject& params, const RpcReply& reply) {
  std::string reason;
  auto document = ParseDocument(params, &reason);
  if (!document) return Refuse(reply, BadRequest(reason));
  Propose(std::move(*document), reply, reply);
}

void ControlService::RecordDeparture(const QJsonObject& params, const RpcReply& reply) {
  std::string reason;
  auto departure = ParseDeparture(params, &reason);
  if (!departure) return Refuse(reply, BadRequest(reason));
  Propose(std::move(*departure), reply, reply);
}

void ControlService::Confirm(const QJsonObject& /*params*/, const RpcReply& reply) {
  WhenConfirmed(reply, [this, reply] {
    reply({{"index", static_cast<qint64>(log_->applied_index())}});
  });
}

void ControlService::Status(const QJsonObject& /*params*/, const RpcReply& reply) {
  QJsonObject status = StatusJson(log_->status());
  const Lists& lists = state_->lists().lists();
  status["plans_revision"] = static_cast<qint64>(lists.plans_revision);
  status["allowances_revision"] = static_cast<qint64>(lists.allowances_revision);
  status["claims"] = static_cast<qint64>(state_->claims().size());
  status["voters"] = ToJsonArray(VoterAddresses());
  status["engines"] = static_cast<qint64>(engine_orders_ ? engine_orders_->engines() : 0);
  status["routers"] = static_cast<qint64>(leading_ ? leading_->routers() : 0);
  reply(status);
}

}  // namespace kumquat

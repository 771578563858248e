#include "coordination/log/replica.h"

#include <algorithm>
#include <utility>

#include "utils/log.h"
#include "utils/soft_assert.h"

namespace kumquat::Internal {

Replica::Replica(ReplicaParts parts) : parts_(std::move(parts)), log_(parts_.storage) {}

bool Replica::Start() {
  if (!log_.Load()) return FailStart(log_.last_reason());
  self_ = {parts_.name, log_.storage_identity()};
  if (const auto snapshot = log_.snapshot()) {
    if (!parts_.machine->Restore(snapshot->state)) {
      return FailStart("The state machine rejected the stored snapshot.");
    }
    commit_index_ = snapshot->index;
    applied_index_ = snapshot->index;
  }
  quiet_until_ = Now() + parts_.options.startup_quiet_period;
  last_allegiance_ = Now();
  role_ = IsVoter() ? LogRole::kFollower : LogRole::kLearner;
  const auto first = parts_.options.first_election_timeout_max;
  if (first) {
    SetElectionDeadline(*first / 2, *first);
  } else {
    ResetElectionDeadline();
  }
  return true;
}

// A replica that knows neither its identity nor its entries must not seem to be an empty one.
bool Replica::FailStart(std::string_view reason) {
  last_reason_ = reason;
  SetRole(LogRole::kFailed);
  return false;
}

void Replica::Tick() {
  if (role_ == LogRole::kFailed) return;
  if (role_ == LogRole::kLeader) {
    LeaderTick();
  } else if (!IsVoter()) {
    AnnounceIfDue();
  } else if (!IsQuiet() && Now() >= election_deadline_) {
    StartPreVote();
    // This replica may have been replaced while it was disconnected; then no voter answers its
    // campaign, and it has to join again.
    if (HasOpenMembership()) AnnounceIfDue();
  }
  Flush();
}

void Replica::Receive(const LogMessage& message) {
  if (role_ == LogRole::kFailed) return;
  const bool is_addressed_by_name = message.to.storage_identity == 0;
  if (!is_addressed_by_name && message.to != self_) return;
  if (is_addressed_by_name && !std::holds_alternative<Join>(message.body)) return;
  if (message.from == self_) return;
  Dispatch(message);
}

void Replica::Dispatch(const LogMessage& message) {
  const bool is_answer = std::holds_alternative<AppendAnswer>(message.body) ||
                         std::holds_alternative<InstallSnapshotAnswer>(message.body) ||
                         std::holds_alternative<VoteAnswer>(message.body) ||
                         std::holds_alternative<PreVoteAnswer>(message.body);
  const bool is_known = membership().Contains(message.from) || peers_.contains(message.from);
  if (is_answer && is_known && message.term > term()) {
    BecomeFollower(message.term, std::nullopt);
    return;
  }
  std::visit([&](const auto& body) { Handle(message, body); }, message.body);
}

bool Replica::InContact() const {
  if (role_ == LogRole::kLeader) return HasQuorumContact(membership());
  if (!last_leader_contact_ || !leader_) return false;
  return Now() - *last_leader_contact_ < parts_.options.election_timeout_max;
}

void Replica::Queue(const ReplicaId& to, std::uint64_t message_term, LogMessage::Body body) {
  outbox_.push_back({self_, to, message_term, std::move(body)});
  RequestFlush();
}

void Replica::Answer(const LogMessage& message, LogMessage::Body body) {
  Queue(message.from, term(), std::move(body));
}

void Replica::RequestFlush() {
  if (flush_requested_) return;
  flush_requested_ = true;
  if (!in_flush_ && parts_.on_flush_requested) parts_.on_flush_requested();
}

void Replica::Flush() {
  if (in_flush_) return;
  in_flush_ = true;
  do {
    flush_requested_ = false;
    FlushOnce();
  } while (flush_requested_ && role_ != LogRole::kFailed);
  in_flush_ = false;
}

void Replica::FlushOnce() {
  if (role_ == LogRole::kFailed) return;
  if (role_ == LogRole::kLeader) Replicate();
  if (log_.unsynced() && !log_.Sync()) {
    Fail(log_.last_reason());
    return;
  }
  SendOutbox();
  if (role_ == LogRole::kLeader) AdvanceCommit();
  ApplyCommitted();
  TakeSnapshotIfDue();
  if (role_ != LogRole::kLeader) return;
  const auto acknowledged = [](const PeerProgress& peer) { return peer.acknowledged_round; };
  reads_.Confirm(HighestReachedByMajority(round_, acknowledged), applied_index_);
}

// Drops messages of an earlier term: an acknowledgement that was queued before the term rose may
// cover entries that have been truncated since.
void Replica::SendOutbox() {
  const std::vector<LogMessage> messages = std::exchange(outbox_, {});
  for (const LogMessage& message : messages) {
    if (message.term >= term()) parts_.send(message);
  }
}

void Replica::ApplyCommitted() {
  while (applied_index_ < commit_index_ && role_ != LogRole::kFailed) {
    const LogEntry& entry = log_.At(applied_index_ + 1);
    const LogPosition position{entry.term, entry.index};
    applied_index_ = entry.index;
    if (entry.kind != EntryKind::kCommand) continue;
    const std::string answer = parts_.machine->Apply(entry.index, entry.payload);
    if (parts_.on_applied) parts_.on_applied(position, answer);
  }
}

void Replica::TakeSnapshotIfDue() {
  if (role_ == LogRole::kFailed) return;
  const auto last = log_.snapshot();
  const std::uint64_t last_index = last ? last->index : 0;
  const LogOptions& options = parts_.options;
  // A snapshot that is taken for fewer bytes than it has would cost more than the log.
  const std::uint64_t due_bytes =
      std::max<std::uint64_t>(options.snapshot_after_bytes, last ? last->state.size() : 0);
  const bool is_due = applied_index_ - last_index >= options.snapshot_after_entries ||
                      log_.BytesBetween(last_index, applied_index_) >= due_bytes;
  if (!is_due) return;
  LogSnapshot snapshot;
  snapshot.index = applied_index_;
  snapshot.term = *log_.TermAt(applied_index_);
  snapshot.membership = log_.MembershipAt(applied_index_);
  snapshot.state = parts_.machine->Snapshot();
  log_.Compact(std::move(snapshot), options.trailing_entries, options.trailing_bytes);
  RequestFlush();
}

void Replica::SetRole(LogRole role) {
  if (role == role_) return;
  role_ = role;
  LogEvent(LogLevel::kInfo, "log_role", {{"role", NameOf(role)}, {"term", term()}});
}

void Replica::BecomeFollower(std::uint64_t new_term, const std::optional<ReplicaId>& leader) {
  if (new_term > term()) {
    log_.SetVote({new_term, std::nullopt});
    last_leader_contact_.reset();
    RequestFlush();
  }
  campaign_ = Campaign::kNone;
  votes_.clear();
  if (leader != leader_) assembler_ = {};
  leader_ = leader;
  const bool was_leader = role_ == LogRole::kLeader;
  SetRole(IsVoter() ? LogRole::kFollower : LogRole::kLearner);
  if (was_leader) {
    last_allegiance_ = Now();
    peers_.clear();
    round_requested_ = false;
    ResetElectionDeadline();
    reads_.FailAll();
  }
  if (parts_.on_changed) parts_.on_changed();
}

void Replica::Fail(const std::string& reason) {
  last_reason_ = reason;
  outbox_.clear();
  SetRole(LogRole::kFailed);
  LogEvent(LogLevel::kError, "log_failed", {{"reason", reason}});
  reads_.FailAll();
  if (parts_.on_changed) parts_.on_changed();
  if (parts_.on_failed) parts_.on_failed(reason);
}

LogStatus Replica::status() const {
  LogStatus status;
  status.self = self_;
  status.role = role_;
  status.term = term();
  status.leader = leader_;
  status.commit_index = commit_index_;
  status.applied_index = applied_index_;
  status.last_index = log_.last_index();
  status.snapshot_index = log_.snapshot() ? log_.snapshot()->index : 0;
  status.entry_bytes = log_.BytesBetween(log_.base_index(), log_.last_index());
  status.membership = membership();
  for (const auto& [id, peer] : peers_) {
    status.peers.push_back(
        {id, membership().Contains(id), peer.match_index, Now() - peer.last_contact});
  }
  return status;
}

}  // namespace kumquat::Internal

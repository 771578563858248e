// The leader's part: replication, commitment and membership changes.
#include <algorithm>
#include <utility>

#include "coordination/log/replica.h"
#include "utils/log.h"

namespace kumquat::Internal {
namespace {

// Returns the number of voters that are in only one of the two memberships.
std::size_t CountDifferences(const Membership& one, const Membership& other) {
  std::size_t differences = 0;
  for (const ReplicaId& id : one.voters) differences += other.Contains(id) ? 0 : 1;
  for (const ReplicaId& id : other.voters) differences += one.Contains(id) ? 0 : 1;
  return differences;
}

bool HasDistinctNames(const Membership& membership) {
  std::set<std::string> names;
  for (const ReplicaId& id : membership.voters) names.insert(id.name);
  return names.size() == membership.voters.size();
}

}  // namespace

void Replica::BecomeLeader(const std::optional<Membership>& founding_members) {
  campaign_ = Campaign::kNone;
  votes_.clear();
  sole_leader_since_ = Now() - voters_quiet_for_;
  leader_ = self_;
  last_leader_contact_.reset();
  peers_.clear();
  SetRole(LogRole::kLeader);
  if (founding_members) AppendLocally(EntryKind::kMembership, EncodeMembership(*founding_members));
  TrackVoters();
  no_op_index_ = AppendLocally(EntryKind::kNoOp, "").index;
  round_requested_ = true;
  next_heartbeat_ = Now() + parts_.options.heartbeat_interval;
  if (parts_.on_changed) parts_.on_changed();
}

LogPosition Replica::AppendLocally(EntryKind kind, std::string_view payload) {
  const LogEntry entry{term(), log_.last_index() + 1, kind, std::string(payload)};
  log_.Append({&entry, 1});
  RequestFlush();
  return {entry.term, entry.index};
}

void Replica::TrackVoters() {
  for (const ReplicaId& voter : membership().voters) {
    if (voter == self_) continue;
    const auto [entry, added] = peers_.try_emplace(voter);
    if (!added) continue;
    entry->second.next_index = log_.last_index() + 1;
    entry->second.last_contact = Now();
  }
}

std::optional<LogPosition> Replica::Reject(std::string_view reason) {
  last_reason_ = reason;
  return std::nullopt;
}

std::optional<LogPosition> Replica::Propose(std::string_view command) {
  if (role_ != LogRole::kLeader) return Reject("This replica isn't the leader.");
  if (log_.last_index() - commit_index_ >= parts_.options.max_uncommitted_entries) {
    return Reject("Too many commands wait to be committed.");
  }
  const std::uint64_t uncommitted_bytes = log_.BytesBetween(commit_index_, log_.last_index());
  if (uncommitted_bytes > 0 &&
      uncommitted_bytes + command.size() > parts_.options.max_uncommitted_bytes) {
    return Reject("Too many bytes wait to be committed.");
  }
  return AppendLocally(EntryKind::kCommand, command);
}

std::optional<LogPosition> Replica::ProposeMembership(const Membership& wanted) {
  if (role_ != LogRole::kLeader) return Reject("This replica isn't the leader.");
  // Until the leader has committed an entry of its own term, it can't know that the membership it
  // starts from is the newest committed one.
  if (commit_index_ < no_op_index_) return Reject("No entry of this term is committed yet.");
  if (log_.membership_index() > commit_index_) {
    return Reject("Another change of the membership is under way.");
  }
  if (CountDifferences(membership(), wanted) != 1) return Reject("Exactly one voter must change.");
  if (!wanted.Contains(self_)) return Reject("The leader can't remove itself.");
  if (!HasDistinctNames(wanted)) return Reject("Two voters have the same name.");
  const Membership before = membership();
  const LogPosition position = AppendLocally(EntryKind::kMembership, EncodeMembership(wanted));
  for (const ReplicaId& id : before.voters) {
    if (!wanted.Contains(id)) peers_.erase(id);
  }
  TrackVoters();
  return position;
}

void Replica::ConfirmLeadership(std::function<void(bool confirmed)> callback) {
  if (role_ != LogRole::kLeader) {
    callback(false);
    return;
  }
  const std::uint64_t index = std::max(commit_index_, no_op_index_);
  const Instant deadline = Now() + parts_.options.confirm_timeout;
  reads_.Add({round_ + 1, index, deadline, std::move(callback)});
  round_requested_ = true;
  RequestFlush();
}

void Replica::LeaderTick() {
  if (!HasQuorumContact(membership())) {
    LogEvent(LogLevel::kWarning, "log_majority_lost", {{"term", term()}});
    BecomeFollower(term(), std::nullopt);
    return;
  }
  reads_.Expire(Now());
  ForgetSilentLearners();
  AdmitLearners();
  if (Now() < next_heartbeat_) return;
  next_heartbeat_ = Now() + parts_.options.heartbeat_interval;
  round_requested_ = true;
  for (auto& [id, peer] : peers_) {
    peer.chunk_in_flight = false;
    peer.probe_in_flight = false;
  }
}

bool Replica::IsInContact(const ReplicaId& id) const {
  if (id == self_) return true;
  const auto found = peers_.find(id);
  if (found == peers_.end()) return false;
  return Now() - found->second.last_contact <= parts_.options.election_timeout_max;
}

bool Replica::HasQuorumContact(const Membership& members) const {
  const auto in_contact = std::count_if(members.voters.begin(), members.voters.end(),
                                        [&](const ReplicaId& id) { return IsInContact(id); });
  return static_cast<std::size_t>(in_contact) > members.voters.size() / 2;
}

void Replica::Replicate() {
  if (round_requested_) ++round_;
  for (auto& [id, peer] : peers_) ReplicateTo(id, peer);
  round_requested_ = false;
}

void Replica::ReplicateTo(const ReplicaId& id, PeerProgress& peer) {
  const bool needs_snapshot = !log_.TermAt(peer.next_index - 1);
  if (!peer.snapshot && needs_snapshot) {
    peer.snapshot = log_.snapshot();
    peer.snapshot_offset = 0;
    peer.chunk_in_flight = false;
  }
  if (peer.snapshot && !peer.chunk_in_flight) SendChunk(id, peer);
  bool sent = false;
  while (MaySendEntries(peer)) {
    SendEntries(id, peer);
    sent = true;
  }
  const bool has_new_commit = !peer.snapshot && peer.sent_commit_index < commit_index_;
  if (!sent && (round_requested_ || has_new_commit)) SendHeartbeat(id, peer);
}

bool Replica::MaySendEntries(const PeerProgress& peer) const {
  if (peer.snapshot || peer.probe_in_flight || peer.next_index > log_.last_index()) return false;
  const std::uint64_t unacknowledged_bytes =
      log_.BytesBetween(peer.match_index, peer.next_index - 1);
  return peer.next_index - peer.match_index <= parts_.options.max_unacknowledged_entries &&
         unacknowledged_bytes < parts_.options.max_unacknowledged_bytes;
}

void Replica::SendHeartbeat(const ReplicaId& id, PeerProgress& peer) {
  Append heartbeat;
  heartbeat.round = round_;
  if (!peer.snapshot) {
    heartbeat.previous_index = peer.next_index - 1;
    heartbeat.previous_term = *log_.TermAt(heartbeat.previous_index);
    heartbeat.commit_index = commit_index_;
    peer.sent_commit_index = commit_index_;
  }
  Queue(id, term(), heartbeat);
}

void Replica::SendEntries(const ReplicaId& id, PeerProgress& peer) {
  const LogOptions& options = parts_.options;
  Append append;
  append.previous_index = peer.next_index - 1;
  append.previous_term = *log_.TermAt(append.previous_index);
  append.commit_index = commit_index_;
  append.round = round_;
  append.entries =
      log_.Slice(peer.next_index, options.max_append_entries, options.max_append_bytes);
  peer.probe_in_flight = peer.probing;
  if (!peer.probing) peer.next_index += append.entries.size();
  peer.sent_commit_index = commit_index_;
  Queue(id, term(), std::move(append));
}

void Replica::SendChunk(const ReplicaId& id, PeerProgress& peer) {
  const LogSnapshot& snapshot = *peer.snapshot;
  InstallSnapshot message;
  message.chunk.index = snapshot.index;
  message.chunk.term = snapshot.term;
  message.chunk.membership = snapshot.membership;
  message.chunk.state =
      snapshot.state.substr(peer.snapshot_offset, parts_.options.snapshot_chunk_bytes);
  message.offset = peer.snapshot_offset;
  message.total_bytes = snapshot.state.size();
  message.round = round_;
  peer.chunk_in_flight = true;
  Queue(id, term(), std::move(message));
}

// Only entries of the leader's own term are committed by counting acknowledgements; committing one
// also commits all entries before it.
void Replica::AdvanceCommit() {
  const std::uint64_t majority_index = HighestReachedByMajority(
      log_.synced_index(), [](const PeerProgress& peer) { return peer.match_index; });
  if (majority_index <= commit_index_ || log_.TermAt(majority_index) != term()) return;
  commit_index_ = majority_index;
  RequestFlush();
}

// Returns the highest value that a majority of voters has reached; `own` is this replica's value.
std::uint64_t Replica::HighestReachedByMajority(
    std::uint64_t own, const std::function<std::uint64_t(const PeerProgress&)>& value) const {
  std::vector<std::uint64_t> values;
  for (const ReplicaId& voter : membership().voters) {
    values.push_back(voter == self_ ? own : value(peers_.at(voter)));
  }
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[values.size() / 2];
}

PeerProgress* Replica::RecordPeerContact(const LogMessage& message) {
  if (role_ != LogRole::kLeader || message.term != term()) return nullptr;
  const auto found = peers_.find(message.from);
  if (found == peers_.end()) return nullptr;
  found->second.last_contact = Now();
  RequestFlush();
  return &found->second;
}

void Replica::Handle(const LogMessage& message, const AppendAnswer& answer) {
  PeerProgress* peer = RecordPeerContact(message);
  if (!peer) return;
  peer->acknowledged_round = std::max(peer->acknowledged_round, answer.round);
  if (answer.accepted) {
    peer->match_index = std::max(peer->match_index, answer.index);
    peer->next_index = std::max(peer->next_index, peer->match_index + 1);
    peer->probing = false;
    peer->probe_in_flight = false;
    return;
  }
  const std::uint64_t hint = std::min(answer.index, peer->next_index);
  const std::uint64_t next_index = std::max(peer->match_index + 1, hint);
  const bool is_duplicate = peer->probing && next_index == peer->next_index;
  if (is_duplicate) return;
  peer->next_index = next_index;
  peer->probing = true;
  peer->probe_in_flight = false;
}

void Replica::Handle(const LogMessage& message, const InstallSnapshotAnswer& answer) {
  PeerProgress* peer = RecordPeerContact(message);
  if (!peer) return;
  peer->acknowledged_round = std::max(peer->acknowledged_round, answer.round);
  if (!peer->snapshot || peer->snapshot->index != answer.snapshot_index) return;
  peer->chunk_in_flight = false;
  peer->snapshot_offset = std::min(answer.next_offset, peer->snapshot->state.size());
  if (!answer.installed) return;
  peer->match_index = std::max(peer->match_index, answer.snapshot_index);
  peer->next_index = peer->match_index + 1;
  peer->probing = false;
  peer->probe_in_flight = false;
  peer->snapshot.reset();
}

}  // namespace kumquat::Internal

// Implementation of ReplicatedLog: the protocol state of one replica.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/log/durable_log.h"
#include "coordination/log/peer_progress.h"
#include "coordination/log/read_queue.h"
#include "coordination/log/replicated_log.h"
#include "coordination/log/snapshot_assembler.h"

namespace kumquat::Internal {

struct ReplicaParts {
  std::string name;
  std::vector<std::string> member_names;
  LogOptions options;
  LogStorage* storage = nullptr;
  StateMachine* machine = nullptr;
  Clock clock;
  Random random;
  std::function<void(const LogMessage& message)> send;
  std::function<void(const LogPosition& position, std::string_view answer)> on_applied;
  std::function<void()> on_changed;
  std::function<void()> on_flush_requested;
  std::function<void(const std::string& reason)> on_failed;
};

class Replica {
 public:
  explicit Replica(ReplicaParts parts);

  bool Start();
  void Tick();
  void SetSeeds(std::vector<std::string> names) { parts_.member_names = std::move(names); }
  void Receive(const LogMessage& message);
  bool InContact() const;
  Instant sole_leader_since() const { return sole_leader_since_; }
  std::optional<LogPosition> Propose(std::string_view command);
  std::optional<LogPosition> ProposeMembership(const Membership& membership);
  void ConfirmLeadership(std::function<void(bool confirmed)> callback);
  void Flush();

  LogRole role() const { return role_; }
  std::uint64_t term() const { return log_.vote().term; }
  const ReplicaId& self() const { return self_; }
  const std::optional<ReplicaId>& leader() const { return leader_; }
  std::uint64_t commit_index() const { return commit_index_; }
  std::uint64_t applied_index() const { return applied_index_; }
  const Membership& membership() const { return log_.membership(); }
  std::vector<ReplicaId> learners() const;
  LogStatus status() const;
  const std::string& last_reason() const { return last_reason_; }

 private:
  // The kind of election that this replica is running.
  enum class Campaign { kNone, kPreVote, kVote, kFounding };

  // What a replica reported in its last answer to Join.
  struct Discovery {
    ReplicaId id;
    bool empty = false;
    std::uint64_t term = 0;
    Instant at{0};
  };

  // replica.cpp: shared by all roles.
  Instant Now() const { return parts_.clock(); }
  bool IsVoter() const { return membership().Contains(self_); }
  bool IsQuiet() const { return Now() < quiet_until_; }
  void Queue(const ReplicaId& to, std::uint64_t message_term, LogMessage::Body body);
  void Answer(const LogMessage& message, LogMessage::Body body);
  void RequestFlush();
  void FlushOnce();
  void SendOutbox();
  void ApplyCommitted();
  void TakeSnapshotIfDue();
  void SetRole(LogRole role);
  void BecomeFollower(std::uint64_t new_term, const std::optional<ReplicaId>& leader);
  void Fail(const std::string& reason);
  // Stores the reason and returns false.
  bool FailStart(std::string_view reason);
  void Dispatch(const LogMessage& message);

  // replica_election.cpp: campaigns and votes.
  void ResetElectionDeadline();
  // Sets the next campaign to a random time `lowest` to `highest` after now, or after the end of
  // the quiet period if that is later.
  void SetElectionDeadline(Duration lowest, Duration highest);
  bool HasRecentLeaderContact() const;
  bool IsUpToDate(std::uint64_t last_index, std::uint64_t last_term) const;
  void StartPreVote();
  void StartVote();
  void RequestVotes(std::uint64_t message_term, const LogMessage::Body& body);
  void CountVote(const ReplicaId& from);
  void Handle(const LogMessage& message, const PreVote& request);
  void Handle(const LogMessage& message, const PreVoteAnswer& answer);
  void Handle(const LogMessage& message, const Vote& request);
  void Handle(const LogMessage& message, const VoteAnswer& answer);
  bool MayVoteFor(const ReplicaId& candidate, const Vote& request) const;

  // replica_follower.cpp: storing the leader's entries and snapshots.
  bool AcceptLeader(const LogMessage& message);
  void Handle(const LogMessage& message, const Append& request);
  void Handle(const LogMessage& message, const InstallSnapshot& request);
  std::uint64_t ConflictHint(const Append& request) const;
  bool AppendNewEntries(const Append& request);
  bool RestoreSnapshot(LogSnapshot snapshot);

  // replica_leader.cpp: replication and commitment.
  void BecomeLeader(const std::optional<Membership>& founding_members);
  LogPosition AppendLocally(EntryKind kind, std::string_view payload);
  // Starts to track the replication progress of voters that aren't tracked yet.
  void TrackVoters();
  void LeaderTick();
  bool HasQuorumContact(const Membership& members) const;
  bool IsInContact(const ReplicaId& id) const;
  void Replicate();
  void ReplicateTo(const ReplicaId& id, PeerProgress& peer);
  void SendHeartbeat(const ReplicaId& id, PeerProgress& peer);
  void SendEntries(const ReplicaId& id, PeerProgress& peer);
  // Returns whether another message of entries may be sent before the replica acknowledges.
  bool MaySendEntries(const PeerProgress& peer) const;
  void SendChunk(const ReplicaId& id, PeerProgress& peer);
  void AdvanceCommit();
  std::uint64_t HighestReachedByMajority(
      std::uint64_t own, const std::function<std::uint64_t(const PeerProgress&)>& value) const;
  // Records contact with the sender and returns its progress. Returns null when this replica
  // doesn't lead the message's term or doesn't track the sender.
  PeerProgress* RecordPeerContact(const LogMessage& message);
  void Handle(const LogMessage& message, const AppendAnswer& answer);
  void Handle(const LogMessage& message, const InstallSnapshotAnswer& answer);
  // Stores the reason for last_reason() and returns std::nullopt.
  std::optional<LogPosition> Reject(std::string_view reason);

  // replica_admission.cpp: founding the cluster and replacing lost replicas.
  void AnnounceIfDue();
  void StartFoundingElectionIfPossible();
  std::optional<Membership> FoundingMembers() const;
  void AdmitLearners();
  bool AdmitLearner(const ReplicaId& id, const PeerProgress& peer);
  void ForgetSilentLearners();
  bool HasOpenMembership() const { return parts_.options.open_membership_voters > 0; }
  bool IsMemberName(std::string_view name) const;
  bool MayJoin(std::string_view name) const { return HasOpenMembership() || IsMemberName(name); }
  std::set<std::string> KnownNames() const;
  const ReplicaId* LongestSilentVoter() const;
  // Returns whether the leader has had no contact with the voter for so long that it may be
  // replaced.
  bool IsLongSilent(const ReplicaId& voter) const;
  void Handle(const LogMessage& message, const Join& request);
  void Handle(const LogMessage& message, const JoinAnswer& answer);

  ReplicaParts parts_;
  DurableLog log_;
  ReplicaId self_;
  LogRole role_ = LogRole::kLearner;
  std::optional<ReplicaId> leader_;
  std::uint64_t commit_index_ = 0;
  std::uint64_t applied_index_ = 0;
  // End of the quiet period (LogOptions::startup_quiet_period).
  Instant quiet_until_{0};
  std::string last_reason_;

  std::vector<LogMessage> outbox_;
  bool flush_requested_ = false;
  bool in_flush_ = false;

  Campaign campaign_ = Campaign::kNone;
  std::set<ReplicaId> votes_;
  Membership founding_members_;
  Instant election_deadline_{0};
  std::optional<Instant> last_leader_contact_;
  // When this replica last led or accepted a message of a leader; its start before that.
  Instant last_allegiance_{0};
  // The shortest time for which one of those that voted for this replica was quiet, itself
  // included.
  Duration voters_quiet_for_{0};
  Instant sole_leader_since_{0};
  SnapshotAssembler assembler_;

  std::map<ReplicaId, PeerProgress> peers_;
  // The number of the newest heartbeat round.
  std::uint64_t round_ = 0;
  bool round_requested_ = false;
  Instant next_heartbeat_{0};
  // Index of the no-op entry with which this leader began its term.
  std::uint64_t no_op_index_ = 0;
  ReadQueue reads_;

  Instant next_announcement_{0};
  // Names of voters that other replicas reported, for open membership.
  std::set<std::string> discovered_names_;
  std::map<std::string, Discovery> discoveries_;
};

}  // namespace kumquat::Internal

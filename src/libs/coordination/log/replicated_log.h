// A replicated log: one leader orders commands, a majority of replicas stores them durably, and
// every replica applies them to its state machine in the same order.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/log/log_messages.h"
#include "coordination/log/log_storage.h"
#include "coordination/state_machine.h"
#include "utils/hooks.h"

namespace kumquat {

namespace Internal {
class Replica;
struct ReplicaParts;
}  // namespace Internal

// A learner receives entries but isn't a voter of the newest membership in its log. A failed
// replica has stopped for good, after a storage failure, an inconsistent log or a snapshot that its
// state machine rejected.
enum class LogRole { kLearner, kFollower, kCandidate, kLeader, kFailed };

// Returns the role's name in lower case, for status reports and log events.
std::string_view NameOf(LogRole role);

// Position of an entry in the log. A proposed command was committed only if the entry applied at
// its index has the same term; otherwise another leader's entry has replaced it.
struct LogPosition {
  std::uint64_t term = 0;
  std::uint64_t index = 0;

  bool operator==(const LogPosition&) const = default;
};

// Timeouts and limits of a replica. Each election timeout is drawn at random from
// election_timeout_min to election_timeout_max.
struct LogOptions {
  Duration heartbeat_interval = std::chrono::milliseconds(100);
  Duration election_timeout_min = std::chrono::milliseconds(500);
  Duration election_timeout_max = std::chrono::milliseconds(1000);

  // Length of the quiet period after a start, in which a replica neither votes, campaigns nor
  // acknowledges; only the election that founds a cluster of empty replicas is exempt and ends the
  // period. So a voter that refused every connection of a prober, at intervals shorter than this
  // less a margin for clock drift, neither voted nor acknowledged anything in that time; its owner
  // must listen before it calls Start(). While that holds for a majority of the voters, no command
  // that is proposed is committed.
  Duration startup_quiet_period = std::chrono::seconds(1);

  // Upper bound of the first election timeout after a start, counted from the end of the quiet
  // period; the lower bound is half of it. It may be shorter than later timeouts as long as a live
  // leader sends several heartbeats in this time; a pre-vote that still comes too early raises no
  // other replica's term. If unset, the first timeout is drawn like all others.
  std::optional<Duration> first_election_timeout_max;

  // Number of voters up to which replicas of any name are admitted (open membership); 0 if only the
  // configured member names may ever vote. With open membership, names are addresses and the
  // configured ones are the seeds: they found the cluster and tell other replicas its voters. Once
  // there are this many voters, a replica that has caught up replaces the voter that has been
  // silent longest, if that is for more than twice election_timeout_max.
  std::size_t open_membership_voters = 0;

  // Whether this replica may found a cluster while it is empty.
  bool may_found_cluster = true;

  // How long ConfirmLeadership() waits for acknowledgements from a majority.
  Duration confirm_timeout = std::chrono::seconds(2);

  // A snapshot is taken once this many entries, or payload bytes, have been applied since the last
  // one. While the last snapshot is larger than these bytes, as many bytes as it has must have been
  // applied instead.
  std::uint64_t snapshot_after_entries = 10'000;
  std::uint64_t snapshot_after_bytes = 8 * 1024 * 1024;

  // Applied entries that stay in memory after a snapshot, so that replicas that lag a little get
  // entries instead of the snapshot; fewer where their payloads have more bytes than this.
  std::uint64_t trailing_entries = 1'000;
  std::uint64_t trailing_bytes = 2 * 1024 * 1024;

  // Propose() refuses commands while this many entries are uncommitted, or while the payload bytes
  // of several would exceed the limit.
  std::uint64_t max_uncommitted_entries = 65'536;
  std::uint64_t max_uncommitted_bytes = 16 * 1024 * 1024;

  // Limits of one Append message. The bytes are those of the payloads; a first entry that is larger
  // is sent alone.
  std::uint64_t max_append_entries = 512;
  std::uint64_t max_append_bytes = 256 * 1024;

  // No more entries are sent to a replica while this many entries, or payload bytes, are
  // unacknowledged by it.
  std::uint64_t max_unacknowledged_entries = 4'096;
  std::uint64_t max_unacknowledged_bytes = 4 * 1024 * 1024;

  // State bytes in one InstallSnapshot message.
  std::uint64_t snapshot_chunk_bytes = 256 * 1024;
};

// Status of one replica, for operators.
struct LogStatus {
  // Another replica, as the leader sees it.
  struct Peer {
    ReplicaId id;
    bool voter = false;
    std::uint64_t acknowledged_index = 0;
    Duration silent_for{0};
  };

  ReplicaId self;
  LogRole role = LogRole::kLearner;
  std::uint64_t term = 0;
  std::optional<ReplicaId> leader;
  std::uint64_t commit_index = 0;
  std::uint64_t applied_index = 0;
  std::uint64_t last_index = 0;
  std::uint64_t snapshot_index = 0;

  // Payload bytes of the entries in memory.
  std::uint64_t entry_bytes = 0;
  Membership membership;

  // Filled on the leader only.
  std::vector<Peer> peers;
};

// One replica of the log. It has neither sockets nor timers: the owner delivers incoming messages
// with Receive(), transmits the ones passed to the OnSend() callback, and calls Tick().
//
// Writes and outgoing messages are batched until Flush(), which syncs the storage once and only
// then sends the messages. The result of a command is reported through the OnApplied() callback,
// after a majority of voters has synced the command.
class ReplicatedLog {
 public:
  class Builder;

  ~ReplicatedLog();
  ReplicatedLog(const ReplicatedLog&) = delete;
  ReplicatedLog& operator=(const ReplicatedLog&) = delete;

  // Loads the storage and restores the state machine from the snapshot. Returns false when that
  // fails, and the replica then has failed for good; last_reason() says why. Nothing is sent before
  // the first Tick().
  bool Start();

  // Runs heartbeats, elections and other timed work that is due, then flushes. Must be called every
  // 10 to 20 ms.
  void Tick();

  // Replaces the member names, which are the seeds when membership is open.
  void SetSeeds(std::vector<std::string> names);

  // Handles a message from another replica; answers are sent by the next flush.
  void Receive(const LogMessage& message);

  // Appends a command and returns its position. Returns std::nullopt when this replica isn't the
  // leader or too many entries are uncommitted; last_reason() says why. The result is reported
  // through OnApplied(); after a change of role the outcome is unknown until the entry at the
  // returned index is applied.
  std::optional<LogPosition> Propose(std::string_view command);

  // Checks that this replica was still the leader at the time of the call and has applied
  // everything that was committed by then, so that reads of its state are linearizable. The
  // callback runs once, with false when leadership is lost or no majority answers within
  // confirm_timeout.
  void ConfirmLeadership(std::function<void(bool confirmed)> callback);

  // Proposes a membership that differs from the current one by one added or removed voter. Returns
  // std::nullopt when this replica isn't the leader, another change is in progress or the change
  // isn't allowed; last_reason() says why. Lost replicas are replaced without this call.
  std::optional<LogPosition> ProposeMembership(const Membership& membership);

  // Syncs the storage, then sends the queued messages and applies what is committed. Cheap when
  // nothing is pending.
  void Flush();

  LogRole role() const;
  std::uint64_t term() const;
  ReplicaId self() const;
  std::optional<ReplicaId> leader() const;
  std::uint64_t commit_index() const;
  std::uint64_t applied_index() const;

  // The voters of the newest membership entry in the log, committed or not.
  const std::vector<ReplicaId>& voters() const;

  // Replicas that this leader replicates to but that don't vote; empty when it isn't the leader.
  std::vector<ReplicaId> learners() const;

  // While this replica leads: no earlier leader has begun a round that a majority confirmed since
  // this time. Each of those that elected this replica was quiet from then on until it voted, and
  // acknowledges nothing of earlier terms since; a majority that confirms has one of them.
  Instant sole_leader_since() const;

  // Returns whether this replica leads and is in contact with a majority, or has heard from its
  // leader within the maximum election timeout.
  bool in_contact() const;

  LogStatus status() const;
  const std::string& last_reason() const;

 private:
  explicit ReplicatedLog(std::unique_ptr<Internal::Replica> replica);

  std::unique_ptr<Internal::Replica> replica_;
};

// Collects the dependencies of a replica. Name, storage, state machine, clock, randomness and
// OnSend() are required.
class ReplicatedLog::Builder {
 public:
  Builder();
  ~Builder();

  Builder& Name(std::string_view name);

  // The names of all replicas of the cluster, including this one. An empty cluster is founded only
  // when every one of them is reachable and empty. A replica with one of these names may rejoin
  // after it lost its disk.
  Builder& MemberNames(std::vector<std::string> names);
  Builder& Options(const LogOptions& options);
  Builder& Storage(LogStorage* storage);
  Builder& Machine(StateMachine* machine);
  Builder& Time(Clock clock);
  Builder& Randomness(Random random);

  // Called to send a message to `message.to.name`; messages may be lost, delayed, duplicated or
  // reordered.
  Builder& OnSend(std::function<void(const LogMessage& message)> send);

  // Called after a command was committed and applied to the local state machine, with the state
  // machine's answer. Runs on every replica, for every command that it doesn't get as part of a
  // snapshot.
  Builder& OnApplied(
      std::function<void(const LogPosition& position, std::string_view answer)> on_applied);

  // Called when role, term or leader may have changed.
  Builder& OnChanged(std::function<void()> on_changed);

  // Called at most once between two flushes, when the first work for Flush() is queued, so that the
  // owner can schedule a flush before the next Tick().
  Builder& OnFlushRequested(std::function<void()> on_flush_requested);

  // Called when the storage failed, the log is inconsistent or the state machine rejected the
  // leader's snapshot. The replica has stopped for good: the owner must build a new one or end the
  // process.
  Builder& OnFailed(std::function<void(const std::string& reason)> on_failed);

  // Builds the replica. The storage and the state machine aren't owned and must outlive it.
  std::unique_ptr<ReplicatedLog> Build();

 private:
  std::unique_ptr<Internal::ReplicaParts> parts_;
};

}  // namespace kumquat

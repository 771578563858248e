// The replicated log: one leader orders commands, a majority of replicas keeps them durably, and
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

enum class LogRole { kLearner, kFollower, kCandidate, kLeader, kFailed };

// Returns the role's name in lower case, for status and logs.
std::string_view NameOf(LogRole role);

// The place of an entry. Only an entry applied with the same term and index is the proposed one.
struct LogPosition {
  std::uint64_t term = 0;
  std::uint64_t index = 0;

  bool operator==(const LogPosition&) const = default;
};

// The times and limits of a replica. Election timeouts are drawn between the two bounds.
struct LogOptions {
  Duration heartbeat_interval = std::chrono::milliseconds(100);
  Duration election_timeout_min = std::chrono::milliseconds(500);
  Duration election_timeout_max = std::chrono::milliseconds(1000);

  // How long a replica that holds entries neither votes, campaigns nor acknowledges after its
  // start. Whoever finds that a majority of replicas refused connections knows from it that
  // nothing was committed in the meantime. The founding of an empty cluster doesn't wait.
  Duration startup_quiet = std::chrono::seconds(1);

  // The longest time until a replica campaigns after its start, once it is no longer quiet and
  // hears no leader; the shortest is half of it. A leader that lives is heard several times in it,
  // and a pre-vote disturbs none. Nothing where the first time is drawn like all others.
  std::optional<Duration> first_campaign;

  // Voters up to which replicas of any name are taken in; 0 where only the names that the replica
  // was given may ever vote. Names are addresses then, and the given ones are the seeds: they found
  // the log, and tell others who is in it. Once there are this many voters, a replica that has
  // caught up takes the place of the one that has been silent longest.
  std::size_t open_voters = 0;

  // Whether an empty replica may take part in the founding of a cluster.
  bool may_found = true;

  // How long ConfirmLeadership() waits for a majority.
  Duration confirm_timeout = std::chrono::seconds(2);

  // A snapshot replaces the entries when this many have been applied since the last one.
  std::uint64_t snapshot_after_entries = 10'000;

  // Applied entries that stay in memory after a snapshot, for replicas that lag a little.
  std::uint64_t trailing_entries = 1'000;

  // More commands than this aren't taken in while they wait to be committed.
  std::uint64_t max_uncommitted_entries = 65'536;

  std::uint64_t max_append_entries = 512;
  std::uint64_t max_append_bytes = 256 * 1024;
  std::uint64_t max_unacknowledged_entries = 4'096;
  std::uint64_t snapshot_chunk_bytes = 256 * 1024;
};

// What an operator sees of one replica.
struct LogStatus {
  // A peer as the leader sees it.
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
  Membership membership;

  // Filled on the leader only.
  std::vector<Peer> peers;
};

// One replica of the log. It has neither sockets nor timers: the owner passes messages in and
// out and calls Tick().
//
// Work that must be durable is gathered until Flush(), which syncs the storage once and only then
// hands the messages out. A command is answered through `on_applied`, after a majority of voters
// has synced it.
class ReplicatedLog {
 public:
  class Builder;

  ~ReplicatedLog();
  ReplicatedLog(const ReplicatedLog&) = delete;
  ReplicatedLog& operator=(const ReplicatedLog&) = delete;

  // Loads the storage and restores the state machine; false when that fails, with last_reason().
  // Nothing is sent before the first Tick().
  bool Start();

  // Does what is due by the clock, then flushes. To be called every 10 to 20 ms.
  void Tick();

  // Replaces the names of the seeds, where membership is open.
  void SetSeeds(std::vector<std::string> names);

  // Takes a message from another replica in; answers go out with the next flush.
  void Receive(const LogMessage& message);

  // Appends a command when this replica leads; nothing otherwise, with last_reason(). The outcome
  // follows through `on_applied`; after a change of role it is unknown until the entry at the
  // returned index is applied.
  std::optional<LogPosition> Propose(std::string_view command);

  // Tells whether this replica was still the leader at the time of the call and has applied all
  // that was committed by then, so that its state may be served. The callback runs once, with
  // false when leadership is lost or no majority answers in time.
  void ConfirmLeadership(std::function<void(bool confirmed)> callback);

  // Adds or removes one voter. Nothing when this replica doesn't lead or another change is under
  // way, with last_reason(). Lost replicas are replaced without this call.
  std::optional<LogPosition> ProposeMembership(const Membership& membership);

  // Syncs the storage and hands out what waits for it. Cheap when there is nothing.
  void Flush();

  LogRole role() const;
  std::uint64_t term() const;
  ReplicaId self() const;
  std::optional<ReplicaId> leader() const;
  std::uint64_t commit_index() const;
  std::uint64_t applied_index() const;

  // The voters of the newest membership entry in the log, committed or not.
  const std::vector<ReplicaId>& voters() const;

  // Replicas that the leader brings up to date without counting them; empty on others.
  std::vector<ReplicaId> learners() const;

  // Returns whether this replica leads and hears a majority, or has heard its leader lately.
  bool in_contact() const;

  LogStatus status() const;
  const std::string& last_reason() const;

 private:
  explicit ReplicatedLog(std::unique_ptr<Internal::Replica> replica);

  std::unique_ptr<Internal::Replica> replica_;
};

// Collects what a replica needs. Name, storage, state machine, clock, random and send are required.
class ReplicatedLog::Builder {
 public:
  Builder();
  ~Builder();

  Builder& Name(std::string_view name);

  // The names of all replicas of the cluster, this one included. An empty cluster is founded only
  // when every one of them is reachable and empty; the same names may join again after they lost
  // their disk.
  Builder& MemberNames(std::vector<std::string> names);
  Builder& Options(const LogOptions& options);
  Builder& Storage(LogStorage* storage);
  Builder& Machine(StateMachine* machine);
  Builder& Time(Clock clock);
  Builder& Randomness(Random random);

  // Sends a message to `message.to.name`; it may lose, delay, duplicate or reorder it.
  Builder& OnSend(std::function<void(const LogMessage& message)> send);

  // A command was committed and applied here; runs on every replica, for every command that isn't
  // covered by a snapshot.
  Builder& OnApplied(
      std::function<void(const LogPosition& position, std::string_view answer)> on_applied);

  // Role, term or leader changed.
  Builder& OnChanged(std::function<void()> on_changed);

  // Work waits for Flush(). Called once until that flush, so that the owner can schedule it sooner
  // than the next Tick().
  Builder& OnFlushWanted(std::function<void()> on_flush_wanted);

  // The storage failed or the log is broken: the replica has stopped for good, and the process
  // should end.
  Builder& OnFailed(std::function<void(const std::string& reason)> on_failed);

  // The storage and the state machine must outlive the log.
  std::unique_ptr<ReplicatedLog> Build();

 private:
  std::unique_ptr<Internal::ReplicaParts> parts_;
};

}  // namespace kumquat

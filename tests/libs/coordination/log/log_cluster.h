// Replicas of one log on a virtual clock and a faulty network, watched by an oracle.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "coordination/log/replicated_log.h"
#include "memory_log_storage.h"

namespace kumquat {

// Keeps the commands with their indices.
class RecordingMachine : public StateMachine {
 public:
  std::string Apply(std::uint64_t index, std::string_view command) override;
  std::string Snapshot() const override;
  bool Restore(std::string_view snapshot) override;

  const std::map<std::uint64_t, std::string>& commands() const { return commands_; }

 private:
  std::map<std::uint64_t, std::string> commands_;
};

class LogCluster {
 public:
  LogCluster(std::size_t replicas, std::uint64_t seed, const LogOptions& options);

  // Lets this much time pass, in ticks of 10 ms.
  void Run(Duration time);

  // Proposes a command at the replica, whatever it takes itself for.
  bool Propose(std::size_t at);
  void Confirm(std::size_t at);
  void SetLink(std::size_t from, std::size_t to, bool up);
  void Isolate(std::size_t replica);
  void SetFrozen(std::size_t replica, bool frozen) { nodes_[replica].frozen = frozen; }

  // Ends the process in the next tick, between its writes and their sync.
  void Crash(std::size_t replica) { nodes_[replica].crash_due = true; }
  void FailNextSync(std::size_t replica);
  void Restart(std::size_t replica);

  // Ends the process and empties its disk, unless a majority could be gone then; false in that
  // case. A lost replica counts as gone until a committed membership holds its successor.
  bool LoseDisk(std::size_t replica);

  // The same, whatever may be gone then.
  void WipeDisk(std::size_t replica);

  // Starts one more process of the same name on an empty disk; it becomes the last replica.
  void AddTwin(std::size_t replica);

  // Ends all faults: links up and reliable, every process running.
  void Heal();
  void SetReliable(bool reliable) { reliable_ = reliable; }

  std::size_t size() const { return nodes_.size(); }
  std::optional<std::size_t> leader() const;
  ReplicatedLog& log(std::size_t replica) { return *nodes_[replica].log; }
  const RecordingMachine& machine(std::size_t replica) { return *nodes_[replica].machine; }
  std::size_t accepted_count() const { return accepted_.size(); }
  std::size_t confirmed_count() const { return confirmed_; }
  std::size_t refused_count() const { return refused_; }
  bool everyone_is_voter() const;

  // Lists the replicas' states, for the report of a failure.
  std::string Describe() const;

  // The first thing that must not happen and did; empty when there was none.
  const std::string& violation() const { return violation_; }

  // Reports accepted commands that some replica lacks, and replicas that differ.
  void CheckAllEqual();

 private:
  struct Node {
    std::string name;
    MemoryDisk disk;
    std::unique_ptr<MemoryLogStorage> storage;
    std::unique_ptr<RecordingMachine> machine;
    std::unique_ptr<ReplicatedLog> log;
    double clock_rate = 1;
    Instant now{0};
    Instant started_at{0};
    bool had_entries = false;
    bool frozen = false;
    bool crash_due = false;
    bool gone = false;
    std::map<std::uint64_t, std::pair<std::uint64_t, std::string>> proposals;
  };

  void Step();
  void Deliver();
  void Stop(Node& node);
  void Start(Node& node);
  void Send(const LogMessage& message);
  void CheckQuiet(const Node& node, const LogMessage& message);
  void OnApplied(Node& node, const LogPosition& position, std::string_view answer);
  void Watch();
  void NoteReadmissions();
  void Violate(const std::string& what);
  bool Chance(std::uint64_t percent) { return random_() % 100 < percent; }
  std::size_t SenderOf(const LogMessage& message) const;

  std::mt19937_64 random_;
  LogOptions options_;
  std::deque<Node> nodes_;
  std::vector<std::string> names_;
  Instant now_{0};
  bool reliable_ = false;
  struct Packet {
    std::size_t to = 0;
    std::string bytes;
  };
  std::multimap<Instant, Packet> network_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  std::uint64_t next_command_ = 0;

  // The oracle.
  std::map<std::uint64_t, std::string> applied_;
  std::map<std::uint64_t, std::string> accepted_;
  std::map<std::uint64_t, ReplicaId> leader_of_term_;
  std::map<std::uint64_t, std::vector<ReplicaId>> voters_of_term_;
  std::size_t confirmed_ = 0;
  std::size_t refused_ = 0;
  std::string violation_;
};

}  // namespace kumquat

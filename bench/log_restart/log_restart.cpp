// Prints how long one replica on file storage takes to commit commands in batches, and to serve
// again after a restart, against the number of entries. Usage: log_restart FOLDER.
#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <filesystem>
#include <limits>
#include <memory>
#include <random>
#include <string>

#include "coordination/log/replicated_log.h"
#include "state/storage/log_file_storage.h"
#include "utils/log.h"

namespace kumquat {
namespace {

constexpr std::size_t kCommandBytes = 200;
constexpr std::uint64_t kCommandsForRate = 10'000;

// Keeps a sum, so that applying costs next to nothing.
class CountingMachine : public StateMachine {
 public:
  std::string Apply(std::uint64_t, std::string_view command) override {
    bytes_ += command.size();
    return "";
  }
  std::string Snapshot() const override { return std::to_string(bytes_); }
  bool Restore(std::string_view) override { return true; }

 private:
  std::size_t bytes_ = 0;
};

// A cluster of one replica on file storage, without quiet time and with the shortest election.
class OneReplica {
 public:
  OneReplica(const std::string& folder, std::uint64_t snapshot_after)
      : storage_(folder, [] { return std::random_device()(); }) {
    LogOptions options;
    options.startup_quiet_period = Duration(0);
    options.election_timeout_min = Duration(0);
    options.election_timeout_max = Duration(0);
    options.snapshot_after_entries = snapshot_after;
    log_ = ReplicatedLog::Builder()
               .Name("a")
               .MemberNames({"a"})
               .Options(options)
               .Storage(&storage_)
               .Machine(&machine_)
               .Time(SteadyClock())
               .Randomness([] { return 0; })
               .OnSend([](const LogMessage&) {})
               .Build();
  }

  // Returns once every stored entry is applied and the replica leads.
  bool Serve() {
    if (!log_->Start()) return false;
    while (log_->role() != LogRole::kLeader) log_->Tick();
    return log_->applied_index() == log_->status().last_index;
  }

  void Commit(std::uint64_t commands, std::uint64_t batch) {
    const std::string command(kCommandBytes, 'x');
    for (std::uint64_t i = 1; i <= commands; ++i) {
      log_->Propose(command);
      if (i % batch == 0 || i == commands) log_->Flush();
    }
  }

 private:
  LogFileStorage storage_;
  CountingMachine machine_;
  std::unique_ptr<ReplicatedLog> log_;
};

double SecondsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

void PrintCommitRates(const std::string& folder) {
  fmt::print("| commands a sync | commits/s |\n| --- | --- |\n");
  for (const std::uint64_t batch : {1, 10, 100, 1000}) {
    const std::string path = fmt::format("{}/rate-{}", folder, batch);
    OneReplica replica(path, std::numeric_limits<std::uint64_t>::max());
    if (!replica.Serve()) return;
    const std::uint64_t commands = batch == 1 ? kCommandsForRate / 10 : kCommandsForRate;
    const auto start = std::chrono::steady_clock::now();
    replica.Commit(commands, batch);
    fmt::print("| {} | {:.0f} |\n", batch, static_cast<double>(commands) / SecondsSince(start));
  }
}

void PrintRestartTimes(const std::string& folder) {
  fmt::print("\n| entries since the snapshot | restart, ms |\n| --- | --- |\n");
  for (const std::uint64_t entries : {1'000, 10'000, 100'000}) {
    const std::string path = fmt::format("{}/restart-{}", folder, entries);
    const std::uint64_t no_snapshot = std::numeric_limits<std::uint64_t>::max();
    auto replica = std::make_unique<OneReplica>(path, no_snapshot);
    if (!replica->Serve()) return;
    replica->Commit(entries, 100);
    replica.reset();
    const auto start = std::chrono::steady_clock::now();
    replica = std::make_unique<OneReplica>(path, no_snapshot);
    if (!replica->Serve()) return;
    fmt::print("| {} | {:.1f} |\n", entries, SecondsSince(start) * 1000);
  }
}

}  // namespace
}  // namespace kumquat

int main(int argc, char** argv) {
  if (argc != 2) {
    fmt::print(stderr, "Usage: log_restart FOLDER\n");
    return 1;
  }
  kumquat::ConfigureLog("bench", kumquat::LogLevel::kError);
  const std::string folder = std::string(argv[1]) + "/log_restart";
  std::filesystem::create_directories(folder);
  kumquat::PrintCommitRates(folder);
  kumquat::PrintRestartTimes(folder);
  std::filesystem::remove_all(folder);
  return 0;
}

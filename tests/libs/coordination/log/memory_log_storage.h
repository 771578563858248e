// LogStorage in memory that simulates the loss of unsynced writes in a crash.
#pragma once

#include <functional>
#include <random>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "coordination/log/log_storage.h"

namespace kumquat {

// The contents that survive a crash of the process.
struct MemoryDisk {
  StoredLog durable;
};

// The storage of one process on a disk, which must outlive it. Queued writes reach the disk in
// Sync(); a crash or a failed sync writes only a random prefix of them.
class MemoryLogStorage : public LogStorage {
 public:
  MemoryLogStorage(MemoryDisk* disk, std::mt19937_64* random) : disk_(disk), random_(random) {}

  void FailNextSync(bool fail) { fail_next_sync_ = fail; }

  void Crash() {
    Write((*random_)() % (queue_.size() + 1));
    failed_ = true;
  }

  std::optional<StoredLog> Load() override {
    while (disk_->durable.storage_identity == 0) disk_->durable.storage_identity = (*random_)();
    return disk_->durable;
  }

  void SaveVote(const VoteState& vote) override {
    queue_.push_back([vote](StoredLog* log) { log->vote = vote; });
  }

  void Append(std::span<const LogEntry> entries) override {
    for (const LogEntry& entry : entries) {
      queue_.push_back([entry](StoredLog* log) { log->entries.push_back(entry); });
    }
  }

  void TruncateFrom(std::uint64_t index) override {
    queue_.push_back([index](StoredLog* log) {
      std::erase_if(log->entries, [&](const LogEntry& entry) { return entry.index >= index; });
    });
  }

  void SaveSnapshot(const LogSnapshot& snapshot) override {
    queue_.push_back([snapshot](StoredLog* log) {
      bool keeps_tail = false;
      for (const LogEntry& entry : log->entries) {
        keeps_tail |= entry.index == snapshot.index && entry.term == snapshot.term;
      }
      std::erase_if(log->entries, [&](const LogEntry& entry) {
        return !keeps_tail || entry.index <= snapshot.index;
      });
      log->snapshot = snapshot;
    });
  }

  bool Sync() override {
    if (failed_) return false;
    if (fail_next_sync_) {
      Crash();
      return false;
    }
    Write(queue_.size());
    return true;
  }

  const std::string& last_reason() const override { return last_reason_; }

 private:
  void Write(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) queue_[i](&disk_->durable);
    queue_.clear();
  }

  MemoryDisk* disk_;
  std::mt19937_64* random_;
  std::vector<std::function<void(StoredLog*)>> queue_;
  bool fail_next_sync_ = false;
  bool failed_ = false;
  std::string last_reason_ = "The sync failed.";
};

}  // namespace kumquat

// The storage of a replica's log in the files of one data folder.
//
// identity            the storage identity, written once
// vote                term and vote, replaced whole
// snapshot-INDEX      the newest snapshot, replaced whole
// log-INDEX           the entries after INDEX: one checksummed record a batch, synced once a batch
//
// A batch that a crash has cut off at the end of the log is dropped. A bad record with a right one
// behind it is damage, and the replica doesn't start on it.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/log/log_storage.h"
#include "state/storage/data_folder.h"
#include "utils/hooks.h"

namespace kumquat {

class LogFileStorage : public LogStorage {
 public:
  // `random` makes the storage identity of a new folder and must not repeat itself from process
  // to process.
  LogFileStorage(std::string folder, Random random, FileCalls calls = SystemFileCalls());

  std::optional<StoredLog> Load() override;
  void SaveVote(const VoteState& vote) override;
  void Append(std::span<const LogEntry> entries) override;
  void TruncateFrom(std::uint64_t index) override;
  void SaveSnapshot(const LogSnapshot& snapshot) override;
  bool Sync() override;
  const std::string& last_reason() const override { return last_reason_; }

 private:
  bool LoadIdentity();
  bool LoadVote();
  bool LoadSnapshot();
  bool LoadSegment();
  bool ReadSegment(const std::string& name, std::string_view bytes);
  bool ReadBatch(std::string_view payload);
  bool ReadWholeFile(const std::string& name, std::uint64_t identity, std::string* payload);
  bool CreateSegment();
  void RemoveOldFiles();
  bool WriteVote();
  bool WriteSnapshot();
  bool WriteBatch();
  void CutTo(std::uint64_t index);
  void StartAfter(const LogSnapshot& snapshot);
  bool Fail(std::string reason);
  bool FailDamaged(const std::string& name, std::size_t offset);

  Internal::DataFolder folder_;
  Random random_;
  bool failed_ = false;
  std::string last_reason_;

  // What the files hold once the queued writes are synced.
  std::uint64_t identity_ = 0;
  VoteState vote_;
  std::optional<LogSnapshot> snapshot_;
  std::uint64_t base_index_ = 0;
  std::uint64_t base_term_ = 0;
  std::deque<LogEntry> entries_;
  std::size_t segment_bytes_ = 0;

  // The queued writes.
  bool vote_queued_ = false;
  bool snapshot_queued_ = false;
  std::uint64_t queued_truncation_ = 0;
  std::vector<LogEntry> queued_entries_;
};

}  // namespace kumquat

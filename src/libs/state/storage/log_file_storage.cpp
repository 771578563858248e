#include "state/storage/log_file_storage.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "coordination/log/log_codec.h"
#include "state/storage/record.h"
#include "utils/log.h"

namespace kumquat {

using Internal::FieldsFromCbor;
using Internal::FromBytes;
using Internal::FromCbor;
using Internal::ListFromCbor;
using Internal::ListToCbor;
using Internal::MakeRecord;
using Internal::ToBytes;
using Internal::ToCbor;

namespace {

constexpr std::string_view kIdentityName = "identity";
constexpr std::string_view kVoteName = "vote";
constexpr std::string_view kSnapshotPrefix = "snapshot-";
constexpr std::string_view kSegmentPrefix = "log-";
constexpr std::string_view kUnfinishedPrefix = "new-";

// Padded, so that names sort as their numbers do.
std::string NameWithIndex(std::string_view prefix, std::uint64_t index) {
  return fmt::format("{}{:020}", prefix, index);
}

}  // namespace

LogFileStorage::LogFileStorage(std::string folder, Random random, FileCalls calls)
    : folder_(std::move(folder), std::move(calls)), random_(std::move(random)) {}

std::optional<StoredLog> LogFileStorage::Load() {
  if (!folder_.Open()) {
    Fail(folder_.last_reason());
    return std::nullopt;
  }
  if (!LoadIdentity() || !LoadVote() || !LoadSnapshot() || !LoadSegment()) return std::nullopt;
  RemoveOldFiles();
  StoredLog stored;
  stored.storage_identity = identity_;
  stored.vote = vote_;
  stored.snapshot = snapshot_;
  stored.entries.assign(entries_.begin(), entries_.end());
  return stored;
}

// Anything besides the lock without an identity is what is left of a damaged folder.
bool LogFileStorage::LoadIdentity() {
  const std::string name(kIdentityName);
  std::string payload;
  if (!folder_.Names(name).empty()) {
    if (!ReadWholeFile(name, 0, &payload)) return false;
    return FromCbor(FromBytes(payload), &identity_) || FailDamaged(name, 0);
  }
  for (const std::string_view prefix : {kVoteName, kSnapshotPrefix, kSegmentPrefix}) {
    if (folder_.Names(prefix).empty()) continue;
    return Fail(fmt::format("The file {} is missing.", folder_.PathOf(name)));
  }
  while (identity_ == 0) identity_ = random_();
  const std::string record = MakeRecord(ToBytes(ToCbor(identity_)), 0, 0);
  return folder_.Replace(name, record) || Fail(folder_.last_reason());
}

bool LogFileStorage::LoadVote() {
  const std::string name(kVoteName);
  if (folder_.Names(name).empty()) return true;
  std::string payload;
  if (!ReadWholeFile(name, identity_, &payload)) return false;
  std::vector<ReplicaId> voted_for;
  const QCborValue value = FromBytes(payload);
  if (!FieldsFromCbor(value, &vote_.term) || !ListFromCbor(value.toArray().at(1), &voted_for)) {
    return FailDamaged(name, 0);
  }
  if (!voted_for.empty()) vote_.voted_for = voted_for.front();
  return true;
}

bool LogFileStorage::LoadSnapshot() {
  const std::vector<std::string> names = folder_.Names(kSnapshotPrefix);
  if (names.empty()) return true;
  std::string payload;
  if (!ReadWholeFile(names.back(), identity_, &payload)) return false;
  return FromCbor(FromBytes(payload), &snapshot_.emplace()) || FailDamaged(names.back(), 0);
}

bool LogFileStorage::LoadSegment() {
  const std::vector<std::string> names = folder_.Names(kSegmentPrefix);
  if (names.empty()) {
    const bool is_new = !snapshot_ && vote_ == VoteState{};
    if (is_new) return CreateSegment();
    return Fail(fmt::format("The log is missing in {}.", folder_.PathOf("")));
  }
  const std::string& name = names.back();
  const std::optional<std::string> bytes = folder_.Read(name);
  if (!bytes) return Fail(folder_.last_reason());
  if (!ReadSegment(name, *bytes)) return false;
  const std::uint64_t snapshot_index = snapshot_ ? snapshot_->index : 0;
  if (base_index_ > snapshot_index) {
    return Fail(fmt::format("The snapshot before {} is missing.", folder_.PathOf(name)));
  }
  // The crash came after a snapshot was written and before its segment was.
  if (base_index_ < snapshot_index) {
    StartAfter(*snapshot_);
    return CreateSegment();
  }
  return folder_.OpenForAppend(name) || Fail(folder_.last_reason());
}

bool LogFileStorage::ReadSegment(const std::string& name, std::string_view bytes) {
  const auto header = Internal::RecordAt(bytes, 0, identity_);
  if (!header) return FailDamaged(name, 0);
  if (!FieldsFromCbor(FromBytes(header->payload), &base_index_, &base_term_)) {
    return FailDamaged(name, 0);
  }
  std::size_t offset = header->end;
  while (const auto record = Internal::RecordAt(bytes, offset, identity_)) {
    if (!ReadBatch(record->payload)) return FailDamaged(name, offset);
    offset = record->end;
  }
  segment_bytes_ = offset;
  if (offset == bytes.size()) return true;
  if (Internal::NextRecordAfter(bytes, offset, identity_)) return FailDamaged(name, offset);
  LogEvent(LogLevel::kWarning, "log_tail_cut",
           {{"file", folder_.PathOf(name)}, {"offset", offset}, {"bytes", bytes.size() - offset}});
  return folder_.Cut(name, offset) || Fail(folder_.last_reason());
}

bool LogFileStorage::ReadBatch(std::string_view payload) {
  const QCborValue value = FromBytes(payload);
  std::uint64_t truncation = 0;
  std::vector<LogEntry> entries;
  if (!FieldsFromCbor(value, &truncation)) return false;
  if (!ListFromCbor(value.toArray().at(1), &entries)) return false;
  if (truncation > 0) CutTo(truncation - 1);
  for (LogEntry& entry : entries) {
    if (entry.index != base_index_ + entries_.size() + 1) return false;
    entries_.push_back(std::move(entry));
  }
  return true;
}

bool LogFileStorage::ReadWholeFile(const std::string& name, std::uint64_t identity,
                                   std::string* payload) {
  const std::optional<std::string> bytes = folder_.Read(name);
  if (!bytes) return Fail(folder_.last_reason());
  const auto record = Internal::RecordAt(*bytes, 0, identity);
  if (!record || record->end != bytes->size()) return FailDamaged(name, 0);
  *payload = record->payload;
  return true;
}

// Writes a segment with all entries that there are, and makes it the one that is appended to.
bool LogFileStorage::CreateSegment() {
  const QCborValue header = QCborArray{ToCbor(base_index_), ToCbor(base_term_)};
  std::string bytes = MakeRecord(ToBytes(header), identity_, 0);
  if (!entries_.empty()) {
    const std::vector<LogEntry> entries(entries_.begin(), entries_.end());
    const QCborValue batch = QCborArray{ToCbor(std::uint64_t{0}), ListToCbor(entries)};
    bytes += MakeRecord(ToBytes(batch), identity_, bytes.size());
  }
  segment_bytes_ = bytes.size();
  const std::string name = NameWithIndex(kSegmentPrefix, base_index_);
  const bool created = folder_.Replace(name, bytes) && folder_.OpenForAppend(name);
  return created || Fail(folder_.last_reason());
}

// A file that can't be removed does no harm; it is tried again at the next start.
void LogFileStorage::RemoveOldFiles() {
  for (const std::string& name : folder_.Names(kUnfinishedPrefix)) folder_.Remove(name);
  for (const std::string_view prefix : {kSnapshotPrefix, kSegmentPrefix}) {
    std::vector<std::string> names = folder_.Names(prefix);
    if (!names.empty()) names.pop_back();
    for (const std::string& name : names) folder_.Remove(name);
  }
}

void LogFileStorage::SaveVote(const VoteState& vote) {
  vote_ = vote;
  vote_queued_ = true;
}

void LogFileStorage::Append(std::span<const LogEntry> entries) {
  entries_.insert(entries_.end(), entries.begin(), entries.end());
  queued_entries_.insert(queued_entries_.end(), entries.begin(), entries.end());
}

void LogFileStorage::TruncateFrom(std::uint64_t index) {
  CutTo(index - 1);
  std::erase_if(queued_entries_, [&](const LogEntry& entry) { return entry.index >= index; });
  const bool is_lower = queued_truncation_ == 0 || index < queued_truncation_;
  if (is_lower) queued_truncation_ = index;
}

void LogFileStorage::SaveSnapshot(const LogSnapshot& snapshot) {
  snapshot_ = snapshot;
  StartAfter(snapshot);
  snapshot_queued_ = true;
}

// The vote goes first: entries of a term may only be found after a vote of that term. The new
// segment holds the queued entries too.
bool LogFileStorage::Sync() {
  if (failed_) return false;
  if (vote_queued_ && !WriteVote()) return false;
  const bool written = snapshot_queued_ ? WriteSnapshot() : WriteBatch();
  vote_queued_ = false;
  snapshot_queued_ = false;
  queued_truncation_ = 0;
  queued_entries_.clear();
  return written;
}

bool LogFileStorage::WriteVote() {
  QCborArray voted_for;
  if (vote_.voted_for) voted_for.append(ToCbor(*vote_.voted_for));
  const QCborValue value = QCborArray{ToCbor(vote_.term), voted_for};
  const std::string record = MakeRecord(ToBytes(value), identity_, 0);
  return folder_.Replace(std::string(kVoteName), record) || Fail(folder_.last_reason());
}

bool LogFileStorage::WriteSnapshot() {
  const std::string name = NameWithIndex(kSnapshotPrefix, snapshot_->index);
  const std::string record = MakeRecord(ToBytes(ToCbor(*snapshot_)), identity_, 0);
  if (!folder_.Replace(name, record)) return Fail(folder_.last_reason());
  if (!CreateSegment()) return false;
  RemoveOldFiles();
  return true;
}

bool LogFileStorage::WriteBatch() {
  if (queued_truncation_ == 0 && queued_entries_.empty()) return true;
  const QCborValue batch = QCborArray{ToCbor(queued_truncation_), ListToCbor(queued_entries_)};
  const std::string record = MakeRecord(ToBytes(batch), identity_, segment_bytes_);
  if (!folder_.Append(record) || !folder_.Sync()) return Fail(folder_.last_reason());
  segment_bytes_ += record.size();
  return true;
}

// Drops all entries after the index.
void LogFileStorage::CutTo(std::uint64_t index) {
  while (!entries_.empty() && entries_.back().index > index) entries_.pop_back();
}

void LogFileStorage::StartAfter(const LogSnapshot& snapshot) {
  const auto place = std::find_if(entries_.begin(), entries_.end(), [&](const LogEntry& entry) {
    return entry.index == snapshot.index && entry.term == snapshot.term;
  });
  entries_.erase(entries_.begin(), place == entries_.end() ? place : place + 1);
  base_index_ = snapshot.index;
  base_term_ = snapshot.term;
}

bool LogFileStorage::Fail(std::string reason) {
  failed_ = true;
  last_reason_ = std::move(reason);
  return false;
}

bool LogFileStorage::FailDamaged(const std::string& name, std::size_t offset) {
  return Fail(fmt::format("The file {} is damaged at offset {}.", folder_.PathOf(name), offset));
}

}  // namespace kumquat

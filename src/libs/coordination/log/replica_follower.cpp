// The follower's part: storing the leader's entries and snapshots.
#include <algorithm>
#include <span>

#include "coordination/log/replica.h"
#include "utils/log.h"
#include "utils/soft_assert.h"

namespace kumquat::Internal {

// Returns whether the message is from the leader of the current or a newer term; this replica then
// follows that leader. Ignores all messages in the quiet period. Answers a message of an older
// term, whatever its type, with an AppendAnswer of the current term, which makes the old leader
// step down.
bool Replica::AcceptLeader(const LogMessage& message) {
  if (IsQuiet()) return false;
  if (message.term < term()) {
    Answer(message, AppendAnswer{});
    return false;
  }
  const bool two_leaders = message.term == term() && role_ == LogRole::kLeader;
  KUMQUAT_ASSERT(!two_leaders, return false);
  if (message.term > term() || leader_ != message.from) BecomeFollower(message.term, message.from);
  last_leader_contact_ = Now();
  last_allegiance_ = Now();
  ResetElectionDeadline();
  return true;
}

void Replica::Handle(const LogMessage& message, const Append& request) {
  if (!AcceptLeader(message)) return;
  const bool below_base = request.previous_index < log_.base_index();
  const bool matches = log_.TermAt(request.previous_index) == request.previous_term;
  if (!below_base && !matches) {
    Answer(message, AppendAnswer{false, ConflictHint(request), request.round});
    return;
  }
  if (!AppendNewEntries(request)) return;
  const std::uint64_t match_index = request.previous_index + request.entries.size();
  commit_index_ = std::max(commit_index_, std::min(request.commit_index, match_index));
  Answer(message, AppendAnswer{true, match_index, request.round});
}

// Returns the index from which the leader should retry: the one after the log's end, or the first
// uncommitted one of the conflicting term.
std::uint64_t Replica::ConflictHint(const Append& request) const {
  if (request.previous_index > log_.last_index()) return log_.last_index() + 1;
  const std::uint64_t conflicting_term = *log_.TermAt(request.previous_index);
  std::uint64_t hint = request.previous_index;
  while (hint > commit_index_ + 1 && log_.TermAt(hint - 1) == conflicting_term) --hint;
  return hint;
}

// Appends the entries that this log lacks, and first truncates the log where it conflicts. Entries
// up to the base index are committed and therefore equal the leader's. Returns false, and fails the
// replica, when a committed entry would be replaced.
bool Replica::AppendNewEntries(const Append& request) {
  std::span<const LogEntry> entries = request.entries;
  while (!entries.empty()) {
    const LogEntry& entry = entries.front();
    const bool known = entry.index <= log_.base_index() || log_.TermAt(entry.index) == entry.term;
    if (!known) break;
    entries = entries.subspan(1);
  }
  if (entries.empty()) return true;
  const std::uint64_t first = entries.front().index;
  if (first <= commit_index_) {
    Fail("The leader's entries conflict with committed entries.");
    return false;
  }
  log_.TruncateFrom(first);
  log_.Append(entries);
  SetRole(IsVoter() ? LogRole::kFollower : LogRole::kLearner);
  return true;
}

void Replica::Handle(const LogMessage& message, const InstallSnapshot& request) {
  if (!AcceptLeader(message)) return;
  InstallSnapshotAnswer answer{request.chunk.index, request.total_bytes, true, request.round};
  if (request.chunk.index > commit_index_) {
    std::optional<LogSnapshot> complete_snapshot = assembler_.Add(request);
    if (complete_snapshot && !RestoreSnapshot(std::move(*complete_snapshot))) return;
    answer.installed = complete_snapshot.has_value();
    if (!complete_snapshot) answer.next_offset = assembler_.next_offset();
  }
  Answer(message, answer);
}

bool Replica::RestoreSnapshot(LogSnapshot snapshot) {
  if (!parts_.machine->Restore(snapshot.state)) {
    Fail("The state machine rejected the leader's snapshot.");
    return false;
  }
  commit_index_ = snapshot.index;
  applied_index_ = snapshot.index;
  log_.Install(std::move(snapshot));
  SetRole(IsVoter() ? LogRole::kFollower : LogRole::kLearner);
  RequestFlush();
  return true;
}

}  // namespace kumquat::Internal

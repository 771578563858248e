// Finds the requests, and the parts of prompts, that crash the backend servers which run them, from
// which runs were lost with which crashes, as seen by all routers.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "protocol/suspect_entry.h"
#include "utils/hooks.h"

namespace kumquat {

struct CulpritTableOptions {
  // Maximum number of suspects. Those with the fewest crashes are evicted first, of these the ones
  // that changed longest ago.
  std::size_t max_entries = 2048;
  // How long a suspect stays accused after its last crash. It is then on parole: the next crash
  // accuses it again, for twice as long each time, and an answer clears it.
  Duration parole_after = std::chrono::minutes(1);
  // Lifetime of an entry after its last change.
  Duration max_age = std::chrono::minutes(10);
  // A request that was lost with this many crashes, and not cleared since, is accused; a part of
  // prompts needs one more, since many sound requests may share it.
  std::size_t crashes_to_accuse_request = 3;
  std::size_t crashes_to_accuse_part = 4;
};

// Returns the id of a crash of this incarnation of a backend server. A server that has come back
// keeps its incarnation for routers until it announces the new one, so that there may be several:
// the first has the ordinal 0.
std::uint64_t CrashId(std::string_view backend_id, std::int64_t incarnation, int ordinal = 0);

// A request and the shared parts of its prompt become suspects when a backend server crashes before
// it is past the beginning of the answer, and are cleared when any backend server gets that far
// with a request that has them: a culprit crashes each of them. What merely ran beside a culprit,
// or shares parts with it, is therefore cleared by its next run.
//
// A forwarded request is also a suspect for its whole run, which is recorded with each run that is
// lost at any event, and cleared by a complete answer only: a culprit may crash its server late.
//
// A suspect with enough crashes is accused. Whether it caused them isn't known by then: servers may
// have crashed together by a loss of power, however close together that was. It isn't sent any more
// but for trials (SuspectTrials), which tell.
//
// A crash needs one culprit only. So the suspect that had enough crashes first is accused, of
// several the most specific, of equal ones the one with the most, and its crashes no longer count
// for the others. A later culprit therefore doesn't undo an accusation by crashes that both were
// lost with. Only a suspect that was lost with each of these crashes, and with a later one without
// the first, is accused in its place. A request with enough crashes is accused in any case: what
// explains them may be cleared by a trial, and a request must reach few servers until then.
//
// Merging the entries of other processes gives the same crashes in any order and when repeated, as
// long as no entry expires or is evicted.
class CulpritTable {
 public:
  explicit CulpritTable(CulpritTableOptions options = {}) : options_(options) {}

  // Records that a run of the suspect was lost at `lost_at` with this crash. Returns whether that
  // changed the table.
  bool AddCrash(const Suspect& suspect, std::uint64_t crash, Instant lost_at, Instant now);

  // Returns the id of the crash with which a run of the suspect that was sent at `sent_at` was lost
  // on this incarnation: a further one only if the run was sent after this process learnt of the
  // ones before, which are proven by then. The ordinals are those of the suspect, so that processes
  // which saw different crashes merge to no more than the suspect was lost with.
  std::uint64_t CrashSince(const std::string& digest, std::string_view backend_id,
                           std::int64_t incarnation, Instant sent_at) const;

  // Records that a backend server survived the beginning of an answer to the suspect. Returns
  // whether it was one until now.
  bool Clear(const std::string& digest, Instant now);

  // Returns whether the suspect was cleared at this time or later.
  bool IsClearedSince(const std::string& digest, Instant time) const;

  // Merges an entry of another process. Returns whether it changed the table.
  bool Merge(const SuspectEntry& entry, Instant now);

  bool IsAccused(const std::string& digest) const { return accused_.contains(digest); }

  // Returns whether the suspect has enough crashes, though an accused one may explain them.
  bool IsIncriminated(const std::string& digest) const { return incriminated_.contains(digest); }

  // Returns whether the suspect was lost with a crash since it was last cleared.
  bool HasCrashes(const std::string& digest) const;

  // Returns when the crash was that made the crashes of an accused suspect enough.
  Instant AccusedSince(const std::string& digest) const;

  // Returns whether any entry could be cleared or is accused.
  bool has_suspects() const { return !entries_.empty(); }
  const std::set<std::string>& accused() const { return accused_; }
  std::size_t size() const { return entries_.size(); }

  // Returns the entry of the suspect as it is sent to other processes; nullopt if there is none.
  std::optional<SuspectEntry> EntryOf(const std::string& digest, Instant now) const;

  // Returns whether other routers need to know the entry to clear it or to act on it. An entry that
  // no two crashes support needn't leave the process that counts.
  bool IsShared(const std::string& digest) const;

  // Returns the shared entries with the latest changes, at most kMaxExchanged.
  std::vector<SuspectEntry> SharedEntries(Instant now) const;

  // Returns a hash of the accused suspects, by which processes notice that they differ.
  std::uint64_t AccusedHash() const;

  // Removes expired entries and lets suspects out on parole.
  void Expire(Instant now);

  static constexpr std::size_t kMaxExchanged = 256;

 private:
  struct Loss {
    // When a run was lost, and when this process learnt that it was lost with a crash.
    Instant lost_at{0};
    Instant learnt_at{0};
  };
  struct Entry {
    std::int64_t depth = 0;
    // By crash. Only crashes after `cleared_at` are kept.
    std::map<std::uint64_t, Loss> crashes;
    std::optional<Instant> cleared_at;
    Instant changed_at{0};
    bool is_shared = false;
  };

  // The time and id of a crash.
  using TimedCrash = std::pair<Instant, std::uint64_t>;

  // A suspect with enough crashes to be accused, if others don't explain them.
  struct Candidate {
    const std::string* digest = nullptr;
    std::size_t needed = 0;
    std::int64_t depth = 0;
    std::set<TimedCrash> crashes;
    // The crash that made them enough.
    TimedCrash enough_since;

    bool IsOfSameRank(const Candidate& other) const {
      return enough_since == other.enough_since && crashes.size() == other.crashes.size() &&
             depth == other.depth;
    }
  };

  bool AddCrashTo(Entry& entry, std::uint64_t crash, Instant lost_at, Instant now);
  bool IsOnParole(const Entry& entry, Instant now) const;
  std::vector<Candidate> Candidates(Instant now) const;
  void OnChanged(const std::string& digest, Instant now);
  std::size_t CrashesToAccuse(const Entry& entry) const;
  void Accuse(Instant now);
  void Remove(std::map<std::string, Entry>::iterator entry, Instant now);
  SuspectEntry ToMessage(const std::string& digest, const Entry& entry, Instant now) const;

  CulpritTableOptions options_;
  std::map<std::string, Entry> entries_;
  // Suspects with enough crashes, whether or not others explain them.
  std::set<std::string> incriminated_;
  std::set<std::string> accused_;
};

}  // namespace kumquat

#include "coordination/admission/culprit_table.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace kumquat {
namespace {

// Crashes that are kept of one suspect, the latest ones. More add nothing to its standing.
constexpr std::size_t kMaxCrashes = 16;
// Entries with this many crashes are shared with all routers.
constexpr std::size_t kSharedCrashes = 2;
// An entry without crashes only rejects late reports of crashes from before its clearing.
constexpr Duration kClearedLifetime = std::chrono::seconds(30);
// The time of one clearing differs this much between processes, by the delay of messages.
constexpr Duration kClearingTolerance = std::chrono::milliseconds(250);
// Crashes of one incarnation that are told apart.
constexpr int kMaxOrdinals = 8;

}  // namespace

std::uint64_t CrashId(std::string_view backend_id, std::int64_t incarnation, int ordinal) {
  const std::uint64_t first = XXH3_64bits_withSeed(backend_id.data(), backend_id.size(),
                                                   static_cast<std::uint64_t>(incarnation));
  return ordinal == 0 ? first : XXH3_64bits_withSeed(&ordinal, sizeof(ordinal), first);
}

bool CulpritTable::AddCrash(const Suspect& suspect, std::uint64_t crash, Instant lost_at,
                            Instant now) {
  Entry& entry = entries_[suspect.digest];
  entry.depth = suspect.depth;
  if (!AddCrashTo(entry, crash, lost_at, now)) return false;
  OnChanged(suspect.digest, now);
  return true;
}

bool CulpritTable::AddCrashTo(Entry& entry, std::uint64_t crash, Instant lost_at, Instant now) {
  if (entry.cleared_at && lost_at <= *entry.cleared_at) return false;
  const auto [known, is_new] = entry.crashes.try_emplace(crash, Loss{lost_at, now});
  // Delays only ever make a crash look later than it was.
  known->second.lost_at = std::min(known->second.lost_at, lost_at);
  if (entry.crashes.size() > kMaxCrashes) {
    entry.crashes.erase(std::min_element(entry.crashes.begin(), entry.crashes.end(),
                                         [](const auto& left, const auto& right) {
                                           return left.second.lost_at < right.second.lost_at;
                                         }));
  }
  return is_new;
}

std::uint64_t CulpritTable::CrashSince(const std::string& digest, std::string_view backend_id,
                                       std::int64_t incarnation, Instant sent_at) const {
  std::uint64_t crash = CrashId(backend_id, incarnation);
  const auto found = entries_.find(digest);
  if (found == entries_.end()) return crash;
  std::optional<std::uint64_t> further;
  for (int ordinal = 0; ordinal < kMaxOrdinals; ++ordinal) {
    crash = CrashId(backend_id, incarnation, ordinal);
    const auto known = found->second.crashes.find(crash);
    if (known == found->second.crashes.end()) {
      if (!further) further = crash;
    } else if (sent_at <= known->second.learnt_at) {
      return crash;
    }
  }
  return further.value_or(crash);
}

bool CulpritTable::Clear(const std::string& digest, Instant now) {
  const auto found = entries_.find(digest);
  if (found == entries_.end() || found->second.crashes.empty()) return false;
  found->second.cleared_at = now;
  found->second.crashes.clear();
  OnChanged(digest, now);
  return true;
}

bool CulpritTable::IsClearedSince(const std::string& digest, Instant time) const {
  const auto found = entries_.find(digest);
  return found != entries_.end() && found->second.cleared_at && *found->second.cleared_at >= time;
}

bool CulpritTable::Merge(const SuspectEntry& message, Instant now) {
  const std::string& digest = message.suspect.digest;
  Entry& entry = entries_[digest];
  entry.depth = message.suspect.depth;
  bool changed = false;
  const auto cleared_at =
      message.cleared_age ? std::optional(now - *message.cleared_age) : std::nullopt;
  if (cleared_at && (!entry.cleared_at || *cleared_at > *entry.cleared_at + kClearingTolerance)) {
    entry.cleared_at = cleared_at;
    std::erase_if(entry.crashes,
                  [&](const auto& crash) { return crash.second.lost_at <= *cleared_at; });
    changed = true;
  }
  for (const CrashSighting& sighting : message.crashes) {
    if (sighting.age >= options_.max_age) continue;
    changed = AddCrashTo(entry, sighting.crash, now - sighting.age, now) || changed;
  }
  if (changed) {
    OnChanged(digest, now);
  } else if (entry.crashes.empty() && !entry.cleared_at) {
    entries_.erase(digest);
  }
  return changed;
}

std::size_t CulpritTable::CrashesToAccuse(const Entry& entry) const {
  return entry.depth == kRequestDepth ? options_.crashes_to_accuse_request
                                      : options_.crashes_to_accuse_part;
}

void CulpritTable::OnChanged(const std::string& digest, Instant now) {
  Entry& entry = entries_.at(digest);
  entry.changed_at = now;
  entry.is_shared = entry.is_shared || entry.crashes.size() >= kSharedCrashes;
  const bool is_incriminated = entry.crashes.size() >= CrashesToAccuse(entry);
  const bool was_incriminated = incriminated_.contains(digest);
  if (is_incriminated) incriminated_.insert(digest);
  if (!is_incriminated) incriminated_.erase(digest);
  if (is_incriminated || was_incriminated) Accuse(now);
  while (entries_.size() > options_.max_entries) {
    const auto weakest =
        std::min_element(entries_.begin(), entries_.end(), [](const auto& left, const auto& right) {
          return std::pair(left.second.crashes.size(), left.second.changed_at) <
                 std::pair(right.second.crashes.size(), right.second.changed_at);
        });
    Remove(weakest, now);
  }
}

bool CulpritTable::IsOnParole(const Entry& entry, Instant now) const {
  Instant last_crash{0};
  for (const auto& [crash, loss] : entry.crashes) last_crash = std::max(last_crash, loss.lost_at);
  // At most kMaxCrashes are kept, which bounds the shift.
  const std::size_t doublings = entry.crashes.size() - CrashesToAccuse(entry);
  return now >= last_crash + options_.parole_after * (std::int64_t{1} << doublings);
}

// Returns the suspects with enough crashes, those that had enough first come first. Of those that
// had enough with the same crash, the most specific comes first, then the one with most.
std::vector<CulpritTable::Candidate> CulpritTable::Candidates(Instant now) const {
  std::vector<const std::string*> digests;
  // All suspects give a crash the same time, so that they can be compared by it.
  std::map<std::uint64_t, Instant> crash_times;
  for (const std::string& digest : incriminated_) {
    const Entry& entry = entries_.at(digest);
    // While a message is merged, an entry may already have lost the crashes that incriminated it.
    const bool was_cleared = entry.crashes.size() < CrashesToAccuse(entry);
    if (was_cleared || IsOnParole(entry, now)) continue;
    digests.push_back(&digest);
    for (const auto& [crash, loss] : entry.crashes) {
      Instant& at = crash_times.try_emplace(crash, loss.lost_at).first->second;
      at = std::min(at, loss.lost_at);
    }
  }
  std::vector<Candidate> all;
  for (const std::string* digest : digests) {
    const Entry& entry = entries_.at(*digest);
    Candidate one{digest, CrashesToAccuse(entry), entry.depth, {}, {}};
    for (const auto& [crash, loss] : entry.crashes) {
      one.crashes.emplace(crash_times.at(crash), crash);
    }
    one.enough_since = *std::next(one.crashes.begin(), static_cast<std::ptrdiff_t>(one.needed) - 1);
    all.push_back(std::move(one));
  }
  std::sort(all.begin(), all.end(), [](const Candidate& left, const Candidate& right) {
    if (left.enough_since != right.enough_since) return left.enough_since < right.enough_since;
    return std::pair(left.depth, left.crashes.size()) >
           std::pair(right.depth, right.crashes.size());
  });
  return all;
}

void CulpritTable::Accuse(Instant now) {
  accused_.clear();
  const std::vector<Candidate> all = Candidates(now);
  std::set<TimedCrash> explained;
  const auto has_enough_unexplained = [&](const Candidate& one) {
    const auto unexplained =
        std::count_if(one.crashes.begin(), one.crashes.end(),
                      [&](const TimedCrash& crash) { return !explained.contains(crash); });
    return static_cast<std::size_t>(unexplained) >= one.needed;
  };
  // What was lost with each crash of `one`, and with a later one without it, explains all of them.
  const auto explains = [](const Candidate& other, const Candidate& one) {
    return *other.crashes.rbegin() > *one.crashes.rbegin() &&
           std::includes(other.crashes.begin(), other.crashes.end(), one.crashes.begin(),
                         one.crashes.end());
  };
  for (auto one = all.begin(); one != all.end();) {
    // Nothing tells suspects of the same rank apart, so none explains the crashes of another.
    const auto next = std::find_if(
        one, all.end(), [&](const Candidate& other) { return !other.IsOfSameRank(*one); });
    std::set<TimedCrash> newly_explained;
    for (; one != next; ++one) {
      if (one->depth == kRequestDepth) accused_.insert(*one->digest);
      if (!has_enough_unexplained(*one)) continue;
      const auto better = std::find_if(one, all.end(), [&](const Candidate& other) {
        return explains(other, *one) && has_enough_unexplained(other);
      });
      const Candidate& culprit = better == all.end() ? *one : *better;
      accused_.insert(*culprit.digest);
      newly_explained.insert(culprit.crashes.begin(), culprit.crashes.end());
    }
    explained.merge(newly_explained);
  }
}

void CulpritTable::Remove(std::map<std::string, Entry>::iterator entry, Instant now) {
  const bool was_incriminated = incriminated_.erase(entry->first) > 0;
  entries_.erase(entry);
  if (was_incriminated) Accuse(now);
}

void CulpritTable::Expire(Instant now) {
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const auto next = std::next(entry);
    const Duration lifetime = entry->second.crashes.empty()
                                  ? std::min(kClearedLifetime, options_.max_age)
                                  : options_.max_age;
    if (now - entry->second.changed_at >= lifetime) Remove(entry, now);
    entry = next;
  }
  if (!incriminated_.empty()) Accuse(now);
}

SuspectEntry CulpritTable::ToMessage(const std::string& digest, const Entry& entry,
                                     Instant now) const {
  SuspectEntry message;
  message.suspect = {digest, entry.depth};
  for (const auto& [crash, loss] : entry.crashes) {
    message.crashes.push_back({crash, std::max(Duration(0), now - loss.lost_at)});
  }
  if (entry.cleared_at) message.cleared_age = std::max(Duration(0), now - *entry.cleared_at);
  return message;
}

bool CulpritTable::HasCrashes(const std::string& digest) const {
  const auto found = entries_.find(digest);
  return found != entries_.end() && !found->second.crashes.empty();
}

Instant CulpritTable::AccusedSince(const std::string& digest) const {
  const Entry& entry = entries_.at(digest);
  std::vector<Instant> times;
  for (const auto& [crash, loss] : entry.crashes) times.push_back(loss.lost_at);
  std::sort(times.begin(), times.end());
  return times[std::min(times.size(), CrashesToAccuse(entry)) - 1];
}

std::optional<SuspectEntry> CulpritTable::EntryOf(const std::string& digest, Instant now) const {
  const auto found = entries_.find(digest);
  if (found == entries_.end()) return std::nullopt;
  return ToMessage(digest, found->second, now);
}

bool CulpritTable::IsShared(const std::string& digest) const {
  const auto found = entries_.find(digest);
  return found != entries_.end() && found->second.is_shared;
}

std::vector<SuspectEntry> CulpritTable::SharedEntries(Instant now) const {
  std::vector<std::pair<Instant, const std::string*>> shared;
  for (const auto& [digest, entry] : entries_) {
    if (entry.is_shared) shared.emplace_back(entry.changed_at, &digest);
  }
  std::sort(shared.begin(), shared.end(), std::greater<>());
  if (shared.size() > kMaxExchanged) shared.resize(kMaxExchanged);
  std::vector<SuspectEntry> messages;
  messages.reserve(shared.size());
  for (const auto& [changed_at, digest] : shared) {
    messages.push_back(ToMessage(*digest, entries_.at(*digest), now));
  }
  return messages;
}

std::uint64_t CulpritTable::AccusedHash() const {
  std::uint64_t hash = 0;
  for (const std::string& digest : accused_) {
    hash = XXH3_64bits_withSeed(digest.data(), digest.size(), hash);
  }
  return hash;
}

}  // namespace kumquat

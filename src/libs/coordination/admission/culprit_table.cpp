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
// This many crashes or more are one incident if each follows the one before within kIncidentGap and
// all lie within kIncidentWindow. Routers notice crashes of one moment some milliseconds apart; a
// culprit that is sent to two servers at once crashes two.
constexpr std::size_t kIncidentCrashes = 3;
constexpr Duration kIncidentGap = std::chrono::milliseconds(25);
constexpr Duration kIncidentWindow = std::chrono::milliseconds(250);
// Crashes of one incarnation that are told apart.
constexpr int kMaxOrdinals = 8;
// Crashes whose times are kept, the latest ones.
constexpr std::size_t kMaxCrashTimes = 512;

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
  LearnCrash(crash, lost_at, now);
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

void CulpritTable::LearnCrash(std::uint64_t crash, Instant lost_at, Instant now) {
  const auto [known, is_new] = crash_times_.try_emplace(crash, lost_at);
  if (!is_new && known->second <= lost_at) return;
  known->second = lost_at;
  if (crash_times_.size() > kMaxCrashTimes) {
    crash_times_.erase(std::min_element(
        crash_times_.begin(), crash_times_.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; }));
  }
  // It may make one incident of crashes that were counted apart.
  if (!incriminated_.empty()) Condemn(now);
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

std::size_t CulpritTable::CrashesToCondemn(const Entry& entry) const {
  return entry.depth == kRequestDepth ? options_.crashes_to_condemn_request
                                      : options_.crashes_to_condemn_part;
}

void CulpritTable::OnChanged(const std::string& digest, Instant now) {
  Entry& entry = entries_.at(digest);
  entry.changed_at = now;
  entry.is_shared = entry.is_shared || entry.crashes.size() >= kSharedCrashes;
  const bool is_incriminated = entry.crashes.size() >= CrashesToCondemn(entry);
  const bool was_incriminated = incriminated_.contains(digest);
  if (is_incriminated) incriminated_.insert(digest);
  if (!is_incriminated) incriminated_.erase(digest);
  if (is_incriminated || was_incriminated) Condemn(now);
  while (entries_.size() > options_.max_entries) {
    const auto weakest =
        std::min_element(entries_.begin(), entries_.end(), [](const auto& left, const auto& right) {
          return std::pair(left.second.crashes.size(), left.second.changed_at) <
                 std::pair(right.second.crashes.size(), right.second.changed_at);
        });
    Remove(weakest, now);
  }
}

// Returns the incident of each crash, identified by the first crash of the incident.
std::map<std::uint64_t, std::uint64_t> CulpritTable::Incidents() const {
  std::vector<std::pair<Instant, std::uint64_t>> crashes;
  crashes.reserve(crash_times_.size());
  for (const auto& [crash, at] : crash_times_) crashes.emplace_back(at, crash);
  std::sort(crashes.begin(), crashes.end());
  std::map<std::uint64_t, std::uint64_t> incidents;
  for (auto first = crashes.begin(); first != crashes.end();) {
    auto last = std::next(first);
    while (last != crashes.end() && last->first <= std::prev(last)->first + kIncidentGap &&
           last->first <= first->first + kIncidentWindow) {
      ++last;
    }
    const bool is_one = static_cast<std::size_t>(last - first) >= kIncidentCrashes;
    for (auto crash = first; crash != last; ++crash) {
      incidents[crash->second] = is_one ? first->second : crash->second;
    }
    first = last;
  }
  return incidents;
}

bool CulpritTable::IsOnParole(const Entry& entry, Instant now) const {
  Instant last_crash{0};
  for (const auto& [crash, loss] : entry.crashes) last_crash = std::max(last_crash, loss.lost_at);
  // At most kMaxCrashes are kept, which bounds the shift.
  const std::size_t doublings = entry.crashes.size() - CrashesToCondemn(entry);
  return now >= last_crash + options_.parole_after * (std::int64_t{1} << doublings);
}

// Returns the suspects with enough incidents, those that had enough first come first. Of those that
// had enough with the same incident, the most specific comes first, then the one with most.
std::vector<CulpritTable::Accused> CulpritTable::AccusedSuspects(Instant now) const {
  const auto incident_of_crash = Incidents();
  const auto incident_of = [&](std::uint64_t crash) {
    const auto known = incident_of_crash.find(crash);
    return known != incident_of_crash.end() ? known->second : crash;
  };
  std::vector<const std::string*> digests;
  // All suspects give an incident the same time, so that they can be compared by it.
  std::map<std::uint64_t, Instant> incident_times;
  for (const std::string& digest : incriminated_) {
    const Entry& entry = entries_.at(digest);
    // While a message is merged, an entry may already have lost the crashes that incriminated it.
    const bool was_cleared = entry.crashes.size() < CrashesToCondemn(entry);
    if (was_cleared || IsOnParole(entry, now)) continue;
    digests.push_back(&digest);
    for (const auto& [crash, loss] : entry.crashes) {
      Instant& at = incident_times.try_emplace(incident_of(crash), loss.lost_at).first->second;
      at = std::min(at, loss.lost_at);
    }
  }
  std::vector<Accused> all;
  for (const std::string* digest : digests) {
    const Entry& entry = entries_.at(*digest);
    Accused one{digest, CrashesToCondemn(entry), entry.depth, {}, {}};
    for (const auto& [crash, loss] : entry.crashes) {
      const std::uint64_t incident = incident_of(crash);
      one.incidents.emplace(incident_times.at(incident), incident);
    }
    if (one.incidents.size() < one.needed) continue;
    one.enough_since =
        *std::next(one.incidents.begin(), static_cast<std::ptrdiff_t>(one.needed) - 1);
    all.push_back(std::move(one));
  }
  std::sort(all.begin(), all.end(), [](const Accused& left, const Accused& right) {
    if (left.enough_since != right.enough_since) return left.enough_since < right.enough_since;
    return std::pair(left.depth, left.incidents.size()) >
           std::pair(right.depth, right.incidents.size());
  });
  return all;
}

void CulpritTable::Condemn(Instant now) {
  condemned_.clear();
  const std::vector<Accused> all = AccusedSuspects(now);
  std::set<Incident> explained;
  const auto has_enough_unexplained = [&](const Accused& one) {
    const auto unexplained =
        std::count_if(one.incidents.begin(), one.incidents.end(),
                      [&](const Incident& incident) { return !explained.contains(incident); });
    return static_cast<std::size_t>(unexplained) >= one.needed;
  };
  // What was lost in each incident of `one`, and in a later one without it, explains all of them.
  const auto explains = [](const Accused& other, const Accused& one) {
    return *other.incidents.rbegin() > *one.incidents.rbegin() &&
           std::includes(other.incidents.begin(), other.incidents.end(), one.incidents.begin(),
                         one.incidents.end());
  };
  for (auto one = all.begin(); one != all.end();) {
    // Nothing tells suspects of the same rank apart, so none explains the crashes of another.
    const auto next = std::find_if(one, all.end(),
                                   [&](const Accused& other) { return !other.IsOfSameRank(*one); });
    std::set<Incident> newly_explained;
    for (; one != next; ++one) {
      if (!has_enough_unexplained(*one)) continue;
      const auto better = std::find_if(one, all.end(), [&](const Accused& other) {
        return explains(other, *one) && has_enough_unexplained(other);
      });
      const Accused& culprit = better == all.end() ? *one : *better;
      condemned_.insert(*culprit.digest);
      newly_explained.insert(culprit.incidents.begin(), culprit.incidents.end());
    }
    explained.merge(newly_explained);
  }
}

void CulpritTable::Remove(std::map<std::string, Entry>::iterator entry, Instant now) {
  const bool was_incriminated = incriminated_.erase(entry->first) > 0;
  entries_.erase(entry);
  if (was_incriminated) Condemn(now);
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
  std::erase_if(crash_times_,
                [&](const auto& crash) { return now - crash.second >= options_.max_age; });
  if (!incriminated_.empty()) Condemn(now);
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

std::uint64_t CulpritTable::CondemnedHash() const {
  std::uint64_t hash = 0;
  for (const std::string& digest : condemned_) {
    hash = XXH3_64bits_withSeed(digest.data(), digest.size(), hash);
  }
  return hash;
}

}  // namespace kumquat

#include "coordination/admission/strike_table.h"

#include <algorithm>
#include <set>
#include <utility>

namespace kumquat {
namespace {

// A request that never made progress is condemned after the deaths of this many backend servers.
constexpr std::size_t kBackendsWithoutProgress = 2;
// Any request is condemned after this many deaths, as it may kill backend servers later in its run,
// or the same one each time. An innocent request rarely sees as many.
constexpr std::size_t kDeathsToCondemn = 4;

bool HasStrikeFrom(const std::vector<Strike>& strikes, const std::string& backend_id) {
  return std::any_of(strikes.begin(), strikes.end(),
                     [&](const Strike& strike) { return strike.backend_id == backend_id; });
}

// Returns the union of two sorted lists of strikes.
std::vector<Strike> Union(const std::vector<Strike>& left, const std::vector<Strike>& right) {
  std::vector<Strike> result;
  std::set_union(left.begin(), left.end(), right.begin(), right.end(), std::back_inserter(result));
  return result;
}

}  // namespace

Strike StrikeFromLostRuns(std::string_view backend_id, std::int64_t incarnation,
                          std::span<const Strike> lost_runs) {
  Strike strike{std::string(backend_id), incarnation};
  for (const Strike& run : lost_runs) {
    if (run.backend_id != backend_id || run.incarnation != incarnation) continue;
    strike.is_isolated = run.is_isolated;
    strike.made_progress = strike.made_progress || run.made_progress;
  }
  return strike;
}

StrikeTable::StrikeTable(StrikeTableOptions options, OwnsBackend owns_backend)
    : options_(options), owns_backend_(std::move(owns_backend)) {}

RequestStanding StrikeTable::StandingOf(const std::string& digest, Instant now) const {
  const Entry* entry = Find(digest, now);
  if (entry == nullptr || entry->strikes.empty()) return RequestStanding::kClean;
  std::set<std::string_view> dead_backends;
  std::set<std::pair<std::string_view, std::int64_t>> deaths;
  bool was_isolated = false;
  bool made_progress = false;
  for (const Strike& strike : entry->strikes) {
    dead_backends.insert(strike.backend_id);
    deaths.emplace(strike.backend_id, strike.incarnation);
    was_isolated = was_isolated || strike.is_isolated;
    made_progress = made_progress || strike.made_progress;
  }
  const bool kills_at_start = !made_progress && dead_backends.size() >= kBackendsWithoutProgress;
  const bool is_condemned = was_isolated && (kills_at_start || deaths.size() >= kDeathsToCondemn);
  return is_condemned ? RequestStanding::kCondemned : RequestStanding::kSuspect;
}

RequestStanding StrikeTable::AddStrike(const std::string& digest, const Strike& strike,
                                       Instant now) {
  const Entry* known = Find(digest, now);
  const std::int64_t cleared = known != nullptr ? known->cleared : 0;
  Merge({digest, {strike}, cleared, Duration(0)}, now);
  return StandingOf(digest, now);
}

void StrikeTable::OnSuccess(const std::string& digest, Instant now) {
  const Entry* known = Find(digest, now);
  if (known == nullptr || known->strikes.empty()) return;
  Merge({digest, {}, known->cleared + 1, Duration(0)}, now);
}

bool StrikeTable::MayTry(const std::string& digest, const std::string& backend_id,
                         std::span<const std::string> backend_ids, Instant now) const {
  const Entry* entry = Find(digest, now);
  if (entry == nullptr || !HasStrikeFrom(entry->strikes, backend_id)) return true;
  return !backend_ids.empty() &&
         std::all_of(backend_ids.begin(), backend_ids.end(), [&](const std::string& other) {
           return HasStrikeFrom(entry->strikes, other);
         });
}

bool StrikeTable::MayPlace(const std::string& digest, const std::string& backend_id, Instant now,
                           std::span<const std::string> backend_ids) const {
  const RequestStanding standing = StandingOf(digest, now);
  if (standing == RequestStanding::kClean) return true;
  if (standing == RequestStanding::kCondemned) return false;
  if (owns_backend_ && !owns_backend_(backend_id)) return false;
  return MayTry(digest, backend_id, backend_ids, now) && IsFreeOfSuspects(backend_id, now);
}

bool StrikeTable::IsFreeOfSuspects(const std::string& backend_id, Instant now) const {
  const auto running = running_.find(backend_id);
  if (running == running_.end()) return true;
  return std::all_of(running->second.begin(), running->second.end(), [&](const auto& other) {
    return StandingOf(other, now) == RequestStanding::kClean;
  });
}

void StrikeTable::OnStarted(const std::string& digest, const std::string& backend_id) {
  running_[backend_id].push_back(digest);
}

void StrikeTable::OnStopped(const std::string& digest, const std::string& backend_id) {
  const auto running = running_.find(backend_id);
  if (running == running_.end()) return;
  std::vector<std::string>& digests = running->second;
  const auto running_digest = std::find(digests.begin(), digests.end(), digest);
  if (running_digest != digests.end()) digests.erase(running_digest);
  if (digests.empty()) running_.erase(running);
}

bool StrikeTable::Merge(const StrikeEntry& entry, Instant now) {
  if (entry.age >= options_.max_age) return false;
  std::vector<Strike> strikes = entry.strikes;
  Instant changed_at = now - entry.age;
  std::sort(strikes.begin(), strikes.end());
  const Entry* known = Find(entry.digest, now);
  if (known != nullptr) {
    if (entry.cleared < known->cleared) return false;
    if (entry.cleared == known->cleared) strikes = Union(known->strikes, strikes);
    if (entry.cleared == known->cleared && strikes == known->strikes) return false;
    changed_at = std::max(changed_at, known->changed_at);
  }
  entries_[entry.digest] = {std::move(strikes), entry.cleared, changed_at, now};
  EvictEntries(now);
  return true;
}

std::vector<StrikeEntry> StrikeTable::ChangedSince(Instant moment, Instant now) const {
  std::vector<StrikeEntry> result;
  for (const auto& [digest, entry] : entries_) {
    if (entry.learned_at < moment || now - entry.changed_at >= options_.max_age) continue;
    result.push_back({digest, entry.strikes, entry.cleared, now - entry.changed_at});
  }
  return result;
}

const StrikeTable::Entry* StrikeTable::Find(const std::string& digest, Instant now) const {
  const auto entry = entries_.find(digest);
  if (entry == entries_.end()) return nullptr;
  return now - entry->second.changed_at < options_.max_age ? &entry->second : nullptr;
}

void StrikeTable::EvictEntries(Instant now) {
  if (entries_.size() <= options_.max_entries) return;
  std::erase_if(entries_, [&](const auto& entry) {
    return now - entry.second.changed_at >= options_.max_age;
  });
  while (entries_.size() > options_.max_entries) {
    entries_.erase(
        std::min_element(entries_.begin(), entries_.end(), [](const auto& left, const auto& right) {
          return left.second.changed_at < right.second.changed_at;
        }));
  }
}

}  // namespace kumquat

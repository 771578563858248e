#include "coordination/admission/suspect_trials.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace kumquat {
namespace {

// Trials and crashes that are kept, the latest ones.
constexpr std::size_t kMaxKeptTrials = 256;
constexpr std::size_t kMaxKeptCrashes = 128;
constexpr Duration kTrialLifetime = std::chrono::minutes(10);
// Routers learn of one crash at different moments.
constexpr Duration kSameCrash = std::chrono::seconds(2);
// How often an announcement is repeated while its request waits.
constexpr Duration kAnnounceInterval = std::chrono::milliseconds(500);

Duration Age(Instant time, Instant now) { return std::max(Duration(0), now - time); }

Duration Distance(Instant one, Instant other) { return one > other ? one - other : other - one; }

bool Contains(const std::vector<Suspect>& suspects, const std::string& digest) {
  return std::any_of(suspects.begin(), suspects.end(),
                     [&](const Suspect& suspect) { return suspect.digest == digest; });
}

// The most specific ones explain a crash.
bool IsMostSpecific(const std::vector<Suspect>& suspects, const Suspect& suspect) {
  return std::none_of(suspects.begin(), suspects.end(),
                      [&](const Suspect& other) { return other.depth > suspect.depth; });
}

// A time that was told by several processes: delays only ever make it look later.
void TakeEarlier(std::optional<Instant>& known, const std::optional<Instant>& told) {
  if (told && (!known || *told < *known)) known = told;
}

}  // namespace

SuspectTrials::Own* SuspectTrials::FindOwn(std::span<const Suspect> accused) {
  const auto found = std::find_if(own_.begin(), own_.end(), [&](const Own& own) {
    return std::equal(accused.begin(), accused.end(), own.suspects.begin(), own.suspects.end());
  });
  return found != own_.end() ? &*found : nullptr;
}

SuspectTrials::Own& SuspectTrials::Announce(std::span<const Suspect> accused, Instant now) {
  Own& own = own_.emplace_back(Own{random_(), {accused.begin(), accused.end()}, now, now, {}});
  Trial& trial = trials_[own.id];
  trial.suspects = own.suspects;
  trial.announced_at = now;
  changed_.insert(own.id);
  return own;
}

bool SuspectTrials::Ask(std::span<const Suspect> accused, const TrialPlace& place, Instant now) {
  Tick(now);
  Own* announced = FindOwn(accused);
  Own& own = announced ? *announced : Announce(accused, now);
  own.last_asked_at = now;
  Trial& trial = trials_[own.id];
  if (now - trial.announced_at >= kAnnounceInterval) {
    trial.announced_at = now;
    changed_.insert(own.id);
  }
  const Duration waited = now - own.first_announced_at;
  if (waited < kAnnounceTime) return false;
  const bool is_held_up = std::any_of(trials_.begin(), trials_.end(), [&](const auto& entry) {
    return HoldsUp(entry.first, entry.second, own.id, now);
  });
  const bool is_good_moment = IsQuiet(now) && place.has_spare_server;
  if (is_held_up || !(is_good_moment || waited >= kMaxQuietWait)) {
    own.free_since.reset();
    return false;
  }
  if (!own.free_since) own.free_since = now;
  return !place.has_other_suspects || now - *own.free_since >= kPreferenceTime;
}

void SuspectTrials::Tick(Instant now) {
  std::erase_if(own_, [&](const Own& own) {
    const bool is_over = now - own.last_asked_at > kInterestTime;
    if (is_over) Withdraw(own.id);
    return is_over;
  });
}

bool SuspectTrials::HoldsUp(std::uint64_t id, const Trial& trial, std::uint64_t own_id,
                            Instant now) {
  if (id == own_id) return false;
  if (trial.state == TrialState::kSent) return now - *trial.sent_at < kLongestTrial;
  // Until all routers know what it has shown.
  if (trial.state == TrialState::kCrashed) {
    return trial.crashed_at && now - *trial.crashed_at < kIsolation + kAnnounceTime;
  }
  return trial.state == TrialState::kAnnounced && id < own_id &&
         now - trial.announced_at < kAnnouncementLifetime;
}

bool SuspectTrials::IsQuiet(Instant now) const {
  return std::none_of(crashes_.begin(), crashes_.end(),
                      [&](const Crash& crash) { return now - crash.at < kIsolation; });
}

void SuspectTrials::Change(std::uint64_t id, TrialState state) {
  const auto found = trials_.find(id);
  if (found == trials_.end() || found->second.state >= state) return;
  found->second.state = state;
  found->second.is_merged = false;
  changed_.insert(id);
}

std::uint64_t SuspectTrials::Begin(std::span<const Suspect> accused,
                                   std::span<const Suspect> suspects, Instant now) {
  const Own* announced = FindOwn(accused);
  const std::uint64_t id = announced ? announced->id : Announce(accused, now).id;
  std::erase_if(own_, [id](const Own& own) { return own.id == id; });
  Trial& trial = trials_[id];
  trial.suspects.assign(suspects.begin(), suspects.end());
  trial.sent_at = now;
  Change(id, TrialState::kSent);
  return id;
}

void SuspectTrials::End(std::uint64_t id) { Change(id, TrialState::kEnded); }

void SuspectTrials::Withdraw(std::uint64_t id) { Change(id, TrialState::kWithdrawn); }

void SuspectTrials::OnCrashed(std::uint64_t id, std::uint64_t server, Instant lost_at,
                              Instant now) {
  NoteCrash(server, lost_at, now);
  const auto found = trials_.find(id);
  if (found == trials_.end()) return;
  found->second.server = server;
  TakeEarlier(found->second.crashed_at, lost_at);
  Change(id, TrialState::kCrashed);
}

void SuspectTrials::NoteCrash(std::uint64_t server, Instant lost_at, Instant now) {
  Merge(ServerCrash{server, Age(lost_at, now)}, now);
  for (Crash& crash : crashes_) {
    if (crash.server == server && Distance(crash.at, lost_at) < kSameCrash) crash.is_merged = false;
  }
}

void SuspectTrials::Merge(const ServerCrash& message, Instant now) {
  const Instant at = now - message.age;
  for (Crash& crash : crashes_) {
    if (crash.server != message.server || Distance(crash.at, at) >= kSameCrash) continue;
    crash.at = std::min(crash.at, at);
    return;
  }
  crashes_.push_back({message.server, at, true, false});
  if (crashes_.size() > kMaxKeptCrashes) {
    crashes_.erase(
        std::min_element(crashes_.begin(), crashes_.end(),
                         [](const Crash& one, const Crash& other) { return one.at < other.at; }));
  }
}

void SuspectTrials::Merge(const SuspectTrial& message, Instant now) {
  const auto [entry, is_new] = trials_.try_emplace(message.id);
  Trial& trial = entry->second;
  const Instant announced_at = now - message.announced_age;
  const bool is_later = is_new || message.state > trial.state;
  // A repeated announcement is news too.
  const bool is_repeated = trial.state == TrialState::kAnnounced &&
                           announced_at > trial.announced_at + kAnnounceInterval / 2;
  trial.announced_at = std::max(trial.announced_at, announced_at);
  if (is_later) trial.suspects = message.suspects;
  if (message.sent_age) TakeEarlier(trial.sent_at, now - *message.sent_age);
  if (message.crashed_age) {
    TakeEarlier(trial.crashed_at, now - *message.crashed_age);
    trial.server = message.server;
  }
  if (is_later) trial.state = message.state;
  // A state that lacks its time comes from a faulty process.
  if (trial.state == TrialState::kSent && !trial.sent_at) trial.state = TrialState::kAnnounced;
  if (!is_later && !is_repeated) return;
  trial.is_merged = true;
  changed_.insert(message.id);
  if (trials_.size() <= kMaxKeptTrials) return;
  const auto oldest =
      std::min_element(trials_.begin(), trials_.end(), [](const auto& one, const auto& other) {
        return one.second.announced_at < other.second.announced_at;
      });
  changed_.erase(oldest->first);
  trials_.erase(oldest);
}

bool SuspectTrials::IsExplainedOtherwise(std::uint64_t id, const Trial& trial) const {
  const bool another_crashed =
      std::any_of(crashes_.begin(), crashes_.end(), [&](const Crash& crash) {
        return crash.server != trial.server && Distance(crash.at, *trial.crashed_at) <= kIsolation;
      });
  // Of two trials that were lost with one server, either may have crashed it.
  const bool another_trial = std::any_of(trials_.begin(), trials_.end(), [&](const auto& entry) {
    const Trial& other = entry.second;
    return entry.first != id && other.crashed_at && other.server == trial.server &&
           Distance(*other.crashed_at, *trial.crashed_at) <= kIsolation;
  });
  return another_crashed || another_trial;
}

TrialFinding SuspectTrials::FindingOf(const Suspect& suspect, Instant accused_since,
                                      Instant now) const {
  int sent = 0;
  for (const auto& [id, trial] : trials_) {
    const bool counts = trial.sent_at && *trial.sent_at >= accused_since &&
                        trial.state != TrialState::kWithdrawn &&
                        Contains(trial.suspects, suspect.digest);
    if (!counts) continue;
    ++sent;
    // Other crashes of that moment are known by then.
    const bool is_settled = trial.state == TrialState::kCrashed && trial.crashed_at &&
                            now - *trial.crashed_at >= kIsolation;
    if (is_settled && IsMostSpecific(trial.suspects, suspect) && !IsExplainedOtherwise(id, trial)) {
      return TrialFinding::kGuilty;
    }
  }
  return sent >= kMaxTrials ? TrialFinding::kExhausted : TrialFinding::kOpen;
}

SuspectTrial SuspectTrials::ToMessage(std::uint64_t id, const Trial& trial, Instant now) const {
  SuspectTrial message;
  message.id = id;
  message.suspects = trial.suspects;
  message.state = trial.state;
  message.announced_age = Age(trial.announced_at, now);
  if (trial.sent_at) message.sent_age = Age(*trial.sent_at, now);
  if (trial.crashed_at) message.crashed_age = Age(*trial.crashed_at, now);
  message.server = trial.server;
  return message;
}

std::vector<SuspectTrial> SuspectTrials::TakeChangedTrials(bool with_merged, Instant now) {
  std::vector<SuspectTrial> changed;
  for (const std::uint64_t id : std::exchange(changed_, {})) {
    const Trial& trial = trials_.at(id);
    if (with_merged || !trial.is_merged) changed.push_back(ToMessage(id, trial, now));
  }
  return changed;
}

std::vector<ServerCrash> SuspectTrials::TakeNewCrashes(bool with_merged, Instant now) {
  std::vector<ServerCrash> crashes;
  for (Crash& crash : crashes_) {
    if (crash.is_reported || (crash.is_merged && !with_merged)) continue;
    crash.is_reported = true;
    crashes.push_back({crash.server, Age(crash.at, now)});
  }
  return crashes;
}

std::vector<SuspectTrial> SuspectTrials::Trials(Instant now) const {
  std::vector<SuspectTrial> all;
  for (const auto& [id, trial] : trials_) all.push_back(ToMessage(id, trial, now));
  return all;
}

std::vector<ServerCrash> SuspectTrials::Crashes(Instant now) const {
  std::vector<ServerCrash> all;
  for (const Crash& crash : crashes_) all.push_back({crash.server, Age(crash.at, now)});
  return all;
}

std::uint64_t SuspectTrials::Hash() const {
  std::uint64_t hash = 0;
  for (const auto& [id, trial] : trials_) {
    const bool counts = trial.sent_at && trial.state != TrialState::kWithdrawn;
    const auto state = static_cast<std::uint64_t>(trial.state);
    if (counts) hash ^= XXH3_64bits_withSeed(&id, sizeof(id), state);
  }
  return hash;
}

void SuspectTrials::Expire(Instant now) {
  std::erase_if(trials_, [&](const auto& entry) {
    const Trial& trial = entry.second;
    const bool is_over =
        trial.state == TrialState::kAnnounced || trial.state == TrialState::kWithdrawn;
    const Duration lifetime = is_over ? kLongestTrial : kTrialLifetime;
    const bool is_own = std::any_of(own_.begin(), own_.end(),
                                    [&](const Own& own) { return own.id == entry.first; });
    return !is_own && now - trial.announced_at >= lifetime;
  });
  std::erase_if(changed_, [&](std::uint64_t id) { return !trials_.contains(id); });
  // A crash explains that of a trial for as long as the trial counts.
  const bool has_lost = std::any_of(trials_.begin(), trials_.end(), [](const auto& entry) {
    return entry.second.state == TrialState::kCrashed;
  });
  const Duration lifetime = has_lost ? kTrialLifetime : kLongestTrial;
  std::erase_if(crashes_, [&](const Crash& crash) { return now - crash.at >= lifetime; });
}

}  // namespace kumquat

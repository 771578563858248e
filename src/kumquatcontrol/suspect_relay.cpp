#include "suspect_relay.h"

#include <utility>
#include <vector>

namespace kumquat {

SuspectNews SuspectRelay::NewsOf(std::vector<SuspectEntry> entries) const {
  return {{}, false, Hash(), std::move(entries)};
}

std::optional<SuspectNews> SuspectRelay::Receive(const SuspectNews& news) {
  const Instant now = clock_();
  table_.Expire(now);
  for (const SuspectEntry& entry : news.entries) {
    if (!table_.Merge(entry, now)) continue;
    if (table_.IsShared(entry.suspect.digest)) untold_.insert(entry.suspect.digest);
  }
  const bool differs = news.is_summary && news.accused_hash != Hash();
  if (!differs) return std::nullopt;
  SuspectNews answer = NewsOf(table_.SharedEntries(now));
  answer.is_summary = true;
  return answer;
}

std::optional<SuspectNews> SuspectRelay::TakeNews() {
  if (untold_.empty()) return std::nullopt;
  std::vector<SuspectEntry> entries;
  for (const std::string& digest : std::exchange(untold_, {})) {
    if (auto entry = table_.EntryOf(digest, clock_())) entries.push_back(std::move(*entry));
  }
  return NewsOf(std::move(entries));
}

void SuspectRelay::Receive(const TrialNews& news) {
  const Instant now = clock_();
  for (const SuspectTrial& trial : news.trials) trials_.Merge(trial, now);
  for (const ServerCrash& crash : news.crashes) trials_.Merge(crash, now);
}

std::optional<TrialNews> SuspectRelay::TakeTrialNews() {
  const Instant now = clock_();
  TrialNews news{trials_.TakeChangedTrials(true, now), trials_.TakeNewCrashes(true, now)};
  if (news.trials.empty() && news.crashes.empty()) return std::nullopt;
  return news;
}

TrialNews SuspectRelay::TrialSummary() {
  const Instant now = clock_();
  trials_.Expire(now);
  return {trials_.Trials(now), trials_.Crashes(now)};
}

void SuspectRelay::Measure(Metrics* metrics) const {
  metrics->Set("kumquat_accused_suspects", {}, static_cast<double>(table_.accused().size()));
}

}  // namespace kumquat

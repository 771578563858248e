#include "suspect_relay.h"

#include <utility>
#include <vector>

namespace kumquat {

SuspectNews SuspectRelay::NewsOf(std::vector<SuspectEntry> entries) const {
  return {{}, false, table_.CondemnedHash(), std::move(entries)};
}

std::optional<SuspectNews> SuspectRelay::Receive(const SuspectNews& news) {
  const Instant now = clock_();
  table_.Expire(now);
  for (const SuspectEntry& entry : news.entries) {
    if (!table_.Merge(entry, now)) continue;
    if (table_.IsShared(entry.suspect.digest)) untold_.insert(entry.suspect.digest);
  }
  const bool differs = news.is_summary && news.condemned_hash != table_.CondemnedHash();
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

void SuspectRelay::Measure(Metrics* metrics) const {
  metrics->Set("kumquat_condemned_suspects", {}, static_cast<double>(table_.condemned().size()));
}

}  // namespace kumquat

#include "crash_watch.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

#include "utils/durations.h"
#include "utils/log.h"

namespace kumquat {
namespace {

// Own changes are repeated in summaries for this long.
constexpr Duration kRepeatChangesFor = std::chrono::milliseconds(2500);
// Bytes of a digest that are logged.
constexpr std::size_t kLoggedBytes = 6;

std::string ForLog(std::string_view digest) {
  std::string text;
  for (const char byte : digest.substr(0, kLoggedBytes)) {
    text += fmt::format("{:02x}", static_cast<unsigned char>(byte));
  }
  return text;
}

}  // namespace

CrashWatch::CrashWatch(std::string router, CrashWatchHooks hooks, Metrics* metrics)
    : router_(std::move(router)), hooks_(std::move(hooks)), metrics_(metrics) {}

bool CrashWatch::IsCondemned(std::span<const Suspect> suspects) const {
  return std::any_of(suspects.begin(), suspects.end(),
                     [this](const Suspect& suspect) { return table_.IsCondemned(suspect.digest); });
}

void CrashWatch::OnRunLost(const BackendChoice& backend, LostRun run) {
  lost_runs_.Add(backend, std::move(run));
  const auto latest = hooks_.latest_incarnation(backend.backend_id);
  if (latest && *latest > backend.incarnation) {
    OnIncarnation(backend.backend_id, *latest);
  } else {
    hooks_.probe(backend);
  }
}

void CrashWatch::OnRunAbandoned(const BackendChoice& backend, LostRun run, Instant ends_by) {
  if (hooks_.is_leaving(backend)) return;
  metrics_->Count("kumquat_runs_abandoned_total");
  abandoned_runs_.Add(backend, std::move(run), ends_by);
}

void CrashWatch::Clear(std::span<const Suspect> suspects) {
  const Instant now = hooks_.clock();
  for (const auto& [digest, depth] : suspects) {
    if (!table_.Clear(digest, now)) continue;
    changed_at_[digest] = now;
    LogEvent(LogLevel::kInfo, "suspect_cleared", {{"digest", ForLog(digest)}});
  }
}

void CrashWatch::OnRefused(const BackendChoice& backend) {
  const Instant now = hooks_.clock();
  OnCrashed(backend, lost_runs_.OnRefused(backend, now));
  if (hooks_.is_leaving(backend)) abandoned_runs_.OnLeaving(backend);
  OnCrashedAfter(backend, abandoned_runs_.OnRefused(backend, now));
}

void CrashWatch::OnReachable(const BackendChoice& backend, Instant begun) {
  lost_runs_.OnReachable(backend, begun);
}

void CrashWatch::OnIncarnation(const std::string& backend_id, std::int64_t incarnation) {
  // It proves one crash. A run that was sent after that may have run on the later incarnation,
  // which is up.
  const auto of_one_crash = [](std::vector<LostRun> runs) {
    for (LostRun& run : runs) run.sent_at = Instant(0);
    return runs;
  };
  const Instant now = hooks_.clock();
  if (const auto older = lost_runs_.OlderIncarnation(backend_id, incarnation)) {
    OnCrashed(*older, of_one_crash(lost_runs_.OnLaterIncarnation(*older, now)));
  }
  if (const auto older = abandoned_runs_.OlderIncarnation(backend_id, incarnation)) {
    OnCrashedAfter(*older, of_one_crash(abandoned_runs_.OnLaterIncarnation(*older, now)));
  }
}

void CrashWatch::OnCrashed(const BackendChoice& backend, const std::vector<LostRun>& runs) {
  for (const LostRun& run : runs) {
    for (const Suspect& suspect : run.suspects) Record(backend, run, suspect, run.lost_at);
  }
}

// When the crash was isn't known, only that the runs had been abandoned before. The time at which
// they were would make crashes of one moment look like several.
void CrashWatch::OnCrashedAfter(const BackendChoice& backend,
                                const std::vector<LostRun>& abandoned_runs) {
  const Instant now = hooks_.clock();
  for (const LostRun& run : abandoned_runs) {
    for (const Suspect& suspect : run.suspects) {
      if (!table_.IsClearedSince(suspect.digest, run.lost_at)) Record(backend, run, suspect, now);
    }
  }
}

void CrashWatch::Record(const BackendChoice& backend, const LostRun& run, const Suspect& suspect,
                        Instant crashed_at) {
  const Instant now = hooks_.clock();
  const std::string& digest = suspect.digest;
  const bool was_condemned = table_.IsCondemned(digest);
  const std::uint64_t crash =
      table_.CrashSince(digest, backend.backend_id, backend.incarnation, run.sent_at);
  if (!table_.AddCrash(suspect, crash, crashed_at, now)) return;
  changed_at_[digest] = now;
  metrics_->Count("kumquat_crash_strikes_total");
  LogEvent(LogLevel::kWarning, "request_struck",
           {{"request", run.request_id},
            {"digest", ForLog(digest)},
            {"backend", backend.backend_id},
            {"incarnation", backend.incarnation},
            {"lost_ms", Milliseconds(now - run.lost_at)},
            {"condemned", table_.IsCondemned(digest) ? "yes" : "no"}});
  LogNewlyCondemned(digest, was_condemned);
}

void CrashWatch::LogNewlyCondemned(const std::string& digest, bool was_condemned) const {
  if (was_condemned || !table_.IsCondemned(digest)) return;
  LogEvent(LogLevel::kError, "suspect_condemned", {{"digest", ForLog(digest)}});
}

void CrashWatch::ProbeUnproven() {
  for (const BackendChoice& backend : lost_runs_.Unproven(hooks_.clock())) hooks_.probe(backend);
  CheckAbandoned();
}

void CrashWatch::CheckAbandoned() {
  for (const BackendChoice& backend : abandoned_runs_.Backends(hooks_.clock())) {
    if (hooks_.is_leaving(backend)) {
      abandoned_runs_.OnLeaving(backend);
      continue;
    }
    const auto latest = hooks_.latest_incarnation(backend.backend_id);
    if (latest && *latest > backend.incarnation) OnIncarnation(backend.backend_id, *latest);
  }
}

SuspectNews CrashWatch::NewsOf(std::vector<SuspectEntry> entries) const {
  return {router_, false, table_.CondemnedHash(), std::move(entries)};
}

void CrashWatch::ReportChanges() {
  const Instant now = hooks_.clock();
  std::vector<SuspectEntry> entries;
  for (const auto& [digest, changed_at] : changed_at_) {
    if (changed_at <= reported_at_) continue;
    if (auto entry = table_.EntryOf(digest, now)) entries.push_back(std::move(*entry));
  }
  reported_at_ = now;
  if (!entries.empty()) hooks_.report(NewsOf(std::move(entries)));
}

SuspectNews CrashWatch::Summary() {
  const Instant now = hooks_.clock();
  table_.Expire(now);
  std::erase_if(changed_at_,
                [&](const auto& change) { return now - change.second > kRepeatChangesFor; });
  std::vector<SuspectEntry> entries;
  for (const auto& [digest, changed_at] : changed_at_) {
    if (auto entry = table_.EntryOf(digest, now)) entries.push_back(std::move(*entry));
  }
  SuspectNews summary = NewsOf(std::move(entries));
  summary.is_summary = true;
  return summary;
}

std::optional<SuspectNews> CrashWatch::Receive(const SuspectNews& news) {
  const Instant now = hooks_.clock();
  const std::set<std::string> condemned_before = table_.condemned();
  for (const SuspectEntry& entry : news.entries) {
    if (!table_.Merge(entry, now)) continue;
    if (hooks_.relays_news) changed_at_[entry.suspect.digest] = now;
  }
  // One entry may explain the crashes of another, so that the verdict stands after the last.
  for (const SuspectEntry& entry : news.entries) {
    const std::string& digest = entry.suspect.digest;
    LogNewlyCondemned(digest, condemned_before.contains(digest));
  }
  const bool lacks_some = news.is_summary && news.condemned_hash != table_.CondemnedHash();
  if (!lacks_some) return std::nullopt;
  return NewsOf(table_.SharedEntries(now));
}

void CrashWatch::Measure() {
  metrics_->Set("kumquat_abandoned_runs", {}, static_cast<double>(abandoned_runs_.size()));
  metrics_->Set("kumquat_condemned_suspects", {}, static_cast<double>(table_.condemned().size()));
}

}  // namespace kumquat

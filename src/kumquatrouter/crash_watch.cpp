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
    : router_(std::move(router)),
      hooks_(std::move(hooks)),
      metrics_(metrics),
      trials_(hooks_.random) {}

bool CrashWatch::IsGuilty(const Suspect& suspect) const {
  return table_.IsAccused(suspect.digest) &&
         trials_.FindingOf(suspect, table_.AccusedSince(suspect.digest), hooks_.clock()) ==
             TrialFinding::kGuilty;
}

bool CrashWatch::IsCondemned(std::span<const Suspect> suspects) const {
  return std::any_of(suspects.begin(), suspects.end(),
                     [this](const Suspect& suspect) { return IsGuilty(suspect); });
}

bool CrashWatch::IsAccused(std::span<const Suspect> suspects) const {
  return std::any_of(suspects.begin(), suspects.end(),
                     [this](const Suspect& suspect) { return table_.IsAccused(suspect.digest); });
}

SuspectVerdict CrashWatch::Judge(std::span<const Suspect> suspects, std::size_t servers) {
  if (!has_accused()) return SuspectVerdict::kFree;
  const Instant now = hooks_.clock();
  std::vector<Suspect> accused;
  TrialPlace place;
  place.has_spare_server = servers > 1;
  bool is_exhausted = false;
  for (const Suspect& suspect : suspects) {
    if (!table_.IsAccused(suspect.digest)) {
      place.has_other_suspects = place.has_other_suspects || table_.HasCrashes(suspect.digest);
      continue;
    }
    accused.push_back(suspect);
    const TrialFinding finding =
        trials_.FindingOf(suspect, table_.AccusedSince(suspect.digest), now);
    if (finding == TrialFinding::kGuilty) return SuspectVerdict::kCondemned;
    is_exhausted = is_exhausted || finding == TrialFinding::kExhausted;
  }
  if (accused.empty()) return SuspectVerdict::kFree;
  if (is_exhausted) return SuspectVerdict::kExhausted;
  return trials_.Ask(accused, place, now) ? SuspectVerdict::kTrial : SuspectVerdict::kHeld;
}

std::uint64_t CrashWatch::BeginTrial(std::span<const Suspect> suspects, std::string_view request_id,
                                     const BackendChoice& backend) {
  std::vector<Suspect> accused;
  std::vector<Suspect> incriminated;
  for (const Suspect& suspect : suspects) {
    if (table_.IsAccused(suspect.digest)) accused.push_back(suspect);
    if (table_.IsIncriminated(suspect.digest)) incriminated.push_back(suspect);
  }
  metrics_->Count("kumquat_suspect_trials_total");
  for (const Suspect& suspect : incriminated) {
    LogEvent(LogLevel::kInfo, "trial_sent",
             {{"request", request_id},
              {"digest", ForLog(suspect.digest)},
              {"accused", table_.IsAccused(suspect.digest) ? "yes" : "no"},
              {"backend", backend.backend_id}});
  }
  return trials_.Begin(accused, incriminated, hooks_.clock());
}

void CrashWatch::EndTrial(std::uint64_t trial) { trials_.End(trial); }

void CrashWatch::WithdrawTrial(std::uint64_t trial) { trials_.Withdraw(trial); }

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
  const Instant now = hooks_.clock();
  const std::uint64_t server = CrashId(backend.backend_id, backend.incarnation);
  for (const LostRun& run : runs) {
    trials_.NoteCrash(server, run.lost_at, now);
    if (run.trial) trials_.OnCrashed(*run.trial, server, run.lost_at, now);
    for (const Suspect& suspect : run.suspects) Record(backend, run, suspect, run.lost_at);
  }
}

// When the crash was isn't known, only that the runs had been abandoned before. The time at which
// they were would make crashes of one moment look like several.
void CrashWatch::OnCrashedAfter(const BackendChoice& backend,
                                const std::vector<LostRun>& abandoned_runs) {
  const Instant now = hooks_.clock();
  for (const LostRun& run : abandoned_runs) {
    const std::uint64_t server = CrashId(backend.backend_id, backend.incarnation);
    trials_.NoteCrash(server, now, now);
    // Later, it isn't known whether the trial's run still was at work.
    const bool is_soon = now - run.lost_at <= SuspectTrials::kIsolation;
    if (run.trial && is_soon) trials_.OnCrashed(*run.trial, server, now, now);
    for (const Suspect& suspect : run.suspects) {
      if (!table_.IsClearedSince(suspect.digest, run.lost_at)) Record(backend, run, suspect, now);
    }
  }
}

void CrashWatch::Record(const BackendChoice& backend, const LostRun& run, const Suspect& suspect,
                        Instant crashed_at) {
  const Instant now = hooks_.clock();
  const std::string& digest = suspect.digest;
  const bool was_accused = table_.IsAccused(digest);
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
            {"accused", table_.IsAccused(digest) ? "yes" : "no"}});
  LogNewlyAccused(digest, was_accused);
}

void CrashWatch::LogNewlyAccused(const std::string& digest, bool was_accused) const {
  if (was_accused || !table_.IsAccused(digest)) return;
  LogEvent(LogLevel::kWarning, "suspect_accused", {{"digest", ForLog(digest)}});
}

void CrashWatch::LogNewlyCondemned() {
  std::set<std::string> condemned;
  const Instant now = hooks_.clock();
  for (const std::string& digest : table_.accused()) {
    const Suspect suspect{digest, table_.EntryOf(digest, now)->suspect.depth};
    if (!IsGuilty(suspect)) continue;
    condemned.insert(digest);
    if (condemned_.contains(digest)) continue;
    LogEvent(LogLevel::kError, "suspect_condemned", {{"digest", ForLog(digest)}});
  }
  condemned_ = std::move(condemned);
}

void CrashWatch::ProbeUnproven() {
  for (const BackendChoice& backend : lost_runs_.Unproven(hooks_.clock())) hooks_.probe(backend);
  CheckAbandoned();
  LogNewlyCondemned();
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
  return {router_, false, Hash(), std::move(entries)};
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
  trials_.Tick(now);
  TrialNews trials{trials_.TakeChangedTrials(hooks_.relays_news, now),
                   trials_.TakeNewCrashes(hooks_.relays_news, now)};
  if (!trials.trials.empty() || !trials.crashes.empty()) hooks_.report(std::move(trials));
}

TrialNews CrashWatch::TrialSummary() {
  const Instant now = hooks_.clock();
  trials_.Expire(now);
  return {trials_.Trials(now), trials_.Crashes(now)};
}

void CrashWatch::Receive(const TrialNews& news) {
  const Instant now = hooks_.clock();
  for (const SuspectTrial& trial : news.trials) trials_.Merge(trial, now);
  for (const ServerCrash& crash : news.crashes) trials_.Merge(crash, now);
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
  const std::set<std::string> accused_before = table_.accused();
  for (const SuspectEntry& entry : news.entries) {
    if (!table_.Merge(entry, now)) continue;
    if (hooks_.relays_news) changed_at_[entry.suspect.digest] = now;
  }
  // One entry may explain the crashes of another, so that the accusation stands after the last.
  for (const SuspectEntry& entry : news.entries) {
    const std::string& digest = entry.suspect.digest;
    LogNewlyAccused(digest, accused_before.contains(digest));
  }
  const bool lacks_some = news.is_summary && news.accused_hash != Hash();
  if (!lacks_some) return std::nullopt;
  return NewsOf(table_.SharedEntries(now));
}

void CrashWatch::Measure() {
  metrics_->Set("kumquat_abandoned_runs", {}, static_cast<double>(abandoned_runs_.size()));
  metrics_->Set("kumquat_condemned_suspects", {}, static_cast<double>(condemned_.size()));
  metrics_->Set("kumquat_accused_suspects", {}, static_cast<double>(table_.accused().size()));
}

}  // namespace kumquat

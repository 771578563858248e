// Watches for crashes of backend servers, and keeps requests that cause them from being sent again.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/admission/culprit_table.h"
#include "coordination/forwarding/abandoned_runs.h"
#include "coordination/forwarding/lost_runs.h"
#include "protocol/control_news.h"
#include "utils/histogram.h"
#include "utils/hooks.h"

namespace kumquat {

struct CrashWatchHooks {
  Clock clock;
  // Finds out whether the backend server takes connections; OnRefused() or OnReachable() follows.
  std::function<void(const BackendChoice& backend)> probe;
  // Returns the latest known incarnation of the backend server; nullopt if it isn't known.
  std::function<std::optional<std::int64_t>(const std::string& backend_id)> latest_incarnation;
  // Returns whether this incarnation of the backend server said that it leaves.
  std::function<bool(const BackendChoice& backend)> is_leaving;
  // Sends news to the processes that this router is linked to.
  std::function<void(const SuspectNews& news)> report;
  // Set if news that change the table are to be reported on.
  bool relays_news = false;
};

class CrashWatch {
 public:
  // `router` is the name of this router. `metrics` isn't owned.
  CrashWatch(std::string router, CrashWatchHooks hooks, Metrics* metrics);

  // Returns whether any of the suspects is condemned, so that a request with it must not be sent.
  bool IsCondemned(std::span<const Suspect> suspects) const;
  bool has_condemned() const { return !table_.condemned().empty(); }

  // Returns whether OnBeginningSurvived() and OnRunSurvived() may have an effect.
  bool has_suspects() const { return table_.has_suspects(); }

  // A run was lost.
  void OnRunLost(const BackendChoice& backend, LostRun run);

  // This process gave up a run, at `run.lost_at`, that the backend server may go on with until
  // `ends_by`. It counts as lost if the server crashes meanwhile.
  void OnRunAbandoned(const BackendChoice& backend, LostRun run, Instant ends_by);

  // The backend server answered a request.
  void OnAnswering(const BackendChoice& backend) {
    abandoned_runs_.OnAnswering(backend, hooks_.clock());
  }

  // A backend server survived the beginning of an answer.
  void OnBeginningSurvived(std::span<const Suspect> suspects) { Clear(suspects); }

  // A backend server survived a run, whose answer is complete.
  void OnRunSurvived(std::span<const Suspect> suspects) { Clear(suspects); }

  // What became known of a backend server.
  void OnRefused(const BackendChoice& backend);
  // The connection that the backend server took was begun at `begun`.
  void OnReachable(const BackendChoice& backend, Instant begun);
  void OnIncarnation(const std::string& backend_id, std::int64_t incarnation);

  // Returns whether another probe may prove that the backend server crashed.
  bool IsUnproven(const BackendChoice& backend) const {
    return lost_runs_.IsUnproven(backend, hooks_.clock());
  }

  // Probes the backend servers whose crash is still unproven, and looks for news of those that have
  // abandoned runs; call it at short intervals.
  void ProbeUnproven();

  // Reports what changed since the last call; call it at short intervals.
  void ReportChanges();

  // Returns the summary that is sent regularly. Repeats recent changes, as the message that
  // reported them may have been lost.
  SuspectNews Summary();

  // Takes news from another process. Returns what that process lacks; nullopt if nothing.
  std::optional<SuspectNews> Receive(const SuspectNews& news);

  // Sets the gauges.
  void Measure();

 private:
  void Clear(std::span<const Suspect> suspects);
  void OnCrashed(const BackendChoice& backend, const std::vector<LostRun>& runs);
  void OnCrashedAfter(const BackendChoice& backend, const std::vector<LostRun>& abandoned_runs);
  void CheckAbandoned();
  // Records that the suspect was lost with a crash at `crashed_at`, or at an unknown time before.
  void Record(const BackendChoice& backend, const LostRun& run, const Suspect& suspect,
              Instant crashed_at);
  void LogNewlyCondemned(const std::string& digest, bool was_condemned) const;
  SuspectNews NewsOf(std::vector<SuspectEntry> entries) const;

  std::string router_;
  CrashWatchHooks hooks_;
  Metrics* metrics_;
  LostRuns lost_runs_;
  AbandonedRuns abandoned_runs_;
  CulpritTable table_;
  // When this router last changed an entry that it has to report, by digest.
  std::map<std::string, Instant> changed_at_;
  Instant reported_at_{-1};
};

}  // namespace kumquat

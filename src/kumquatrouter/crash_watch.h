// Watches for crashes of backend servers, and keeps requests that cause them from being sent again.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/admission/culprit_table.h"
#include "coordination/admission/suspect_trials.h"
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
  std::function<void(const ControlNews& news)> report;
  Random random;
  // Set if news that change the table are to be reported on.
  bool relays_news = false;
};

// Whether a request may be sent, by what is known of its suspects.
enum class SuspectVerdict {
  kFree,
  // Some are accused. It waits for a trial of them, its own or that of another request.
  kHeld,
  // It may be sent as that trial.
  kTrial,
  // Some are accused, and have no trial left that could clear them.
  kExhausted,
  // It crashes the servers that run it.
  kCondemned,
};

class CrashWatch {
 public:
  // `router` is the name of this router. `metrics` isn't owned.
  CrashWatch(std::string router, CrashWatchHooks hooks, Metrics* metrics);

  // Returns the verdict on a request with these suspects that waits to be sent to one of this many
  // servers; call it at short intervals while it waits, as that may bring about a trial.
  SuspectVerdict Judge(std::span<const Suspect> suspects, std::size_t servers);

  // Returns whether any of the suspects is known to crash servers, so that a request with it must
  // not be sent.
  bool IsCondemned(std::span<const Suspect> suspects) const;

  // Returns whether any of the suspects is condemned or may be.
  bool IsAccused(std::span<const Suspect> suspects) const;
  bool has_accused() const { return !table_.accused().empty(); }

  // The request that Judge() just allowed as a trial is sent to the server. Returns the trial's id,
  // which its run has if it is lost.
  std::uint64_t BeginTrial(std::span<const Suspect> suspects, std::string_view request_id,
                           const BackendChoice& backend);

  // The run of the trial ended otherwise than by a loss, or is no longer of interest.
  void EndTrial(std::uint64_t trial);

  // The server confirmed that it hasn't run the request of the trial, or never got it.
  void WithdrawTrial(std::uint64_t trial);

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

  // The same for trials.
  TrialNews TrialSummary();
  void Receive(const TrialNews& news);

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
  void LogNewlyAccused(const std::string& digest, bool was_accused) const;
  // Logs the suspects that trials have condemned since the last call.
  void LogNewlyCondemned();
  bool IsGuilty(const Suspect& suspect) const;
  std::uint64_t Hash() const { return table_.AccusedHash() ^ trials_.Hash(); }
  SuspectNews NewsOf(std::vector<SuspectEntry> entries) const;

  std::string router_;
  CrashWatchHooks hooks_;
  Metrics* metrics_;
  LostRuns lost_runs_;
  AbandonedRuns abandoned_runs_;
  CulpritTable table_;
  SuspectTrials trials_;
  std::set<std::string> condemned_;
  // When this router last changed an entry that it has to report, by digest.
  std::map<std::string, Instant> changed_at_;
  Instant reported_at_{-1};
};

}  // namespace kumquat

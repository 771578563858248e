// Decides when an accused suspect may be run once more to find out whether it crashes its server,
// and what the outcome says.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "protocol/suspect_entry.h"
#include "utils/hooks.h"

namespace kumquat {

// What the trials of a suspect have shown.
enum class TrialFinding {
  // Nothing yet.
  kOpen,
  // It crashed the server of a trial, and nothing else explains that crash.
  kGuilty,
  // Its trials are used up, and each may have been lost to something else.
  kExhausted,
};

// What is known of the request that a trial would be, and of where it would run.
struct TrialPlace {
  // The request has other suspects, which may crash the server too.
  bool has_other_suspects = false;
  // Another server is left if this one crashes.
  bool has_spare_server = true;
};

// Crashes at nearly the same time tell a culprit from a bystander in no way: what runs everywhere
// is lost with each of them. A trial does: a culprit crashes whatever runs it next, and a bystander
// is answered. See docs/design/suspect-trials.md.
//
// Each process has one of these, and they exchange TrialNews. One trial at a time is under way in
// all routers: each announces a trial before it sends the request, and the lowest id goes first.
// Routers that don't hear of each other, as links are cut, may run one each.
//
// Merging gives the same state in any order and when repeated.
class SuspectTrials {
 public:
  explicit SuspectTrials(Random random) : random_(std::move(random)) {}

  // A request with these accused suspects waits at this router. Returns whether it may be sent now,
  // as a trial of them; announces one if none is. Requests with other suspects come second. Call it
  // at short intervals while the request waits.
  bool Ask(std::span<const Suspect> accused, const TrialPlace& place, Instant now);

  // The request that Ask() allowed is sent. `suspects` are the accused ones, and those that it has
  // besides with as many crashes. Returns the id of the trial.
  std::uint64_t Begin(std::span<const Suspect> accused, std::span<const Suspect> suspects,
                      Instant now);

  // The run of the trial ended, and no crash is known.
  void End(std::uint64_t id);

  // The server confirmed that it hasn't run the request.
  void Withdraw(std::uint64_t id);

  // The run of the trial was lost at `lost_at` with a crash of this server incarnation.
  void OnCrashed(std::uint64_t id, std::uint64_t server, Instant lost_at, Instant now);

  // A server incarnation crashed, with whatever runs.
  void NoteCrash(std::uint64_t server, Instant lost_at, Instant now);

  // Returns what the trials have shown of a suspect that is accused since this time.
  TrialFinding FindingOf(const Suspect& suspect, Instant accused_since, Instant now) const;

  // Merges what another process knows.
  void Merge(const SuspectTrial& trial, Instant now);
  void Merge(const ServerCrash& crash, Instant now);

  // Gives up the announced trials whose requests no longer wait; call it at short intervals.
  void Tick(Instant now);

  // Returns what changed here since the last call, by `Merge` only if `with_merged`.
  std::vector<SuspectTrial> TakeChangedTrials(bool with_merged, Instant now);
  std::vector<ServerCrash> TakeNewCrashes(bool with_merged, Instant now);

  // Returns all trials and recent crashes as they are sent to a process that may have missed some.
  std::vector<SuspectTrial> Trials(Instant now) const;
  std::vector<ServerCrash> Crashes(Instant now) const;

  // Returns a hash of the trials that were sent, by which processes notice that they differ.
  std::uint64_t Hash() const;

  // Forgets what is too old to matter.
  void Expire(Instant now);

  // Sends of an accused suspect in all. The third crash has happened by then, and the platform
  // allows three sends after it.
  static constexpr int kMaxTrials = 3;
  // Another server's crash within this time of that of a trial may have the same cause. No trial
  // begins for so long after a crash, since its loss would show nothing.
  static constexpr Duration kIsolation = std::chrono::seconds(1);
  // From the announcement of a trial to its begin: by then all routers know of it.
  static constexpr Duration kAnnounceTime = std::chrono::milliseconds(250);
  // Where servers crash all the time, or only one is left, a trial begins after this: its answer
  // still clears.
  static constexpr Duration kMaxQuietWait = std::chrono::seconds(3);
  // For how long a trial leaves the turn to requests without other suspects.
  static constexpr Duration kPreferenceTime = std::chrono::milliseconds(500);
  // An announced trial is given up if no request asked for it for so long: a caller that was told
  // to come back may do so until then.
  static constexpr Duration kInterestTime = std::chrono::milliseconds(2500);
  // An announcement that isn't repeated for so long doesn't hold up others. Its router has given it
  // up well before.
  static constexpr Duration kAnnouncementLifetime = std::chrono::seconds(4);
  // A trial whose outcome isn't known after this doesn't hold up others.
  static constexpr Duration kLongestTrial = std::chrono::seconds(3);

 private:
  struct Trial {
    std::vector<Suspect> suspects;
    TrialState state = TrialState::kAnnounced;
    Instant announced_at{0};
    std::optional<Instant> sent_at;
    std::uint64_t server = 0;
    std::optional<Instant> crashed_at;
    bool is_merged = false;
  };
  struct Crash {
    std::uint64_t server = 0;
    Instant at{0};
    bool is_merged = false;
    bool is_reported = false;
  };
  // A trial that this router has announced.
  struct Own {
    std::uint64_t id = 0;
    std::vector<Suspect> suspects;
    Instant first_announced_at{0};
    Instant last_asked_at{0};
    // Since when nothing else keeps the trial from beginning.
    std::optional<Instant> free_since;
  };

  // Returns the announced trial of these suspects; null if there is none.
  Own* FindOwn(std::span<const Suspect> accused);
  Own& Announce(std::span<const Suspect> accused, Instant now);
  void Change(std::uint64_t id, TrialState state);
  // Returns whether this trial keeps the own one from beginning.
  static bool HoldsUp(std::uint64_t id, const Trial& trial, std::uint64_t own_id, Instant now);
  bool IsQuiet(Instant now) const;
  // Returns whether another server crashed so close to this trial's that both may have one cause.
  bool IsExplainedOtherwise(std::uint64_t id, const Trial& trial) const;
  SuspectTrial ToMessage(std::uint64_t id, const Trial& trial, Instant now) const;

  Random random_;
  std::map<std::uint64_t, Trial> trials_;
  std::set<std::uint64_t> changed_;
  std::vector<Crash> crashes_;
  std::vector<Own> own_;
};

}  // namespace kumquat

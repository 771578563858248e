// Runs that this process gave up while their backend servers may still have been at work on them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/forwarding/lost_runs.h"
#include "coordination/requests/backend_choice.h"
#include "utils/hooks.h"

namespace kumquat {

// A request whose caller leaves, or whose time is over, ends before it is seen what its run does to
// the server. The server may not notice at once that the connection is closed, and may crash by the
// run after that. So these runs are kept for as long as the server may go on with them, and count
// as lost with a crash that is proven by then or soon after. Unlike a broken connection, an
// abandoned one is no sign of a crash: it causes no probe.
class AbandonedRuns {
 public:
  // Adds a run that was given up at `run.lost_at` and that the server may go on with until
  // `ends_by`, but no longer than kLongestRun. At most kMaxRuns are kept for each server, the
  // latest ones, and of kMaxBackends servers.
  void Add(const BackendChoice& backend, LostRun run, Instant ends_by);

  // The backend server answered a request, so that it has survived the runs that had to end before.
  void OnAnswering(const BackendChoice& backend, Instant now);

  // The backend server leaves and will end without a crash.
  void OnLeaving(const BackendChoice& backend);

  // Each returns the runs that may have crashed the backend server, and forgets them.
  std::vector<LostRun> OnRefused(const BackendChoice& backend, Instant now);
  std::vector<LostRun> OnLaterIncarnation(const BackendChoice& backend, Instant now);

  // Returns the older incarnation than this one whose runs are kept, if there is one.
  std::optional<BackendChoice> OlderIncarnation(std::string_view backend_id,
                                                std::int64_t incarnation) const;

  // Returns the backend servers whose runs are kept, after forgetting those that ended too long
  // ago.
  std::vector<BackendChoice> Backends(Instant now);

  // Returns the number of runs that are kept.
  std::size_t size() const;

  static constexpr std::size_t kMaxRuns = 32;
  static constexpr std::size_t kMaxBackends = 512;
  // A server that hasn't noticed the close of the connection goes on for at most this long.
  static constexpr Duration kLongestRun = std::chrono::seconds(10);

 private:
  struct Abandoned {
    LostRun run;
    Instant ends_by{0};
  };
  struct Backend {
    std::int64_t incarnation = 0;
    std::vector<Abandoned> runs;
  };

  std::vector<LostRun> Take(const BackendChoice& backend, Instant now, Duration window);

  // By backend id. Only the latest incarnation that runs were abandoned at is kept.
  std::map<std::string, Backend, std::less<>> backends_;
};

}  // namespace kumquat

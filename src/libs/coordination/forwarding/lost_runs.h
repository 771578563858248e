// Runs that were lost with their connection, until it is known whether their backend server
// crashed.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/requests/backend_choice.h"
#include "protocol/suspect_entry.h"
#include "utils/hooks.h"

namespace kumquat {

struct LostRun {
  std::string request_id;
  // What of the run may have crashed the server.
  std::vector<Suspect> suspects;
  Instant lost_at{0};
  // The beginning of its answer crashed no server.
  bool is_past_beginning = false;
  // When it was sent. If this isn't known, the run never counts as lost with a further crash of the
  // same incarnation.
  Instant sent_at{0};
  // The trial that it was, if it was one.
  std::optional<std::uint64_t> trial = std::nullopt;
};

// A lost connection alone doesn't prove a crash: networks and faulty servers break them too, and
// silence proves nothing. Proof is a refused connection soon after the loss, or a later incarnation
// soon after it, or some seconds after it if the server hasn't been reached since. A connection
// that is taken right after the loss settles nothing, as a server that ends may close its listener
// last.
class LostRuns {
 public:
  // Adds a run that was lost on the backend server. At most kMaxRuns are kept for each server, and
  // of kMaxBackends servers. Runs past their beginning make room for others.
  void Add(const BackendChoice& backend, LostRun run);

  // Each returns the runs that are now proven lost with a crash, and forgets them.
  std::vector<LostRun> OnRefused(const BackendChoice& backend, Instant now);
  std::vector<LostRun> OnLaterIncarnation(const BackendChoice& backend, Instant now);

  // The backend server took a connection that was begun at `begun`.
  void OnReachable(const BackendChoice& backend, Instant begun);

  // Returns whether Unproven() has the backend server.
  bool IsUnproven(const BackendChoice& backend, Instant now) const;

  // Returns the backend servers of which it is unknown whether they take connections, after
  // forgetting runs that were lost too long ago.
  std::vector<BackendChoice> Unproven(Instant now);

  // Returns the older incarnation than this one whose runs wait for proof, if there is one.
  std::optional<BackendChoice> OlderIncarnation(std::string_view backend_id,
                                                std::int64_t incarnation) const;

  // A server that refuses connections, or starts again after it took some, may do so for another
  // reason when it is later than this.
  static constexpr Duration kRefusalWindow = std::chrono::seconds(2);
  // Crashed servers are back after some seconds.
  static constexpr Duration kRestartWindow = std::chrono::seconds(10);

  static constexpr std::size_t kMaxRuns = 64;
  static constexpr std::size_t kMaxBackends = 64;

 private:
  struct Backend {
    std::int64_t incarnation = 0;
    bool was_reachable = false;
    Instant last_lost_at{0};
    std::vector<LostRun> runs;

    // Returns whether a refused connection would prove that runs were lost with a crash.
    bool MayBeProven(Instant now) const;
  };

  std::vector<LostRun> Take(const BackendChoice& backend, Instant now, Duration max_age);

  // By backend id. Only the latest incarnation that lost a run is kept.
  std::map<std::string, Backend, std::less<>> backends_;
};

}  // namespace kumquat

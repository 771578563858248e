// Detects poison requests, which kill the backend servers that run them, by recording which
// requests were running when a backend server died.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "utils/hooks.h"

namespace kumquat {

struct StrikeTableOptions {
  // Maximum number of digests; the entries with the oldest changes are evicted first.
  std::size_t max_entries = 4096;
  // Lifetime of an entry after its last change.
  Duration max_age = std::chrono::minutes(10);
};

// A lost run of a request. It counts as a strike against the request once its backend server is
// known to be dead.
struct Strike {
  std::string backend_id;
  std::int64_t incarnation = 0;
  // The request was already a suspect when it started there. Normally no other suspect ran on the
  // backend server at the same time; OwnsBackend names the exception.
  bool is_isolated = false;
  // The request had received a part of its answer there, so starting it did not kill the backend
  // server.
  bool made_progress = false;

  auto operator<=>(const Strike&) const = default;
};

// Combines the lost runs of a request on the dead incarnation into one strike. `is_isolated` comes
// from the last of these runs, during which the backend server died. `made_progress` is set when
// any of them made progress, as this shows that starting the request is harmless.
Strike StrikeFromLostRuns(std::string_view backend_id, std::int64_t incarnation,
                          std::span<const Strike> lost_runs);

// The state of one request as routers exchange it. It carries an age instead of a point in time,
// because the clocks of the routers differ.
struct StrikeEntry {
  // Strong hash of the organisation and the complete request.
  std::string digest;
  // Sorted. Empty after a success cleared the request.
  std::vector<Strike> strikes;
  // Number of successes that cleared the request. In a merge the entry with the higher count wins;
  // entries with equal counts merge their strikes.
  std::int64_t cleared = 0;
  // Time since the last change.
  Duration age{0};

  bool operator==(const StrikeEntry&) const = default;
};

enum class RequestStanding {
  kClean,
  // It was running when a backend server died. No other suspect may run on the same backend server
  // at the same time.
  kSuspect,
  // It is refused for as long as its entry lives. Two different backend servers died while it ran
  // and it never received a part of its answer, or there were four deaths, also of incarnations of
  // the same backend server. In both cases it was already a suspect at one of them at least;
  // otherwise innocent requests
  // that ran beside a poison request, or on engines that died for another reason, would be
  // condemned. The limit depends on progress because a poison request has the same effect on every
  // engine: one that received tokens from an engine that died later is not of the kind that kills
  // at its start.
  kCondemned,
};

// Keeps the strikes of each request by its digest. Merging the entries of other routers gives the
// same strikes and clear counts in any order and when repeated, as long as no entry expires or is
// evicted, so messages may be reordered and repeated. Only the ages may differ.
class StrikeTable {
 public:
  // Returns whether this router may place suspects on the backend server. Only one router should
  // own each backend server, so that suspects of two routers never run there together. If a router
  // owns none of the backend servers that could run its suspect, the hook should allow all of them:
  // it is better that two suspects run together in rare cases than that an innocent request never
  // runs.
  using OwnsBackend = std::function<bool(const std::string& backend_id)>;

  explicit StrikeTable(StrikeTableOptions options = {}, OwnsBackend owns_backend = {});

  RequestStanding StandingOf(const std::string& digest, Instant now) const;

  // Records that the backend server died while the request ran on it. Returns the new standing.
  RequestStanding AddStrike(const std::string& digest, const Strike& strike, Instant now);

  // Clears the strikes of the request, as a complete answer shows that it kills no backend server.
  void OnSuccess(const std::string& digest, Instant now);

  // Returns whether the request may be tried on the backend server, one of those that are up and
  // could run it. It may where it has no strike, and if it has one from each of them, on any of
  // them again: otherwise it would never run where a few backend servers died one after the other.
  bool MayTry(const std::string& digest, const std::string& backend_id,
              std::span<const std::string> backend_ids, Instant now) const;

  // Returns whether the request may be placed on the backend server. A clean request always may, a
  // condemned one never. A suspect may if this router owns the placement of suspects there, no
  // other suspect runs there, and MayTry() allows it.
  bool MayPlace(const std::string& digest, const std::string& backend_id, Instant now,
                std::span<const std::string> backend_ids = {}) const;

  // Returns whether all requests that this router runs on the backend server are clean.
  bool IsFreeOfSuspects(const std::string& backend_id, Instant now) const;

  // Record that a request starts or stops running on the backend server.
  void OnStarted(const std::string& digest, const std::string& backend_id);
  void OnStopped(const std::string& digest, const std::string& backend_id);

  // Merges an entry of another router. Returns whether it changed the table.
  bool Merge(const StrikeEntry& entry, Instant now);

  // Returns the entries that changed in this table at or after `moment`, to be sent to the other
  // routers.
  std::vector<StrikeEntry> ChangedSince(Instant moment, Instant now) const;

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::vector<Strike> strikes;
    std::int64_t cleared = 0;
    // When the entry last changed on any router, computed from the received ages. Determines when
    // it expires.
    Instant changed_at{0};
    // When this router learned of the change. Determines whether ChangedSince() returns it.
    Instant learned_at{0};
  };

  const Entry* Find(const std::string& digest, Instant now) const;
  void EvictEntries(Instant now);

  StrikeTableOptions options_;
  OwnsBackend owns_backend_;
  std::map<std::string, Entry> entries_;
  // Digests of the running requests, by backend server.
  std::map<std::string, std::vector<std::string>> running_;
};

}  // namespace kumquat

// Requests that were running when a backend server died.
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
  // Most digests that are kept; the oldest go first.
  std::size_t most_entries = 4096;
  // How long an entry is kept after its last change.
  Duration longest_age = std::chrono::minutes(10);
};

// A run of a request that was lost; a strike once its backend server is proven dead.
struct Strike {
  std::string backend_id;
  std::int64_t incarnation = 0;
  // The request was a suspect when it started there, so no other suspect ran beside it.
  bool is_isolated = false;
  // The request had got something of its answer there, so beginning to run it was harmless.
  bool made_progress = false;

  auto operator<=>(const Strike&) const = default;
};

// Returns the strike that the death of the backend server stands for. It came in the last of the
// runs there; one that made progress shows that to begin with the request is harmless.
Strike StrikeFor(std::string_view backend_id, std::int64_t incarnation,
                 std::span<const Strike> lost_runs);

// What is known of one request, as routers tell each other. Ages travel instead of moments, as
// clocks differ.
struct StrikeEntry {
  // Strong hash of the organisation and the whole request.
  std::string digest;
  // Sorted. None when a success cleared the request.
  std::vector<Strike> strikes;
  // Counts the successes that cleared it. A higher count replaces a lower one, equal counts join
  // their strikes.
  std::int64_t cleared = 0;
  // Time since the last change.
  Duration age{0};

  bool operator==(const StrikeEntry&) const = default;
};

enum class RequestStanding {
  kClean,
  // It was running when one backend server died: it runs alone among suspects.
  kSuspect,
  // It is refused for good: two different backend servers died before it got anything of its
  // answer, one of them while it was a suspect, or four died, one of them while it was a suspect.
  // Otherwise requests that ran beside a poison request, or on engines that something else killed,
  // would be condemned. Poison acts alike on every engine: what got tokens from one that died later
  // isn't of the kind that kills as it begins.
  kCondemned,
};

// Counts strikes by the request's digest. Entries merge between routers in any order and any
// number of times with the same result.
class StrikeTable {
 public:
  // Tells whether this router is the one that may place suspects on the backend server; one
  // router for each backend server, so that two routers' suspects never meet. Where a router owns
  // none of those that could take its suspect, the hook should let it place anywhere: a rare
  // meeting is better than a bystander that never runs.
  using OwnsBackend = std::function<bool(const std::string& backend_id)>;

  explicit StrikeTable(StrikeTableOptions options = {}, OwnsBackend owns_backend = {});

  RequestStanding StandingOf(const std::string& digest, Instant now) const;

  // Notes that the backend server died while the request ran on it. Returns the new standing.
  RequestStanding AddStrike(const std::string& digest, const Strike& strike, Instant now);

  // The request was answered whole: it kills no backend server.
  void OnSuccess(const std::string& digest, Instant now);

  // Returns whether the request was struck on the backend server.
  bool WasStruckOn(const std::string& digest, const std::string& backend_id, Instant now) const;

  // Returns whether the request may be placed on the backend server: always when it is clean,
  // never when it is condemned; a suspect only where this router owns the placing of suspects, no
  // other suspect runs, and it was not struck before.
  bool MayPlace(const std::string& digest, const std::string& backend_id, Instant now) const;

  // Returns whether no suspect is noted to run on the backend server.
  bool IsFreeOfSuspects(const std::string& backend_id, Instant now) const;

  // Notes where a request runs, and that it runs no more.
  void OnStarted(const std::string& digest, const std::string& backend_id);
  void OnStopped(const std::string& digest, const std::string& backend_id);

  // Takes in what another router knows; true when it changed anything here.
  bool Merge(const StrikeEntry& entry, Instant now);

  // Returns the entries that changed at or after the moment, to be told to other routers.
  std::vector<StrikeEntry> ChangedSince(Instant moment, Instant now) const;

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    std::vector<Strike> strikes;
    std::int64_t cleared = 0;
    // When it changed for all, by the ages told; bounds its life.
    Instant changed_at{0};
    // When this router learned of the change; bounds what is told again.
    Instant learned_at{0};
  };

  const Entry* Find(const std::string& digest, Instant now) const;
  void Bound(Instant now);

  StrikeTableOptions options_;
  OwnsBackend owns_backend_;
  std::map<std::string, Entry> entries_;
  // What runs now: backend server to digests.
  std::map<std::string, std::vector<std::string>> running_;
};

}  // namespace kumquat

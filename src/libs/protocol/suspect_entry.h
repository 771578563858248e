// What processes tell each other of requests, and parts of prompts, that may crash the backend
// servers which run them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "utils/hooks.h"

namespace kumquat {

// A whole request, its whole run or a part of its prompt.
struct Suspect {
  // Strong hash that identifies it.
  std::string digest;
  // How specific it is: the index of a part in its prompt, kRequestDepth for a request.
  std::int64_t depth = 0;

  bool operator==(const Suspect&) const = default;
};

inline constexpr std::int64_t kRequestDepth = 1'000'000;

// A crash of one incarnation of a backend server. Messages carry ages instead of points in time,
// because the clocks of processes differ.
struct CrashSighting {
  // Identifies the incarnation, and which of its crashes it is for the suspect: the same in every
  // process that saw as many.
  std::uint64_t crash = 0;
  // Time since a run was lost with it.
  Duration age{0};

  bool operator==(const CrashSighting&) const = default;
};

// What is known of one suspect.
struct SuspectEntry {
  Suspect suspect;
  // The crashes with which runs of the suspect were lost, ordered by their id.
  std::vector<CrashSighting> crashes;
  // Time since a backend server last survived running it; nullopt if that hasn't been seen.
  std::optional<Duration> cleared_age;

  bool operator==(const SuspectEntry&) const = default;
};

// How far a trial has got. Of two reports of one trial the later state holds.
enum class TrialState {
  // A router has a request that it may send once no other trial goes first.
  kAnnounced,
  kSent,
  // The run has ended or was given up, and no crash is known.
  kEnded,
  // The run was lost with a crash of its server.
  kCrashed,
  // The request was never sent, or its server confirmed that it hasn't run.
  kWithdrawn,
};

// A request that is sent to find out whether its suspects crash the server that runs it.
struct SuspectTrial {
  std::uint64_t id = 0;
  std::vector<Suspect> suspects;
  TrialState state = TrialState::kAnnounced;
  // Time since the router last announced it; counts while it is announced.
  Duration announced_age{0};
  // Time since it was sent, once it was.
  std::optional<Duration> sent_age;
  // The server incarnation that crashed, as CrashId() gives it, and the time since; set if it did.
  std::uint64_t server = 0;
  std::optional<Duration> crashed_age;

  bool operator==(const SuspectTrial&) const = default;
};

// A crash of a server that had runs, whatever these were.
struct ServerCrash {
  // The incarnation, as CrashId() gives it.
  std::uint64_t server = 0;
  Duration age{0};

  bool operator==(const ServerCrash&) const = default;
};

}  // namespace kumquat

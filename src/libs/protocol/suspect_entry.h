// What processes tell each other of requests that may crash the backend servers which run them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "utils/hooks.h"

namespace kumquat {

// The crash of one incarnation of a backend server. Messages carry ages instead of points in time,
// because the clocks of processes differ.
struct CrashSighting {
  // Identifies the incarnation, the same in every process.
  std::uint64_t crash = 0;
  // Time since a run was lost with it.
  Duration age{0};

  bool operator==(const CrashSighting&) const = default;
};

// What is known of one suspect.
struct SuspectEntry {
  // Strong hash that identifies the suspect.
  std::string digest;
  // The crashes with which runs of the suspect were lost, ordered by their id.
  std::vector<CrashSighting> crashes;
  // Time since a backend server last survived running it; nullopt if that hasn't been seen.
  std::optional<Duration> cleared_age;

  bool operator==(const SuspectEntry&) const = default;
};

}  // namespace kumquat

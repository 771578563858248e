// What the request state machines know of backend servers.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>

namespace kumquat {

// A backend server chosen for one attempt.
struct BackendChoice {
  std::string backend_id;
  std::int64_t incarnation = 0;

  bool operator==(const BackendChoice&) const = default;
};

// Chooses a backend server for the next attempt, other than those in `avoid` where another can
// serve; nothing when none can. The hook also says no to places that the strike table forbids.
using ChooseBackend =
    std::function<std::optional<BackendChoice>(std::span<const BackendChoice> avoid)>;

// Returns whether the backend server is known to have died in this incarnation, or to have come
// back with a newer one.
using IsBackendDead = std::function<bool(const BackendChoice& backend)>;

}  // namespace kumquat

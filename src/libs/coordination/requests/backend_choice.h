// How the request state machines refer to backend servers and query them.
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

// Chooses a backend server for the next attempt. Those in `avoid` are used only when no other can
// serve. Returns nothing when none can serve. Backend servers that the strike table forbids for the
// request must not be returned.
using ChooseBackend =
    std::function<std::optional<BackendChoice>(std::span<const BackendChoice> avoid)>;

// Returns whether the backend server is known to have died in this incarnation, or to have
// restarted with a newer one.
using IsBackendDead = std::function<bool(const BackendChoice& backend)>;

}  // namespace kumquat

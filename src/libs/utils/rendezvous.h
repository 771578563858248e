// Rendezvous (highest random weight) hashing: every instance that knows the same names picks the
// same ones for a key, and a name that comes or goes moves only its own keys.
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat {

// Returns the `count` names (fewer when there are fewer) with the highest weight for the key,
// highest first. The order of `names` doesn't matter.
std::vector<std::string> RendezvousTop(std::string_view key, std::span<const std::string> names,
                                       std::size_t count);

}  // namespace kumquat

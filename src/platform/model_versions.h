// The weights that a backend server says it has.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "protocol/json_fields.h"

namespace kumquat::platform {

// Reads the list "models": names of models with the versions of their weights, as heartbeats and
// reports give them. Fails the fields where an item lacks one.
std::vector<std::pair<std::string, std::int64_t>> ReadModelVersions(JsonFields& fields);

}  // namespace kumquat::platform

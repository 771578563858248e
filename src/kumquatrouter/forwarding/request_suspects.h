// What of a request may crash the backend server that runs it.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "forwarding/forward_codec.h"
#include "protocol/suspect_entry.h"

namespace kumquat {

// Returns the suspects of a request of the organisation: the request itself, by its organisation,
// method, host, target and body, and the parts of its prompt but the last, by model and part.
std::vector<Suspect> SuspectsOf(const CallerRequest& request, std::string_view organisation);

}  // namespace kumquat

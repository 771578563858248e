// What of a request may crash the backend server that runs it.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "forwarding/forward_codec.h"

namespace kumquat {

// Returns the digests by which routers recognise the suspects of a request of the organisation: the
// request itself, by its organisation, method, host, target and body.
std::vector<std::string> SuspectsOf(const CallerRequest& request, std::string_view organisation);

}  // namespace kumquat

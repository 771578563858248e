// Divides the descriptors of a process between its callers and its own connections.
#pragma once

#include <cstdint>

namespace kumquat {

// Returns how many connections callers may hold. The rest is kept for files and for the links to
// control, other routers and backend servers. `max_descriptors` is what the process may have open;
// 0 for the limit that it was started with.
std::int64_t DescriptorsForCallers(std::int64_t max_descriptors);

}  // namespace kumquat

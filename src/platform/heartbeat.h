// What the users' backend servers say of themselves.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "protocol/announcement.h"

namespace kumquat::platform {

// Decodes a heartbeat of the server with this id. Nothing when it can't be read in full or names no
// server to use, with the reason in `reason`.
std::optional<Announcement> DecodeHeartbeat(std::string_view id, std::string_view body,
                                            std::string* reason);

}  // namespace kumquat::platform

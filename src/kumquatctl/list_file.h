// The files in which operators edit the two lists: TOML with the revision that an edit replaces.
#pragma once

#include <QJsonObject>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/control_messages.h"

namespace kumquat {

// Renders a list as a file that ReadListFile takes.
std::string RenderListFile(ListName list, std::int64_t revision, const QJsonObject& content);

// Reads an edit from a file. Nothing when the file can't be read, or holds unknown keys or an
// invalid list, with the reason.
std::optional<ListEdit> ReadListFile(ListName list, const std::string& path, std::string* reason);

}  // namespace kumquat

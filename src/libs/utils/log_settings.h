// The settings of a program's log.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "utils/log_writer.h"
#include "utils/settings.h"

namespace kumquat {

struct LogSettings {
  std::string level = "info";
  std::int64_t bytes_per_second = kLogBytesPerSecond;
};

// Declares log_level and log_bytes_per_second.
void AddLogSettings(SettingsReader& reader, LogSettings* settings);

// Sets up the log of this instance.
void ApplyLogSettings(std::string_view instance, const LogSettings& settings);

}  // namespace kumquat

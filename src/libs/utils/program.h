// The command line that every program shares: --help, --version, --config and --check-config.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "utils/settings.h"

namespace kumquat {

// The exit status for a wrong command line or settings file.
inline constexpr int kExitUsage = 2;

// Returns the path of the settings file that --config names.
std::string SettingsPath();

// Reads the command line and the settings file that --config names. Returns an exit status when
// the program should end now (after --help, --version, --check-config or an error, which is
// printed), nothing when it should run.
std::optional<int> StartProgram(int* argc, char*** argv, std::string_view name,
                                std::string_view version, std::string_view purpose,
                                SettingsReader& settings);

}  // namespace kumquat

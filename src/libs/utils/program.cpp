#include "utils/program.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <cstdio>

DEFINE_string(config, "", "The TOML settings file.");
DEFINE_bool(check_config, false, "Checks the settings file and ends.");

namespace kumquat {
namespace {

bool HasArgument(int argc, char** argv, std::string_view wanted) {
  for (int i = 1; i < argc; ++i) {
    if (wanted == argv[i]) return true;
  }
  return false;
}

}  // namespace

std::string SettingsPath() { return FLAGS_config; }

std::optional<int> StartProgram(int* argc, char*** argv, std::string_view name,
                                std::string_view version, std::string_view purpose,
                                SettingsReader& settings) {
  const std::string usage = fmt::format(
      "{} {}\n{}\n\nUsage: {} --config FILE [--check-config] [--help] [--version]\n\n"
      "Keys of the settings file:\n{}",
      name, version, purpose, name, settings.Help());
  if (HasArgument(*argc, *argv, "--help")) {
    fmt::print("{}", usage);
    return 0;
  }
  gflags::SetUsageMessage(usage);
  gflags::SetVersionString(std::string(version));
  gflags::ParseCommandLineFlags(argc, argv, true);
  if (FLAGS_config.empty()) {
    fmt::print(stderr, "{}: --config names no settings file.\n", name);
    return kExitUsage;
  }
  if (!settings.ReadFile(FLAGS_config)) {
    fmt::print(stderr, "{}\n", settings.last_reason());
    return kExitUsage;
  }
  if (FLAGS_check_config) {
    fmt::print("{}: the settings are valid.\n", FLAGS_config);
    return 0;
  }
  return std::nullopt;
}

}  // namespace kumquat

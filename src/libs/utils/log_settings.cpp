#include "utils/log_settings.h"

#include "utils/log.h"

namespace kumquat {

void AddLogSettings(SettingsReader& reader, LogSettings* settings) {
  reader.Add("log_level", &settings->level, "Lowest level logged: debug, info, warning or error.");
  reader.Add("log_bytes_per_second", &settings->bytes_per_second, {1000, 1'000'000'000},
             "Bytes of log lines a second; what goes beyond is left out and counted. Warnings have "
             "as much again.");
}

void ApplyLogSettings(std::string_view instance, const LogSettings& settings) {
  ConfigureLog(instance, LogLevelFromName(settings.level),
               {.bytes_per_second = settings.bytes_per_second});
}

}  // namespace kumquat

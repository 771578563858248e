// Structured logs: one line an event on standard error, as key=value pairs.
#pragma once

#include <concepts>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

namespace kumquat {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// One key=value pair of a log line. Never holds a prompt or a key.
struct LogField {
  LogField(std::string_view field_key, std::string_view field_value)
      : key(field_key), value(field_value) {}
  LogField(std::string_view field_key, const char* field_value)
      : key(field_key), value(field_value) {}
  LogField(std::string_view field_key, const std::string& field_value)
      : key(field_key), value(field_value) {}
  template <std::integral Integer>
  LogField(std::string_view field_key, Integer field_value)
      : key(field_key), value(std::to_string(field_value)) {}
  LogField(std::string_view field_key, double field_value);

  std::string_view key;
  std::string value;
};

// Sets the instance name that each line carries and the lowest level that is written.
void ConfigureLog(std::string_view instance, LogLevel lowest);

// Returns the level with this name: debug, info, warning or error; info for any other name.
LogLevel LogLevelFromName(std::string_view name);

// Writes one line: time, level, instance, event, fields.
void LogEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

}  // namespace kumquat

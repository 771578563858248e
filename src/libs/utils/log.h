// Structured logs: one line an event, as key=value pairs. Writing never waits for the reader; lines
// that find no room are left out, and how many is logged once there is room again.
#pragma once

#include <concepts>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

#include "utils/log_writer.h"

namespace kumquat {

constexpr int kStandardOutput = 1;
constexpr int kStandardError = 2;

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

// Where lines go, and how many.
struct LogOutput {
  // The file descriptor. Programs whose standard output is their answer log to standard error.
  int descriptor = kStandardOutput;
  std::int64_t bytes_per_second = kLogBytesPerSecond;
};

// Sets the instance name that each line carries and the lowest level that is written.
void ConfigureLog(std::string_view instance, LogLevel lowest, const LogOutput& output = {});

// Returns the level with this name: debug, info, warning or error; info for any other name.
LogLevel LogLevelFromName(std::string_view name);

// Writes one line: time, level, instance, event, fields.
void LogEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

}  // namespace kumquat

#include "utils/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <chrono>
#include <span>

namespace kumquat {
namespace {

struct LogState {
  std::string instance = "-";
  LogLevel lowest = LogLevel::kInfo;
  LogWriter writer = LogWriter(kStandardOutput, kLogBytesPerSecond, SteadyClock());
  // Lines that were left out since one said so.
  std::int64_t dropped = 0;
};

LogState& State() {
  static LogState state;
  return state;
}

std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

bool NeedsQuotes(std::string_view value) {
  return value.empty() || value.find_first_of(" \t\r\n\"=") != std::string_view::npos;
}

void AppendValue(std::string& line, std::string_view value) {
  if (!NeedsQuotes(value)) {
    line += value;
    return;
  }
  line += '"';
  for (const char c : value) {
    if (c == '"' || c == '\\') line += '\\';
    line += (c == '\n' || c == '\r') ? ' ' : c;
  }
  line += '"';
}

bool WriteLine(LogLevel level, std::string_view event, std::span<const LogField> fields) {
  const auto now = std::chrono::system_clock::now();
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
  std::string line = fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03d}Z level={} instance={} event={}",
                                 fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millis,
                                 LevelName(level), State().instance, event);
  for (const LogField& field : fields) {
    line += ' ';
    line += field.key;
    line += '=';
    AppendValue(line, field.value);
  }
  line += '\n';
  return State().writer.Write(line, level >= LogLevel::kWarning);
}

}  // namespace

LogField::LogField(std::string_view field_key, double field_value)
    : key(field_key), value(fmt::format("{:.3f}", field_value)) {}

void ConfigureLog(std::string_view instance, LogLevel lowest, const LogOutput& output) {
  State().instance = instance;
  State().lowest = lowest;
  State().writer = LogWriter(output.descriptor, output.bytes_per_second, SteadyClock());
}

LogLevel LogLevelFromName(std::string_view name) {
  if (name == "debug") return LogLevel::kDebug;
  if (name == "warning") return LogLevel::kWarning;
  if (name == "error") return LogLevel::kError;
  return LogLevel::kInfo;
}

void LogEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  if (level < State().lowest) return;
  if (State().dropped > 0) {
    const LogField lines("lines", State().dropped);
    if (WriteLine(LogLevel::kWarning, "log_lines_dropped", {&lines, 1})) State().dropped = 0;
  }
  if (!WriteLine(level, event, {fields.begin(), fields.size()})) ++State().dropped;
}

}  // namespace kumquat

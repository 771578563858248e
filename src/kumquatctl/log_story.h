// The story of one request, gathered from the log lines of many processes.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat {

// One line of a log, as utils/log writes it.
struct LogLine {
  // As written: UTC, such as 2026-12-04T07:30:00.123Z, so that it sorts as text.
  std::string time;
  std::string instance;
  std::string event;
  std::map<std::string, std::string> fields;
  std::string text;
};

// Returns nothing for a line of another form.
std::optional<LogLine> ParseLogLine(std::string_view text);

class LogStory {
 public:
  // Lines may come in any order and from any process; those of another form are skipped.
  void Add(std::string_view text);

  // Returns the lines that tell of the request, in the order of time: its own; what its router
  // believed when it came (the last line of each kind before it); and, while it was in progress,
  // what happened to the backend servers that it was sent to. Empty when no line names it.
  std::vector<LogLine> Tell(std::string_view request) const;

 private:
  std::vector<LogLine> lines_;
};

}  // namespace kumquat

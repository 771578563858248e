#include "log_story.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace kumquat {
namespace {

// What a router or replica believes from then on.
constexpr std::array<std::string_view, 8> kBeliefs = {
    "routing_in_force", "weights_named",   "control_connected", "control_lost",
    "lists_in_force",   "router_draining", "settings_reloaded", "log_lines_dropped"};

// Reads one value, which stands in quotes where it holds a space.
std::string TakeValue(std::string_view* rest) {
  std::string value;
  if (rest->empty() || rest->front() != '"') {
    const std::size_t end = std::min(rest->find(' '), rest->size());
    value = rest->substr(0, end);
    rest->remove_prefix(end);
    return value;
  }
  rest->remove_prefix(1);
  while (!rest->empty() && rest->front() != '"') {
    if (rest->front() == '\\' && rest->size() > 1) rest->remove_prefix(1);
    value += rest->front();
    rest->remove_prefix(1);
  }
  if (!rest->empty()) rest->remove_prefix(1);
  return value;
}

bool IsBelief(const LogLine& line) {
  return std::find(kBeliefs.begin(), kBeliefs.end(), line.event) != kBeliefs.end();
}

bool Names(const LogLine& line, std::string_view key, std::string_view value) {
  const auto found = line.fields.find(std::string(key));
  return found != line.fields.end() && found->second == value;
}

bool IsEarlier(const LogLine* left, const LogLine* right) { return left->time < right->time; }

}  // namespace

std::optional<LogLine> ParseLogLine(std::string_view text) {
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) text.remove_suffix(1);
  LogLine line;
  line.text = text;
  while (!text.empty()) {
    if (text.front() == ' ') {
      text.remove_prefix(1);
      continue;
    }
    const std::size_t equals = text.find('=');
    if (equals == std::string_view::npos) return std::nullopt;
    std::string key(text.substr(0, equals));
    text.remove_prefix(equals + 1);
    line.fields[std::move(key)] = TakeValue(&text);
  }
  line.time = line.fields["time"];
  line.instance = line.fields["instance"];
  line.event = line.fields["event"];
  if (line.time.empty() || line.event.empty()) return std::nullopt;
  return line;
}

void LogStory::Add(std::string_view text) {
  if (auto line = ParseLogLine(text)) lines_.push_back(std::move(*line));
}

std::vector<LogLine> LogStory::Tell(std::string_view request) const {
  std::vector<const LogLine*> in_order;
  in_order.reserve(lines_.size());
  for (const LogLine& line : lines_) in_order.push_back(&line);
  std::stable_sort(in_order.begin(), in_order.end(), IsEarlier);

  std::vector<const LogLine*> own;
  std::set<std::string> routers;
  std::set<std::string> backends;
  for (const LogLine* line : in_order) {
    if (!Names(*line, "request", request)) continue;
    own.push_back(line);
    routers.insert(line->instance);
    const auto backend = line->fields.find("backend");
    if (backend != line->fields.end()) backends.insert(backend->second);
  }
  if (own.empty()) return {};

  std::map<std::pair<std::string, std::string>, const LogLine*> beliefs;
  std::vector<const LogLine*> meanwhile;
  for (const LogLine* line : in_order) {
    if (line->time > own.back()->time) break;
    if (Names(*line, "request", request)) continue;
    const bool is_before = line->time < own.front()->time;
    const bool is_belief = IsBelief(*line) && routers.contains(line->instance);
    const bool tells_of_backend =
        !line->fields.contains("request") &&
        std::any_of(backends.begin(), backends.end(), [line](const std::string& backend) {
          return Names(*line, "backend", backend) || Names(*line, "engine", backend);
        });
    if (is_belief && is_before) beliefs[{line->instance, line->event}] = line;
    if (!is_before && (is_belief || tells_of_backend)) meanwhile.push_back(line);
  }
  std::vector<const LogLine*> told = std::move(own);
  for (const auto& [key, line] : beliefs) told.push_back(line);
  told.insert(told.end(), meanwhile.begin(), meanwhile.end());
  std::stable_sort(told.begin(), told.end(), IsEarlier);
  std::vector<LogLine> story;
  story.reserve(told.size());
  for (const LogLine* line : told) story.push_back(*line);
  return story;
}

}  // namespace kumquat

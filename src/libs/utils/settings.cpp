#include "utils/settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <toml.hpp>

#include "utils/durations.h"

namespace kumquat {
namespace {

constexpr SettingRange kNoRange{0, 0};

// What became of one value of the file.
using Problem = std::optional<std::string>;

struct DefaultText {
  std::string operator()(const std::string* value) const { return '"' + *value + '"'; }
  std::string operator()(const std::int64_t* value) const { return std::to_string(*value); }
  std::string operator()(const bool* value) const { return *value ? "true" : "false"; }
  std::string operator()(const double* value) const { return fmt::format("{}", *value); }
  std::string operator()(const Duration* value) const {
    return std::to_string(Milliseconds(*value));
  }
  std::string operator()(const Endpoint* value) const { return '"' + value->ToString() + '"'; }
  std::string operator()(const std::vector<Endpoint>*) const { return "[]"; }
  std::string operator()(const std::vector<NamedEndpoint>*) const { return "[]"; }
};

Problem ReadInteger(const toml::value& value, SettingRange range, std::int64_t* out) {
  if (!value.is_integer()) return "a whole number is needed";
  const std::int64_t number = value.as_integer();
  if (number < range.lowest || number > range.highest) {
    return fmt::format("{} is out of range, {} to {} is allowed", number, range.lowest,
                       range.highest);
  }
  *out = number;
  return std::nullopt;
}

// Reads a list of texts, each by `parse`, whose form `form` tells.
template <typename Item>
Problem ReadList(const toml::value& value, std::string_view form,
                 std::optional<Item> (*parse)(std::string_view), std::vector<Item>* out) {
  if (!value.is_array()) return fmt::format("a list of {} is needed", form);
  std::vector<Item> items;
  for (const toml::value& item : value.as_array()) {
    const auto parsed = item.is_string() ? parse(std::string(item.as_string().str)) : std::nullopt;
    if (!parsed) return fmt::format("each entry must be {} with an IP number", form);
    items.push_back(*parsed);
  }
  *out = std::move(items);
  return std::nullopt;
}

struct ReadValue {
  const toml::value& value;
  SettingRange range;

  Problem operator()(std::string* out) const {
    if (!value.is_string()) return "a string is needed";
    *out = value.as_string().str;
    return std::nullopt;
  }
  Problem operator()(std::int64_t* out) const { return ReadInteger(value, range, out); }
  Problem operator()(bool* out) const {
    if (!value.is_boolean()) return "true or false is needed";
    *out = value.as_boolean();
    return std::nullopt;
  }
  Problem operator()(double* out) const {
    if (!value.is_floating() && !value.is_integer()) return "a number is needed";
    const double number =
        value.is_floating() ? value.as_floating() : static_cast<double>(value.as_integer());
    if (!(number >= 0)) return "the number may not be negative";
    *out = number;
    return std::nullopt;
  }
  Problem operator()(Duration* out) const {
    std::int64_t millis = 0;
    Problem problem = ReadInteger(value, range, &millis);
    if (!problem) *out = std::chrono::milliseconds(millis);
    return problem;
  }
  Problem operator()(Endpoint* out) const {
    const auto endpoint =
        value.is_string() ? ParseEndpoint(std::string(value.as_string().str)) : std::nullopt;
    if (!endpoint) return "\"ip:port\" with an IP number is needed";
    *out = *endpoint;
    return std::nullopt;
  }
  Problem operator()(std::vector<Endpoint>* out) const {
    return ReadList(value, "\"ip:port\"", ParseEndpoint, out);
  }
  Problem operator()(std::vector<NamedEndpoint>* out) const {
    return ReadList(value, "\"name@ip:port\"", ParseNamedEndpoint, out);
  }
};

// Flattens tables into keys with dots.
void Flatten(const toml::value& table, const std::string& prefix,
             std::vector<std::pair<std::string, toml::value>>* out) {
  for (const auto& [key, value] : table.as_table()) {
    if (value.is_table()) {
      Flatten(value, prefix + key + ".", out);
    } else {
      out->emplace_back(prefix + key, value);
    }
  }
}

}  // namespace

SettingsReader& SettingsReader::AddField(std::string_view key, Target target, SettingRange range,
                                         std::string_view help) {
  Field field{std::string(key), target, range, std::string(help), {}, false};
  field.default_text = std::visit(DefaultText{}, target);
  fields_.push_back(std::move(field));
  return *this;
}

SettingsReader& SettingsReader::Add(std::string_view key, std::string* value,
                                    std::string_view help) {
  return AddField(key, value, kNoRange, help);
}

SettingsReader& SettingsReader::Add(std::string_view key, std::int64_t* value, SettingRange range,
                                    std::string_view help) {
  return AddField(key, value, range, help);
}

SettingsReader& SettingsReader::Add(std::string_view key, bool* value, std::string_view help) {
  return AddField(key, value, kNoRange, help);
}

SettingsReader& SettingsReader::Add(std::string_view key, double* value, std::string_view help) {
  return AddField(key, value, kNoRange, help);
}

SettingsReader& SettingsReader::Add(std::string_view key, Duration* value, SettingRange range_ms,
                                    std::string_view help) {
  return AddField(key, value, range_ms, help);
}

SettingsReader& SettingsReader::Add(std::string_view key, Endpoint* value, std::string_view help) {
  return AddField(key, value, kNoRange, help);
}

SettingsReader& SettingsReader::Add(std::string_view key, std::vector<Endpoint>* value,
                                    std::string_view help) {
  return AddField(key, value, kNoRange, help);
}

SettingsReader& SettingsReader::Add(std::string_view key, std::vector<NamedEndpoint>* value,
                                    std::string_view help) {
  return AddField(key, value, kNoRange, help);
}

SettingsReader& SettingsReader::Required() {
  fields_.back().required = true;
  return *this;
}

bool SettingsReader::ReadFile(const std::string& path) {
  std::vector<std::pair<std::string, toml::value>> entries;
  try {
    Flatten(toml::parse(path), "", &entries);
  } catch (const std::exception& error) {
    std::string first_line = error.what();
    first_line = first_line.substr(0, first_line.find('\n'));
    last_reason_ = fmt::format("{}: the file can't be read as TOML: {}", path, first_line);
    return false;
  }
  std::set<std::string> seen;
  for (const auto& [key, value] : entries) {
    const auto field = std::find_if(fields_.begin(), fields_.end(),
                                    [&key = key](const Field& f) { return f.key == key; });
    if (field == fields_.end()) {
      last_reason_ = fmt::format("{}: {}: there is no such key", path, key);
      return false;
    }
    if (const Problem problem = std::visit(ReadValue{value, field->range}, field->target)) {
      last_reason_ = fmt::format("{}: {}: {}", path, key, *problem);
      return false;
    }
    seen.insert(key);
  }
  for (const Field& field : fields_) {
    if (!field.required || seen.count(field.key) > 0) continue;
    last_reason_ = fmt::format("{}: {}: the key is missing", path, field.key);
    return false;
  }
  return true;
}

std::string SettingsReader::Help() const {
  std::string text;
  for (const Field& field : fields_) {
    const std::string standing = field.required ? "required" : "default " + field.default_text;
    text += fmt::format("  {} ({})\n      {}\n", field.key, standing, field.help);
  }
  return text;
}

}  // namespace kumquat

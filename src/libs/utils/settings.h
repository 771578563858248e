// Typed settings: each program declares its keys once, with default, range and help.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "utils/endpoint.h"
#include "utils/hooks.h"

namespace kumquat {

// The inclusive range of an integer setting.
struct SettingRange {
  std::int64_t lowest;
  std::int64_t highest;
};

// Declares the keys of one settings file and reads them into the caller's variables. A variable's
// value at the time of declaration is its default.
//
// A key with a dot, such as "listen.port", lies in the TOML table before the dot.
class SettingsReader {
 public:
  SettingsReader& Add(std::string_view key, std::string* value, std::string_view help);
  SettingsReader& Add(std::string_view key, std::int64_t* value, SettingRange range,
                      std::string_view help);
  SettingsReader& Add(std::string_view key, bool* value, std::string_view help);

  // A number that need not be whole, from 0 on.
  SettingsReader& Add(std::string_view key, double* value, std::string_view help);

  // A length of time that stands in the file as whole milliseconds; the key ends in "_ms".
  SettingsReader& Add(std::string_view key, Duration* value, SettingRange range_ms,
                      std::string_view help);

  // An IP number with a port.
  SettingsReader& Add(std::string_view key, Endpoint* value, std::string_view help);

  // A list of IP numbers with ports.
  SettingsReader& Add(std::string_view key, std::vector<Endpoint>* value, std::string_view help);

  // A list of "name@ip:port".
  SettingsReader& Add(std::string_view key, std::vector<NamedEndpoint>* value,
                      std::string_view help);

  // Marks the key that was added last as one that every file must give.
  SettingsReader& Required();

  // Reads the TOML file. False when it can't be read, or has an unknown key, a wrong type or a
  // value out of range; last_reason() then is one line with file, key and reason.
  bool ReadFile(const std::string& path);

  const std::string& last_reason() const { return last_reason_; }

  // Lists the keys with defaults and help, a line each.
  std::string Help() const;

 private:
  using Target = std::variant<std::string*, std::int64_t*, bool*, double*, Duration*, Endpoint*,
                              std::vector<Endpoint>*, std::vector<NamedEndpoint>*>;
  struct Field {
    std::string key;
    Target target;
    SettingRange range;
    std::string help;
    std::string default_text;
    bool required = false;
  };

  SettingsReader& AddField(std::string_view key, Target target, SettingRange range,
                           std::string_view help);

  std::vector<Field> fields_;
  std::string last_reason_;
};

}  // namespace kumquat

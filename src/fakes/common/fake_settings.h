// The settings that every fake has.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "utils/endpoint.h"
#include "utils/hooks.h"
#include "utils/log_settings.h"
#include "utils/settings.h"

namespace kumquat {

struct FakeSettings {
  std::string id;
  Endpoint listen;
  // Where routers reach this fake; the same as `listen` when the port is 0.
  Endpoint announced;
  std::string failure_domain = "a";
  // Version of its software; empty if it names none.
  std::string software_version;
  LogSettings log = {.level = "warning"};
  // Where to announce; none for a fake that is only called directly.
  std::vector<NamedEndpoint> routers;
  Duration announce_interval = std::chrono::milliseconds(500);
  // 0 takes the wall clock at the start, in milliseconds.
  std::int64_t incarnation = 0;
  // How long a leaving fake goes on announcing that, at least, before it ends.
  Duration leave_time = std::chrono::milliseconds(3000);
};

// Declares these settings.
void AddFakeSettings(SettingsReader& reader, FakeSettings* settings);

// Sets up the log, and the incarnation where the file gives none.
void ApplyFakeSettings(FakeSettings* settings);

}  // namespace kumquat

#include "common/fake_settings.h"

#include <chrono>

#include "utils/log_settings.h"

namespace kumquat {

void AddFakeSettings(SettingsReader& reader, FakeSettings* settings) {
  reader.Add("id", &settings->id, "Name of this backend server.").Required();
  reader.Add("listen", &settings->listen, "Address to serve on.").Required();
  reader.Add("announced", &settings->announced, "Address to announce, if it isn't the same.");
  reader.Add("failure_domain", &settings->failure_domain, "Failure domain.");
  reader.Add("software_version", &settings->software_version, "Version of its software.");
  AddLogSettings(reader, &settings->log);
  reader.Add("routers", &settings->routers, "Routers to announce to, the first that answers.");
  reader.Add("announce_interval_ms", &settings->announce_interval, {10, 60'000},
             "Time between announcements.");
  reader.Add("incarnation", &settings->incarnation, {0, INT64_MAX},
             "Number of this start; 0 takes the wall clock.");
  reader.Add("leave_time_ms", &settings->leave_time, {0, 600'000},
             "Least time between SIGTERM and the end.");
}

void ApplyFakeSettings(FakeSettings* settings) {
  ApplyLogSettings(settings->id, settings->log);
  if (settings->announced.port == 0) settings->announced = settings->listen;
  if (settings->incarnation != 0) return;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  settings->incarnation = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}  // namespace kumquat

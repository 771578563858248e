// fake-service: a plain booking service for tests and the demo.
#include <fmt/format.h>

#include "service/booking_server.h"
#include "transport/process_signals.h"
#include "utils/application.h"
#include "utils/program.h"

int main(int argc, char** argv) {
  kumquat::ProcessSignals::Take();
  kumquat::BookingServerSettings settings;
  kumquat::SettingsReader reader;
  AddFakeSettings(reader, &settings.fake);
  reader.Add("service", &settings.service, "Name of the service.");
  reader.Add("delay_ms", &settings.delay, {0, 1'000'000}, "Time from a run to its answer.");
  const auto status = kumquat::StartProgram(&argc, &argv, "fake-service", KUMQUAT_VERSION,
                                            "A booking service for tests and the demo.", reader);
  if (status) return *status;
  kumquat::ApplyFakeSettings(&settings.fake);
  kumquat::Application application(argc, argv);
  kumquat::BookingServer server(settings);
  if (!server.Start()) {
    fmt::print(stderr, "{}\n", server.last_reason());
    return 1;
  }
  const kumquat::ProcessSignals signals([&server](kumquat::Instant /*came*/) { server.Leave(); },
                                        [] {});
  return application.Run();
}

// kumquat-router: takes callers' requests to backend servers.
#include <random>

#include "forwarding/forward_server.h"
#include "platform/front_edge.h"
#include "router.h"
#include "router_settings.h"
#include "transport/process_signals.h"
#include "utils/application.h"
#include "utils/log.h"
#include "utils/program.h"
#include "utils/settings_watch.h"

namespace kumquat {
namespace {

constexpr char kPurpose[] = "Routes callers' requests to backend servers.";
constexpr int kExitNoAddress = 1;

// Starts the server, drains it by this hook when the process is asked to end, and tells it of
// changed settings.
template <typename Server>
int Run(Application& application, Server& server, std::function<void(Instant asked)> drain,
        std::function<void()> reload) {
  SettingsWatch settings(SettingsPath(), std::move(reload));
  const ProcessSignals signals(std::move(drain), [&] { settings.Check(); });
  if (!server.Start()) {
    LogEvent(LogLevel::kError, "start_failed", {{"reason", server.last_reason()}});
    return kExitNoAddress;
  }
  const int status = application.Run();
  LogEvent(LogLevel::kInfo, "router_stopped");
  return status;
}

// Of all settings only the control seeds may change while the router runs.
void ReloadSeeds(ForwardServer& server) {
  RouterSettings settings;
  SettingsReader reader = DeclareRouterSettings(&settings);
  if (!reader.ReadFile(SettingsPath())) {
    LogEvent(LogLevel::kError, "settings_refused", {{"reason", reader.last_reason()}});
    return;
  }
  const auto seeds = settings.ForForwarding().control_seeds;
  LogEvent(LogLevel::kInfo, "settings_reloaded", {{"control_seeds", seeds.size()}});
  server.SetControlSeeds(seeds);
}

int Main(int argc, char** argv) {
  RouterSettings settings;
  SettingsReader reader = DeclareRouterSettings(&settings);
  const auto exit_status =
      StartProgram(&argc, &argv, "kumquat-router", KUMQUAT_VERSION, kPurpose, reader);
  if (exit_status) return *exit_status;
  ApplyLogSettings(settings.instance, settings.log);

  Application application(argc, argv);
  std::mt19937_64 generator(std::random_device{}());
  const Random random = [&generator] { return generator(); };
  if (settings.forwards()) {
    ForwardServer server(settings.ForForwarding(), platform::MakeForwardCodec(), SteadyClock(),
                         random);
    return Run(
        application, server,
        [&server](Instant asked) { server.Drain(asked, [] { QCoreApplication::quit(); }); },
        [&server] { ReloadSeeds(server); });
  }
  if (settings.control.empty()) {
    LogEvent(LogLevel::kError, "start_failed",
             {{"reason", "control: the chat interface needs the control replicas"}});
    return kExitUsage;
  }
  Router router(settings, SteadyClock(), random);
  return Run(
      application, router,
      [&router](Instant /*asked*/) { router.Drain([] { QCoreApplication::quit(); }); },
      [] { LogEvent(LogLevel::kInfo, "settings_need_restart"); });
}

}  // namespace
}  // namespace kumquat

int main(int argc, char** argv) {
  kumquat::ProcessSignals::Take();
  return kumquat::Main(argc, argv);
}

// kumquat-router: takes callers' requests to backend servers.
#include <QCoreApplication>
#include <random>

#include "forwarding/forward_server.h"
#include "platform/front_edge.h"
#include "router.h"
#include "router_settings.h"
#include "transport/termination_signal.h"
#include "utils/log.h"
#include "utils/program.h"

namespace kumquat {
namespace {

constexpr char kPurpose[] = "Routes callers' requests to backend servers.";
constexpr int kExitNoAddress = 1;

// Starts the server, and drains it when the process is asked to end.
template <typename Server>
int Run(Server& server) {
  if (!server.Start()) {
    LogEvent(LogLevel::kError, "start_failed", {{"reason", server.last_reason()}});
    return kExitNoAddress;
  }
  const TerminationSignal termination([&] { server.Drain([] { QCoreApplication::quit(); }); });
  return QCoreApplication::exec();
}

int Main(int argc, char** argv) {
  RouterSettings settings;
  SettingsReader reader = DeclareRouterSettings(&settings);
  const auto exit_status =
      StartProgram(&argc, &argv, "kumquat-router", KUMQUAT_VERSION, kPurpose, reader);
  if (exit_status) return *exit_status;
  ConfigureLog(settings.instance, LogLevelFromName(settings.log_level));

  const QCoreApplication application(argc, argv);
  std::mt19937_64 generator(std::random_device{}());
  const Random random = [&generator] { return generator(); };
  if (settings.forwards()) {
    ForwardServer server(settings.ForForwarding(), platform::MakeForwardCodec(), SteadyClock(),
                         random);
    return Run(server);
  }
  if (settings.control.empty()) {
    LogEvent(LogLevel::kError, "start_failed",
             {{"reason", "control: the chat interface needs the control replicas"}});
    return kExitUsage;
  }
  Router router(settings, SteadyClock(), random);
  return Run(router);
}

}  // namespace
}  // namespace kumquat

int main(int argc, char** argv) { return kumquat::Main(argc, argv); }

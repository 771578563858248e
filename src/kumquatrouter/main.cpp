// kumquat-router: takes callers' requests to backend servers.
#include <QCoreApplication>
#include <random>

#include "router.h"
#include "router_settings.h"
#include "transport/termination_signal.h"
#include "utils/log.h"
#include "utils/program.h"

namespace {

constexpr char kPurpose[] = "Routes callers' requests to backend servers.";
constexpr int kExitNoAddress = 1;

}  // namespace

int main(int argc, char** argv) {
  kumquat::RouterSettings settings;
  kumquat::SettingsReader reader = kumquat::DeclareRouterSettings(&settings);
  const auto exit_status =
      kumquat::StartProgram(&argc, &argv, "kumquat-router", KUMQUAT_VERSION, kPurpose, reader);
  if (exit_status) return *exit_status;
  kumquat::ConfigureLog(settings.instance, kumquat::LogLevelFromName(settings.log_level));

  QCoreApplication application(argc, argv);
  std::mt19937_64 generator(std::random_device{}());
  kumquat::Router router(settings, kumquat::SteadyClock(), [&generator] { return generator(); });
  if (!router.Start()) {
    kumquat::LogEvent(kumquat::LogLevel::kError, "start_failed",
                      {{"reason", router.last_reason()}});
    return kExitNoAddress;
  }
  const kumquat::TerminationSignal termination(
      [&] { router.Drain([&application] { application.quit(); }); });
  return QCoreApplication::exec();
}

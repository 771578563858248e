#include "transport/process_signals.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <utility>

#include "utils/log.h"

namespace kumquat {
namespace {

// The handler may only use what is safe in a signal, so it writes a byte into a socket pair.
std::array<int, 2> signal_sockets = {-1, -1};

void OnSignal(int signal) {
  const int saved_errno = errno;
  const char byte = signal == SIGHUP ? 'r' : 't';
  [[maybe_unused]] const auto written = write(signal_sockets[0], &byte, sizeof(byte));
  // Someone at a terminal who doesn't want to wait interrupts it again.
  if (signal == SIGINT) std::signal(SIGINT, SIG_DFL);
  errno = saved_errno;
}

}  // namespace

ProcessSignals::ProcessSignals(std::function<void()> on_terminate,
                               std::function<void()> on_reload) {
  if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, signal_sockets.data()) != 0) return;
  notifier_ = std::make_unique<QSocketNotifier>(signal_sockets[1], QSocketNotifier::Read);
  QObject::connect(
      notifier_.get(), &QSocketNotifier::activated, notifier_.get(),
      [this, on_terminate = std::move(on_terminate), on_reload = std::move(on_reload)] {
        char byte = 0;
        if (read(signal_sockets[1], &byte, sizeof(byte)) != sizeof(byte)) return;
        const bool is_reload = byte == 'r';
        LogEvent(LogLevel::kInfo, "signal_received",
                 {{"kind", is_reload ? "reload" : "terminate"},
                  {"stopping", is_terminating_ ? "yes" : "no"}});
        if (is_reload) return on_reload();
        if (!std::exchange(is_terminating_, true)) on_terminate();
      });
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGINT, OnSignal);
  std::signal(SIGHUP, OnSignal);
  // A reader of the log or a peer that goes away must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
}

ProcessSignals::~ProcessSignals() {
  std::signal(SIGTERM, SIG_DFL);
  std::signal(SIGINT, SIG_DFL);
  std::signal(SIGHUP, SIG_DFL);
  close(signal_sockets[0]);
  close(signal_sockets[1]);
}

}  // namespace kumquat

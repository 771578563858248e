#include "transport/termination_signal.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>

namespace kumquat {
namespace {

// The handler may only use what is safe in a signal, so it writes a byte into a socket pair.
std::array<int, 2> signal_sockets = {-1, -1};

void OnSignal(int signal) {
  const int saved_errno = errno;
  const char byte = 1;
  [[maybe_unused]] const auto written = write(signal_sockets[0], &byte, sizeof(byte));
  // The next one has its default effect.
  std::signal(signal, SIG_DFL);
  errno = saved_errno;
}

}  // namespace

TerminationSignal::TerminationSignal(std::function<void()> hook) {
  if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, signal_sockets.data()) != 0) return;
  notifier_ = std::make_unique<QSocketNotifier>(signal_sockets[1], QSocketNotifier::Read);
  QObject::connect(
      notifier_.get(), &QSocketNotifier::activated, notifier_.get(), [hook = std::move(hook)] {
        char byte = 0;
        [[maybe_unused]] const auto count = read(signal_sockets[1], &byte, sizeof(byte));
        hook();
      });
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGINT, OnSignal);
}

TerminationSignal::~TerminationSignal() {
  std::signal(SIGTERM, SIG_DFL);
  std::signal(SIGINT, SIG_DFL);
  close(signal_sockets[0]);
  close(signal_sockets[1]);
}

}  // namespace kumquat

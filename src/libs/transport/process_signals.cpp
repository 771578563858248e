#include "transport/process_signals.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <utility>

#include "utils/log.h"

namespace kumquat {
namespace {

// The handler may only use what is safe in a signal: it notes what came, and writes a byte into a
// socket pair to wake the event loop. A full pair wakes it as well.
std::array<int, 2> signal_sockets = {-1, -1};
std::atomic<bool> terminate_came = false;
std::atomic<bool> reload_came = false;
static_assert(std::atomic<bool>::is_always_lock_free);

void OnSignal(int signal) {
  const int saved_errno = errno;
  (signal == SIGHUP ? reload_came : terminate_came) = true;
  const char byte = 0;
  [[maybe_unused]] const auto written = write(signal_sockets[0], &byte, sizeof(byte));
  // Someone at a terminal who doesn't want to wait interrupts it again.
  if (signal == SIGINT) std::signal(SIGINT, SIG_DFL);
  errno = saved_errno;
}

void LogSignal(const char* kind, bool is_stopping) {
  LogEvent(LogLevel::kInfo, "signal_received",
           {{"kind", kind}, {"stopping", is_stopping ? "yes" : "no"}});
}

}  // namespace

void ProcessSignals::Take() {
  if (signal_sockets[0] >= 0) return;
  constexpr int kType = SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK;
  if (socketpair(AF_UNIX, kType, 0, signal_sockets.data()) != 0) return;
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGINT, OnSignal);
  std::signal(SIGHUP, OnSignal);
  // A reader of the log or a peer that goes away must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
}

ProcessSignals::ProcessSignals(std::function<void()> on_terminate, std::function<void()> on_reload)
    : on_terminate_(std::move(on_terminate)), on_reload_(std::move(on_reload)) {
  Take();
  if (signal_sockets[1] < 0) return;
  notifier_ = std::make_unique<QSocketNotifier>(signal_sockets[1], QSocketNotifier::Read);
  QObject::connect(notifier_.get(), &QSocketNotifier::activated, notifier_.get(),
                   [this] { HandleSignals(); });
}

void ProcessSignals::HandleSignals() {
  // Emptied before the look at what came, so that a signal in between wakes the loop again.
  std::array<char, 64> bytes{};
  while (read(signal_sockets[1], bytes.data(), bytes.size()) > 0) continue;
  if (reload_came.exchange(false)) {
    LogSignal("reload", is_terminating_);
    on_reload_();
  }
  if (terminate_came.exchange(false)) {
    LogSignal("terminate", is_terminating_);
    if (!std::exchange(is_terminating_, true)) on_terminate_();
  }
}

}  // namespace kumquat

#include "transport/process_signals.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstdint>
#include <optional>
#include <utility>

#include "utils/log.h"

namespace kumquat {
namespace {

// The handler may only use what is safe in a signal: it notes what came and when, and writes a byte
// into a socket pair to wake the event loop. A full pair wakes it as well.
std::array<int, 2> signal_sockets = {-1, -1};
// When the first signal of the kind came that the loop hasn't got to, in microseconds.
constexpr std::int64_t kNone = -1;
std::atomic<std::int64_t> terminate_came = kNone;
std::atomic<std::int64_t> reload_came = kNone;
static_assert(std::atomic<std::int64_t>::is_always_lock_free);
// Made before there is a handler, which may read the clock but not make one, and never destroyed,
// as signals come to the very end of the process.
const Clock& signal_clock = *new Clock(SteadyClock());

void OnSignal(int signal) {
  const int saved_errno = errno;
  std::int64_t expected = kNone;
  (signal == SIGHUP ? reload_came : terminate_came)
      .compare_exchange_strong(expected, signal_clock().count());
  const char byte = 0;
  [[maybe_unused]] const auto written = write(signal_sockets[0], &byte, sizeof(byte));
  // Someone at a terminal who doesn't want to wait interrupts it again.
  if (signal == SIGINT) std::signal(SIGINT, SIG_DFL);
  errno = saved_errno;
}

// Returns when the signal came that is noted there, if there is one, and takes the note away.
std::optional<Instant> TakeNote(std::atomic<std::int64_t>& came) {
  const std::int64_t micros = came.exchange(kNone);
  return micros == kNone ? std::nullopt : std::optional(Instant(micros));
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

ProcessSignals::ProcessSignals(std::function<void(Instant came)> on_terminate,
                               std::function<void()> on_reload)
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
  if (const auto came = TakeNote(reload_came)) {
    Log("reload", *came);
    on_reload_();
  }
  if (const auto came = TakeNote(terminate_came)) {
    Log("terminate", *came);
    if (!std::exchange(is_terminating_, true)) on_terminate_(*came);
  }
}

void ProcessSignals::Log(std::string_view kind, Instant came) const {
  const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(signal_clock() - came);
  LogEvent(LogLevel::kInfo, "signal_received",
           {{"kind", kind},
            {"stopping", is_terminating_ ? "yes" : "no"},
            {"handled_after_ms", late.count()}});
}

}  // namespace kumquat

#include "common/termination.h"

#include <fcntl.h>
#include <unistd.h>

#include <QSocketNotifier>
#include <csignal>
#include <utility>

namespace kumquat {
namespace {

int& WriteEnd() {
  static int descriptor = -1;
  return descriptor;
}

void HandleSignal(int) {
  const char byte = 0;
  // A full pipe already holds a signal.
  [[maybe_unused]] const auto written = write(WriteEnd(), &byte, 1);
}

}  // namespace

void OnTermination(QObject* context, std::function<void()> hook) {
  int ends[2];
  if (pipe2(ends, O_CLOEXEC | O_NONBLOCK) != 0) return;
  WriteEnd() = ends[1];
  auto* notifier = new QSocketNotifier(ends[0], QSocketNotifier::Read, context);
  QObject::connect(notifier, &QSocketNotifier::activated, context,
                   [read_end = ends[0], hook = std::move(hook)] {
                     char byte = 0;
                     while (read(read_end, &byte, 1) == 1) {
                     }
                     hook();
                   });
  std::signal(SIGTERM, HandleSignal);
  std::signal(SIGINT, HandleSignal);
}

}  // namespace kumquat

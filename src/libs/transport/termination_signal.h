// Takes SIGTERM and SIGINT into the event loop.
#pragma once

#include <QSocketNotifier>
#include <functional>
#include <memory>

namespace kumquat {

// Runs the hook in the event loop at the first SIGTERM or SIGINT; a second one ends the process at
// once. One object a process.
class TerminationSignal {
 public:
  explicit TerminationSignal(std::function<void()> hook);
  ~TerminationSignal();
  TerminationSignal(const TerminationSignal&) = delete;
  TerminationSignal& operator=(const TerminationSignal&) = delete;

 private:
  std::unique_ptr<QSocketNotifier> notifier_;
};

}  // namespace kumquat

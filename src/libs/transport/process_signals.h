// Takes the signals that a process is steered by into the event loop.
#pragma once

#include <QSocketNotifier>
#include <functional>
#include <memory>

namespace kumquat {

// Runs the hooks in the event loop: at the first SIGTERM or SIGINT, and at SIGHUP. Signals of one
// kind that come before the loop gets to them count as one. A second SIGINT ends the process at
// once; another SIGTERM has no effect. One object a process.
class ProcessSignals {
 public:
  ProcessSignals(std::function<void()> on_terminate, std::function<void()> on_reload);
  ~ProcessSignals();
  ProcessSignals(const ProcessSignals&) = delete;
  ProcessSignals& operator=(const ProcessSignals&) = delete;

 private:
  void HandleSignals();

  std::function<void()> on_terminate_;
  std::function<void()> on_reload_;
  std::unique_ptr<QSocketNotifier> notifier_;
  bool is_terminating_ = false;
};

}  // namespace kumquat

// Takes the signals that a process is steered by into the event loop.
#pragma once

#include <QSocketNotifier>
#include <functional>
#include <memory>
#include <string_view>

#include "utils/hooks.h"

namespace kumquat {

// Runs the hooks in the event loop: at the first SIGTERM or SIGINT, and at SIGHUP. Signals of one
// kind that come before the loop gets to them count as one, which came with the first. A second
// SIGINT ends the process at once; another SIGTERM has no effect. One object a process.
class ProcessSignals {
 public:
  // Takes the signals from here to the end of the process, so that none ends it by the signal's
  // default action, neither while it starts nor in its last moments. What comes before there is an
  // object with an event loop waits for it. A program calls this first of all; more calls do
  // nothing.
  static void Take();

  // Takes the signals if that hasn't been done. `on_terminate` is told when the signal came, by
  // SteadyClock(); the loop may be busy for long before the hook runs.
  ProcessSignals(std::function<void(Instant came)> on_terminate, std::function<void()> on_reload);
  ProcessSignals(const ProcessSignals&) = delete;
  ProcessSignals& operator=(const ProcessSignals&) = delete;

 private:
  void HandleSignals();
  void Log(std::string_view kind, Instant came) const;

  std::function<void(Instant came)> on_terminate_;
  std::function<void()> on_reload_;
  std::unique_ptr<QSocketNotifier> notifier_;
  bool is_terminating_ = false;
};

}  // namespace kumquat

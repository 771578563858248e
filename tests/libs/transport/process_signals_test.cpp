// Signals that a process is steered by, each case in a process of its own.
#include "transport/process_signals.h"

#include <doctest/doctest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <QCoreApplication>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <vector>

namespace kumquat {
namespace {

// What a process may take that doesn't hang, in seconds.
constexpr unsigned kLongest = 10;

// Returns the signal that ended a process which runs this; 0 if it exited.
int EndSignalOf(const std::function<void()>& run) {
  const pid_t child = fork();
  REQUIRE(child >= 0);
  if (child == 0) {
    alarm(kLongest);
    run();
    _exit(0);
  }
  int status = 0;
  REQUIRE(waitpid(child, &status, 0) == child);
  return WIFSIGNALED(status) ? WTERMSIG(status) : 0;
}

TEST_CASE("Signals that come faster than they are read don't block the process for ever") {
  constexpr int kSignals = 5000;
  CHECK(EndSignalOf([] {
          const ProcessSignals signals([](Instant /*came*/) {}, [] {});
          for (int i = 0; i < kSignals; ++i) {
            std::raise(SIGHUP);
            std::raise(SIGTERM);
          }
        }) == 0);
}

TEST_CASE("A signal in the last moments of a process doesn't end it") {
  for (const int number : {SIGTERM, SIGHUP, SIGINT}) {
    CHECK(EndSignalOf([number] {
            {
              const ProcessSignals signals([](Instant /*came*/) {}, [] {});
            }
            std::raise(number);
          }) == 0);
  }
}

TEST_CASE("A signal before there is an event loop doesn't end the process") {
  for (const int number : {SIGTERM, SIGHUP, SIGINT}) {
    CHECK(EndSignalOf([number] {
            ProcessSignals::Take();
            std::raise(number);
          }) == 0);
  }
  CHECK(EndSignalOf([] {
          ProcessSignals::Take();
          std::raise(SIGINT);
          std::raise(SIGINT);
        }) == SIGINT);
}

TEST_CASE("The hook is told when the first signal came, however late the loop gets to it") {
  constexpr Duration kBusy = std::chrono::milliseconds(300);
  CHECK(EndSignalOf([kBusy] {
          std::vector<Instant> told;
          const ProcessSignals signals([&told](Instant came) { told.push_back(came); }, [] {});
          const Clock clock = SteadyClock();
          const Instant before = clock();
          std::raise(SIGTERM);
          const Instant after = clock();
          while (clock() < before + kBusy) continue;
          std::raise(SIGTERM);
          while (told.empty()) QCoreApplication::processEvents();
          const bool is_first = told.front() >= before && told.front() <= after;
          if (!is_first || told.size() != 1) std::abort();
        }) == 0);
}

}  // namespace
}  // namespace kumquat

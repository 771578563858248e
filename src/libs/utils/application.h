// The event loop of a program, from its start to an end that waits for nothing.
#pragma once

#include <QCoreApplication>

namespace kumquat {

// Owns Qt's application object, and destroys in time what was put off for a later turn of the
// event loop: calls that ended inside their own hooks, sockets, functions that were still to run.
// QCoreApplication would destroy them while it holds the lock that their destructors may need. Each
// program has one, declared before all that uses the event loop.
class Application {
 public:
  // The arguments must outlive the object, as Qt refers to them.
  Application(int& argc, char** argv);
  Application(const Application&) = delete;
  Application& operator=(const Application&) = delete;

  // Destroys what the program's objects put off while they were destroyed.
  ~Application();

  // Runs the event loop until QCoreApplication::quit() or exit() and returns its status. What was
  // still put off by then is destroyed and never run, while the program's objects still live.
  int Run();

 private:
  QCoreApplication application_;
};

}  // namespace kumquat

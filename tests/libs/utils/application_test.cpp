// The end of a program's event loop. Each case has an Application of its own.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "utils/application.h"

#include <doctest/doctest.h>

#include <QTimer>
#include <memory>

#include "utils/deadline_timer.h"

namespace kumquat {
namespace {

constexpr Duration kLong = std::chrono::hours(1);

// Something that needs the event loop for its own destruction, as a connection does.
class NeedsLoop {
 public:
  explicit NeedsLoop(int* destroyed) {
    QObject::connect(object_.get(), &QObject::destroyed, [destroyed] { ++*destroyed; });
  }
  NeedsLoop(const NeedsLoop&) = delete;
  NeedsLoop& operator=(const NeedsLoop&) = delete;
  ~NeedsLoop() { object_.release()->deleteLater(); }

 private:
  std::unique_ptr<QObject> object_ = std::make_unique<QObject>();
};

// Puts such a thing off once it is destroyed itself.
class PutsOff {
 public:
  explicit PutsOff(int* destroyed) : destroyed_(destroyed) {}
  PutsOff(const PutsOff&) = delete;
  PutsOff& operator=(const PutsOff&) = delete;
  ~PutsOff() {
    QTimer::singleShot(0, [kept = std::make_shared<NeedsLoop>(destroyed_)] {});
  }

 private:
  int* destroyed_;
};

struct Program {
  int argc = 1;
  char name[5] = "test";
  char* argv[2] = {name, nullptr};
};

TEST_CASE("What was put off in the last turn of the loop is destroyed, and the end doesn't hang") {
  Program program;
  int destroyed = 0;
  bool has_run = false;
  {
    Application application(program.argc, program.argv);
    QTimer::singleShot(0, [&] {
      QTimer::singleShot(
          0, [&has_run, kept = std::make_shared<NeedsLoop>(&destroyed)] { has_run = true; });
      QCoreApplication::exit(3);
    });
    CHECK(application.Run() == 3);
    CHECK(destroyed == 1);
  }
  CHECK(destroyed == 1);
  // It could use what is gone by then.
  CHECK(!has_run);
}

TEST_CASE("A function that waits for a later time is destroyed with the loop, and doesn't leak") {
  Program program;
  int destroyed = 0;
  {
    Application application(program.argc, program.argv);
    RunAt(SteadyClock()() + kLong, SteadyClock(),
          [kept = std::make_shared<NeedsLoop>(&destroyed)] {});
    QTimer::singleShot(0, [] { QCoreApplication::quit(); });
    CHECK(application.Run() == 0);
    CHECK(destroyed == 1);
  }
  CHECK(destroyed == 1);
}

TEST_CASE("What destructors put off after the loop, or without a loop, is destroyed at the end") {
  Program program;
  int destroyed = 0;
  bool runs = false;
  SUBCASE("after the loop") { runs = true; }
  SUBCASE("a start that failed"){} {
    Application application(program.argc, program.argv);
    if (runs) {
      QTimer::singleShot(0, [] { QCoreApplication::quit(); });
      CHECK(application.Run() == 0);
    }
    QTimer::singleShot(0, [owner = std::make_shared<PutsOff>(&destroyed)] {});
  }
  CHECK(destroyed == 1);
}

}  // namespace
}  // namespace kumquat

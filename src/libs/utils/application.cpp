#include "utils/application.h"

#include <malloc.h>

#include <QAbstractEventDispatcher>
#include <QEvent>
#include <QPointer>
#include <vector>

namespace kumquat {
namespace {

// What is destroyed may put off more: a function its call, that call its connection's notifiers.
// Such chains are short, and a longer one mustn't keep the program from its end.
constexpr int kPasses = 16;
// A block from this size on is given back to the system when it is freed. The library would raise
// the size with each such block, and then keep what a rush of large requests took.
constexpr int kReturnedBlockBytes = 256 * 1024;

// Functions with a delay belong to the dispatcher, which has no other children that are timers.
void DestroyDelayedFunctions() {
  const QAbstractEventDispatcher* dispatcher = QAbstractEventDispatcher::instance();
  if (!dispatcher) return;
  std::vector<QPointer<QObject>> timers;
  for (QObject* child : dispatcher->findChildren<QObject*>(Qt::FindDirectChildrenOnly)) {
    if (child->inherits("QSingleShotTimer")) timers.emplace_back(child);
  }
  for (const QPointer<QObject>& timer : timers) delete timer.data();
}

// Runs nothing, since what would run may start new work or use what is gone.
void DestroyPutOff() {
  for (int pass = 0; pass < kPasses; ++pass) {
    DestroyDelayedFunctions();
    // Unlike the end of QCoreApplication this destroys the functions without holding the lock.
    QCoreApplication::removePostedEvents(nullptr, QEvent::MetaCall);
    QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
  }
}

}  // namespace

Application::Application(int& argc, char** argv) : application_(argc, argv) {
  mallopt(M_MMAP_THRESHOLD, kReturnedBlockBytes);
}

Application::~Application() { DestroyPutOff(); }

int Application::Run() {
  const int status = QCoreApplication::exec();
  DestroyPutOff();
  return status;
}

}  // namespace kumquat

// Runs the event loop in tests.
#pragma once

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QTimer>
#include <chrono>
#include <functional>

namespace kumquat {

// Handles events until the condition holds; returns whether it came to hold within the time.
inline bool RunUntil(const std::function<bool()>& condition, std::chrono::milliseconds longest) {
  QElapsedTimer timer;
  timer.start();
  // Conditions that no event goes with are looked at this often.
  QTimer wake;
  wake.start(std::chrono::milliseconds(5));
  while (!condition()) {
    if (timer.elapsed() > longest.count()) return false;
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
  }
  return true;
}

}  // namespace kumquat

// Notices that a settings file has changed, with or without a signal.
#pragma once

#include <QByteArray>
#include <QTimer>
#include <functional>
#include <string>

namespace kumquat {

class SettingsWatch {
 public:
  // Looks at the file from time to time; the hook runs when its bytes are others than before.
  SettingsWatch(std::string path, std::function<void()> on_changed);

  // Looks at once.
  void Check();

 private:
  std::string path_;
  std::function<void()> on_changed_;
  QByteArray seen_;
  QTimer timer_;
};

}  // namespace kumquat

#include "utils/settings_watch.h"

#include <QFile>
#include <utility>

namespace kumquat {
namespace {

// Files are small, and reading one costs less than a request.
constexpr std::chrono::milliseconds kCheckInterval{1000};

QByteArray Read(const std::string& path) {
  QFile file(QString::fromStdString(path));
  return file.open(QIODevice::ReadOnly) ? file.readAll() : QByteArray();
}

}  // namespace

SettingsWatch::SettingsWatch(std::string path, std::function<void()> on_changed)
    : path_(std::move(path)), on_changed_(std::move(on_changed)), seen_(Read(path_)) {
  QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { Check(); });
  timer_.start(kCheckInterval);
}

void SettingsWatch::Check() {
  const QByteArray now = Read(path_);
  // A file that can't be read at the moment says nothing.
  if (now.isEmpty() || now == seen_) return;
  seen_ = now;
  on_changed_();
}

}  // namespace kumquat

// The body of a call, in a form that Qt's client can't send twice.
#pragma once

#include <QIODevice>
#include <algorithm>
#include <cstring>
#include <string>
#include <utility>

namespace kumquat::Internal {

// A sequential device can't be rewound, so a request that has begun can't be sent again: Qt's
// client gives up with ContentReSendError where it would otherwise resend without a word.
class UploadDevice : public QIODevice {
 public:
  explicit UploadDevice(std::string body) : body_(std::move(body)) {
    open(QIODevice::ReadOnly | QIODevice::Unbuffered);
  }

  bool isSequential() const override { return true; }
  bool seek(qint64) override { return false; }
  bool reset() override { return false; }
  bool atEnd() const override { return position_ == body_.size(); }
  qint64 bytesAvailable() const override {
    return static_cast<qint64>(body_.size() - position_) + QIODevice::bytesAvailable();
  }

 protected:
  qint64 readData(char* data, qint64 max_size) override {
    if (atEnd()) return -1;
    const std::size_t size = std::min(body_.size() - position_, static_cast<std::size_t>(max_size));
    std::memcpy(data, body_.data() + position_, size);
    position_ += size;
    return static_cast<qint64>(size);
  }
  qint64 writeData(const char*, qint64) override { return -1; }

 private:
  std::string body_;
  std::size_t position_ = 0;
};

}  // namespace kumquat::Internal

// A byte relay between two processes that can misbehave by command.
#pragma once

#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>
#include <memory>
#include <vector>

#include "utils/endpoint.h"

namespace kumquat {

class Relay : public QTcpServer {
 public:
  explicit Relay(Endpoint target) : target_(std::move(target)) { listen(QHostAddress::LocalHost); }

  Endpoint endpoint() const { return {"127.0.0.1", serverPort()}; }

  // Closes every connection, in the middle of whatever it carries.
  void Cut() {
    for (const auto& pair : std::exchange(pairs_, {})) CutPair(*pair);
  }

  // Closes the newest connection once so many more bytes of answers have passed on it.
  void CutAfter(qint64 bytes) { cut_after_ = bytes; }

  // Passes nothing on and keeps the connections open; new ones are accepted and silent as well.
  void Freeze(bool frozen) {
    frozen_ = frozen;
    if (frozen) return;
    for (const auto& pair : pairs_) Pump(*pair);
  }

  // Lets the connections of this moment go silent for good, while new ones work.
  void SilenceOpen() {
    for (const auto& pair : pairs_) pair->silent = true;
  }

  std::size_t connections() const { return pairs_.size(); }

 protected:
  void incomingConnection(qintptr descriptor) override {
    auto pair = std::make_shared<Pair>();
    pair->near = new QTcpSocket(this);
    pair->far = new QTcpSocket(this);
    pair->near->setSocketDescriptor(descriptor);
    pair->far->connectToHost(QString::fromStdString(target_.ip), target_.port);
    for (QTcpSocket* socket : {pair->near.data(), pair->far.data()}) {
      connect(socket, &QTcpSocket::readyRead, this, [this, pair] { Pump(*pair); });
      connect(socket, &QTcpSocket::disconnected, this, [this, pair] { Close(pair); });
    }
    connect(pair->far, &QTcpSocket::connected, this, [this, pair] { Pump(*pair); });
    connect(pair->far, &QTcpSocket::errorOccurred, this, [this, pair] { Close(pair); });
    pairs_.push_back(pair);
  }

 private:
  struct Pair {
    QPointer<QTcpSocket> near;
    QPointer<QTcpSocket> far;
    bool silent = false;
  };

  void Pump(Pair& pair) {
    if (frozen_ || pair.silent || !pair.near || !pair.far) return;
    if (pair.far->state() != QTcpSocket::ConnectedState) return;
    pair.far->write(pair.near->readAll());
    QByteArray answer = pair.far->readAll();
    const bool cut = cut_after_ >= 0 && answer.size() >= cut_after_;
    if (cut) answer.truncate(cut_after_);
    if (cut_after_ >= 0) cut_after_ -= answer.size();
    pair.near->write(answer);
    if (!cut) return;
    cut_after_ = -1;
    pair.near->flush();
    CutPair(pair);
  }

  void Close(const std::shared_ptr<Pair>& pair) {
    if (pair->silent || frozen_) return;
    Pump(*pair);
    for (QTcpSocket* socket : {pair->near.data(), pair->far.data()}) {
      if (socket) socket->disconnectFromHost();
    }
    std::erase(pairs_, pair);
  }

  void CutPair(Pair& pair) {
    for (QTcpSocket* socket : {pair.near.data(), pair.far.data()}) {
      if (!socket) continue;
      socket->disconnect();
      socket->abort();
      socket->deleteLater();
    }
  }

  Endpoint target_;
  std::vector<std::shared_ptr<Pair>> pairs_;
  bool frozen_ = false;
  qint64 cut_after_ = -1;
};

}  // namespace kumquat

// A relay of bytes between a client and a server, whose connections can be frozen.
#pragma once

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>

namespace kumquat {

// Forwards each accepted connection to a port of the loopback address. Freeze() makes the present
// connections pass nothing more, without closing them; new ones work.
class ByteRelay {
 public:
  explicit ByteRelay(std::uint16_t target_port) : target_port_(target_port) {
    server_.listen(QHostAddress::LocalHost);
    QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this] { Accept(); });
  }

  std::uint16_t port() const { return server_.serverPort(); }
  int accepted() const { return accepted_; }
  void Freeze() { frozen_up_to_ = accepted_; }

  // While it is cut, new connections are frozen, too.
  void SetCut(bool cut) {
    cut_ = cut;
    if (cut) Freeze();
  }

 private:
  void Accept() {
    QTcpSocket* near = server_.nextPendingConnection();
    auto* far = new QTcpSocket(near);
    const int number = ++accepted_;
    if (cut_) Freeze();
    QObject::connect(far, &QTcpSocket::connected, near, [=, this] { Pass(number, near, far); });
    QObject::connect(near, &QTcpSocket::readyRead, near, [=, this] { Pass(number, near, far); });
    QObject::connect(far, &QTcpSocket::readyRead, near, [=, this] { Pass(number, far, near); });
    far->connectToHost(QHostAddress(QHostAddress::LocalHost), target_port_);
  }

  void Pass(int number, QTcpSocket* from, QTcpSocket* to) const {
    if (number <= frozen_up_to_ || to->state() != QAbstractSocket::ConnectedState) return;
    to->write(from->readAll());
  }

  QTcpServer server_;
  std::uint16_t target_port_;
  int accepted_ = 0;
  int frozen_up_to_ = 0;
  bool cut_ = false;
};

}  // namespace kumquat

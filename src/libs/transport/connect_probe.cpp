#include "transport/connect_probe.h"

#include <QHostAddress>
#include <QTcpSocket>
#include <QTimer>
#include <utility>

#include "utils/deadline_timer.h"

namespace kumquat {
namespace {

class TcpConnectProbe : public ConnectProbe {
 public:
  TcpConnectProbe(const Endpoint& endpoint, Duration timeout,
                  std::function<void(ConnectProbeResult)> on_result)
      : on_result_(std::move(on_result)) {
    QObject::connect(&socket_, &QTcpSocket::connected, &socket_,
                     [this] { Finish(ConnectProbeResult::kConnected); });
    QObject::connect(&socket_, &QTcpSocket::errorOccurred, &socket_,
                     [this](QAbstractSocket::SocketError error) {
                       const bool refused = error == QAbstractSocket::ConnectionRefusedError;
                       Finish(refused ? ConnectProbeResult::kRefused : ConnectProbeResult::kSilent);
                     });
    timer_.OnReached([this] { Finish(ConnectProbeResult::kSilent); });
    timer_.StartAfter(timeout);
    socket_.connectToHost(QHostAddress(QString::fromStdString(endpoint.ip)), endpoint.port);
  }

  ~TcpConnectProbe() override { socket_.disconnect(); }

 private:
  void Finish(ConnectProbeResult result) {
    if (!on_result_) return;
    timer_.Stop();
    // Deferred, so that the hook may destroy this probe and never runs before the start returns.
    QTimer::singleShot(0, &socket_, [hook = std::exchange(on_result_, nullptr), result] {
      const auto kept = hook;
      kept(result);
    });
  }

  std::function<void(ConnectProbeResult)> on_result_;
  QTcpSocket socket_;
  DeadlineTimer timer_;
};

}  // namespace

std::unique_ptr<ConnectProbe> StartConnectProbe(const Endpoint& endpoint, Duration timeout,
                                                std::function<void(ConnectProbeResult)> on_result) {
  return std::make_unique<TcpConnectProbe>(endpoint, timeout, std::move(on_result));
}

}  // namespace kumquat

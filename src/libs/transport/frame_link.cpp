#include "transport/frame_link.h"

#include <utility>

#include "transport/frame_socket.h"
#include "utils/durations.h"

namespace kumquat {
namespace Internal {
namespace {

constexpr int kChecksPerHeartbeat = 4;

std::chrono::milliseconds ToMillis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

class TcpFrameLink : public FrameLink {
 public:
  TcpFrameLink(Endpoint endpoint, OnFrame on_frame, Random random, const FrameLimits& limits)
      : endpoint_(std::move(endpoint)),
        on_frame_(std::move(on_frame)),
        random_(std::move(random)),
        limits_(limits) {
    retry_.setSingleShot(true);
    QObject::connect(&retry_, &QTimer::timeout, &retry_, [this] { OpenCandidate(); });
    QObject::connect(&check_, &QTimer::timeout, &check_, [this] { Check(); });
    check_.start(ToMillis(limits.heartbeat_interval) / kChecksPerHeartbeat);
    retry_.start(std::chrono::milliseconds(0));
  }

  ~TcpFrameLink() override {
    if (candidate_) candidate_->Close();
    if (current_) current_->Close();
  }

  bool Send(FrameKind kind, std::string_view payload) override {
    return connected_ && current_->Send(kind, payload);
  }

  bool connected() const override { return connected_; }
  ConnectOutcome last_outcome() const override { return last_outcome_; }

  std::int64_t bytes_transferred() const override {
    std::int64_t bytes = closed_bytes_;
    if (current_) bytes += current_->bytes_transferred();
    if (candidate_) bytes += candidate_->bytes_transferred();
    return bytes;
  }

  void OnConnectedChanged(std::function<void(bool connected)> hook) override {
    on_connected_changed_ = std::move(hook);
  }

 private:
  using Socket = std::shared_ptr<FrameSocket>;

  // Opens a connection that is to become the current one once the peer speaks on it.
  void OpenCandidate() {
    if (candidate_) return;
    // The hooks tell by this number which socket calls.
    const std::int64_t number = ++last_number_;
    FrameSocket::Hooks hooks;
    hooks.on_frame = [this, number](FrameKind kind, std::string_view payload) {
      Received(number, kind, payload);
    };
    hooks.on_closed = [this, number](QAbstractSocket::SocketError error) { Closed(number, error); };
    candidate_ = FrameSocket::Make(std::make_unique<QTcpSocket>(), limits_, std::move(hooks));
    candidate_number_ = number;
    candidate_->ConnectTo(endpoint_);
  }

  void Received(std::int64_t number, FrameKind kind, std::string_view payload) {
    if (number == candidate_number_ && candidate_) PromoteCandidate();
    if (number == current_number_ && !connected_) {
      // An old connection that speaks again needs no new one beside it.
      DropCandidate();
      retry_.stop();
      SetConnected(true);
    }
    if (kind != FrameKind::kHeartbeat) on_frame_(kind, payload);
  }

  void PromoteCandidate() {
    Release(current_);
    // Whoever waits for an answer on the old connection learns that it is gone.
    SetConnected(false);
    current_ = std::exchange(candidate_, nullptr);
    current_number_ = candidate_number_;
    last_outcome_ = ConnectOutcome::kConnected;
    failures_ = 0;
  }

  void Closed(std::int64_t number, QAbstractSocket::SocketError error) {
    if (number == candidate_number_ && candidate_) {
      const bool refused = error == QAbstractSocket::ConnectionRefusedError;
      CandidateFailed(refused ? ConnectOutcome::kRefused : ConnectOutcome::kSilent);
      return;
    }
    if (number != current_number_) return;
    Release(current_);
    if (!candidate_) Retry();
    SetConnected(false);
  }

  void CandidateFailed(ConnectOutcome outcome) {
    DropCandidate();
    last_outcome_ = outcome;
    ++failures_;
    Retry();
  }

  // Full jitter keeps the links of many processes from connecting in step.
  void Retry() {
    const Duration longest =
        DoubledPause(limits_.reconnect_shortest, limits_.reconnect_longest, failures_);
    const auto delay = Duration(
        static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(longest.count() + 1)));
    retry_.start(ToMillis(delay));
  }

  void Check() {
    if (candidate_ && candidate_->silence() > limits_.connect_timeout) {
      CandidateFailed(ConnectOutcome::kSilent);
    }
    if (!connected_ || current_->silence() <= limits_.silence_limit) return;
    OpenCandidate();
    SetConnected(false);
  }

  void SetConnected(bool connected) {
    if (connected == connected_) return;
    connected_ = connected;
    if (on_connected_changed_) on_connected_changed_(connected);
  }

  void DropCandidate() { Release(candidate_); }

  void Release(Socket& socket) {
    if (!socket) return;
    closed_bytes_ += socket->bytes_transferred();
    std::exchange(socket, nullptr)->Close();
  }

  Endpoint endpoint_;
  OnFrame on_frame_;
  Random random_;
  FrameLimits limits_;
  std::function<void(bool)> on_connected_changed_;
  Socket current_;
  Socket candidate_;
  std::int64_t current_number_ = 0;
  std::int64_t candidate_number_ = 0;
  std::int64_t last_number_ = 0;
  std::int64_t closed_bytes_ = 0;
  ConnectOutcome last_outcome_ = ConnectOutcome::kNone;
  int failures_ = 0;
  bool connected_ = false;
  QTimer retry_;
  QTimer check_;
};

}  // namespace
}  // namespace Internal

std::unique_ptr<FrameLink> MakeFrameLink(const Endpoint& endpoint, FrameLink::OnFrame on_frame,
                                         Random random, const FrameLimits& limits) {
  return std::make_unique<Internal::TcpFrameLink>(endpoint, std::move(on_frame), std::move(random),
                                                  limits);
}

}  // namespace kumquat

#include "transport/backend_client.h"

#include <QNetworkReply>
#include <QNetworkRequest>
#include <QTimer>
#include <QUrl>
#include <algorithm>
#include <array>
#include <utility>

#include "transport/manager_pool.h"
#include "transport/upload_device.h"

namespace kumquat {
namespace Internal {
namespace {

constexpr int kFirstFinalStatus = 200;
constexpr int kFirstErrorStatus = 400;

// Fields that belong to a connection and are set by the client itself.
bool IsConnectionField(std::string_view name) {
  static constexpr std::array kNames = {
      "connection", "content-length",    "host",   "keep-alive", "te",
      "trailer",    "transfer-encoding", "upgrade"};
  return std::any_of(kNames.begin(), kNames.end(),
                     [name](const char* other) { return EqualInAnyCase(name, other); });
}

QUrl UrlOf(const BackendCallRequest& request) {
  return QUrl(QString::fromStdString("http://" + request.endpoint.ToString() + request.target),
              QUrl::StrictMode);
}

// A request that only makes the manager's connection, or keeps the one it has.
QNetworkRequest ConnectRequest(const BackendCallRequest& request) {
  QNetworkRequest result(
      QUrl(QString::fromStdString("preconnect-http://" + request.endpoint.ToString() + "/")));
  result.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
  return result;
}

QNetworkRequest ToQtRequest(const BackendCallRequest& request) {
  QNetworkRequest result(UrlOf(request));
  result.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
  result.setAttribute(QNetworkRequest::HttpPipeliningAllowedAttribute, false);
  result.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
  // Nothing of one organisation's call may turn up in another's.
  result.setAttribute(QNetworkRequest::CookieLoadControlAttribute, QNetworkRequest::Manual);
  result.setAttribute(QNetworkRequest::CookieSaveControlAttribute, QNetworkRequest::Manual);
  result.setAttribute(QNetworkRequest::AuthenticationReuseAttribute, QNetworkRequest::Manual);
  result.setAttribute(QNetworkRequest::CacheLoadControlAttribute, QNetworkRequest::AlwaysNetwork);
  result.setAttribute(QNetworkRequest::CacheSaveControlAttribute, false);
  // Bytes are passed on as they come; Qt would unpack them otherwise.
  result.setRawHeader("Accept-Encoding", "identity");
  result.setRawHeader("User-Agent", "kumquatcross");
  if (!request.body.empty()) {
    result.setRawHeader("Content-Type", "application/octet-stream");
  }
  for (const auto& [name, value] : request.headers) {
    if (IsConnectionField(name)) continue;
    result.setRawHeader(QByteArray::fromStdString(name), QByteArray::fromStdString(value));
  }
  result.setRawHeader("Content-Length", QByteArray::number(request.body.size()));
  return result;
}

// Returns whether Qt reports this as an error only because of the answer's status.
bool IsStatusError(QNetworkReply::NetworkError error, int status) {
  if (status < kFirstErrorStatus) return false;
  if (error == QNetworkReply::ContentReSendError) return false;
  return (error > QNetworkReply::ProxyAuthenticationRequiredError &&
          error <= QNetworkReply::UnknownContentError) ||
         error == QNetworkReply::ProxyAuthenticationRequiredError ||
         error == QNetworkReply::ProtocolInvalidOperationError ||
         error >= QNetworkReply::InternalServerError;
}

}  // namespace

// One call from its start to its end. Every hook may destroy the call.
class CallState : public std::enable_shared_from_this<CallState> {
 public:
  CallState(BackendCallRequest request, BackendCallHooks hooks, std::shared_ptr<ManagerPool> pool)
      : request_(std::move(request)), hooks_(std::move(hooks)), pool_(std::move(pool)) {}

  // Qt reports for no request without a body whether it was sent. So the connection is made first,
  // and only then is there a request: a call that ends before that was not sent.
  void Start() {
    manager_ = request_.new_connection ? ManagerPool::MakeNew() : pool_->Take(request_.endpoint);
    timer_.setSingleShot(true);
    QObject::connect(&timer_, &QTimer::timeout, &context_, [this] { HandleTimeout(); });
    StartTimer(request_.timeouts.connect);
    reply_.reset(manager_->get(ConnectRequest(request_)));
    QObject::connect(reply_.get(), &QNetworkReply::finished, &context_,
                     [this] { HandleConnected(); });
  }

  // Closes the connection; no hook runs any more.
  void Cancel() {
    ended_ = true;
    hooks_ = {};
    timer_.stop();
    Release();
  }

 private:
  void HandleConnected() {
    const auto self = shared_from_this();
    if (reply_->error() != QNetworkReply::NoError) {
      Fail(CallFailure::kNotSent, reply_->errorString().toStdString());
      return;
    }
    ReleaseReply();
    SendRequest();
  }

  void SendRequest() {
    sending_ = true;
    const QNetworkRequest qt_request = ToQtRequest(request_);
    upload_ = std::make_unique<UploadDevice>(std::move(request_.body));
    reply_.reset(manager_->sendCustomRequest(qt_request, QByteArray::fromStdString(request_.method),
                                             upload_.get()));
    QNetworkReply* reply = reply_.get();
    QObject::connect(reply, &QNetworkReply::requestSent, &context_, [this] { HandleSent(); });
    QObject::connect(reply, &QNetworkReply::metaDataChanged, &context_, [this] { ReadHeaders(); });
    QObject::connect(reply, &QNetworkReply::readyRead, &context_, [this] { ReadData(); });
    QObject::connect(reply, &QNetworkReply::finished, &context_, [this] { HandleFinished(); });
    StartTimer(request_.timeouts.first_byte);
  }

  void StartTimer(Duration timeout) {
    timer_.start(std::chrono::duration_cast<std::chrono::milliseconds>(timeout));
  }

  void HandleSent() {
    if (!has_data_) StartTimer(request_.timeouts.first_byte);
  }

  void ReadHeaders() {
    const int status = reply_->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    if (has_headers_ || status < kFirstFinalStatus) return;
    const auto self = shared_from_this();
    has_headers_ = true;
    status_ = status;
    for (const auto& [name, value] : reply_->rawHeaderPairs()) {
      headers_.emplace_back(name.toStdString(), value.toStdString());
    }
    if (hooks_.on_headers) hooks_.on_headers(status_, headers_);
    // Qt waits for the body that the length of a HEAD answer speaks of.
    if (!ended_ && request_.method == "HEAD") FinishWhole();
  }

  void ReadData() {
    const auto self = shared_from_this();
    if (!has_headers_) ReadHeaders();
    if (ended_ || !has_headers_) return;
    const QByteArray data = reply_->readAll();
    if (data.isEmpty()) return;
    has_data_ = true;
    received_bytes_ += data.size();
    StartTimer(request_.timeouts.between_bytes);
    if (hooks_.on_data) {
      hooks_.on_data({data.data(), static_cast<std::size_t>(data.size())});
    }
  }

  void HandleFinished() {
    const auto self = shared_from_this();
    ReadData();
    if (ended_) return;
    const QNetworkReply::NetworkError error = reply_->error();
    const bool error_free = error == QNetworkReply::NoError || IsStatusError(error, status_);
    if (has_headers_ && error_free) {
      FinishWhole();
    } else {
      Fail(CallFailure::kBroken, reply_->errorString().toStdString());
    }
  }

  bool IsFramingMet(std::string* reason) const {
    if (request_.method == "HEAD" || status_ == 204 || status_ == 304) return true;
    const std::string_view length = HeaderValue(headers_, "Content-Length");
    if (!length.empty()) {
      *reason = "The answer is shorter than its Content-Length.";
      return length == std::to_string(received_bytes_);
    }
    *reason = "The answer has no length.";
    return EqualInAnyCase(HeaderValue(headers_, "Transfer-Encoding"), "chunked");
  }

  void FinishWhole() {
    std::string reason;
    if (!IsFramingMet(&reason)) {
      Fail(CallFailure::kBroken, reason);
      return;
    }
    ended_ = true;
    timer_.stop();
    const auto on_end = std::move(hooks_.on_end);
    hooks_ = {};
    const bool reusable =
        request_.method != "HEAD" && !EqualInAnyCase(HeaderValue(headers_, "Connection"), "close");
    if (reusable) {
      ReleaseReply();
      pool_->Return(request_.endpoint, std::move(manager_));
    }
    Release();
    if (on_end) on_end();
  }

  void HandleTimeout() {
    const auto self = shared_from_this();
    if (sending_) {
      Fail(CallFailure::kSilent, "The server was silent for too long.");
    } else {
      Fail(CallFailure::kNotSent, "The connection was not made in time.");
    }
  }

  void Fail(CallFailure failure, const std::string& reason) {
    ended_ = true;
    timer_.stop();
    const auto on_failure = std::move(hooks_.on_failure);
    hooks_ = {};
    Release();
    if (on_failure) on_failure(failure, reason);
  }

  // Lets go of Qt's objects, which may be on the stack.
  void Release() {
    ReleaseReply();
    if (manager_) manager_.release()->deleteLater();
  }

  void ReleaseReply() {
    if (reply_) {
      QObject::disconnect(reply_.get(), nullptr, &context_, nullptr);
      reply_->setParent(nullptr);
      if (!reply_->isFinished()) reply_->abort();
      reply_.release()->deleteLater();
    }
    if (upload_) upload_.release()->deleteLater();
  }

  BackendCallRequest request_;
  BackendCallHooks hooks_;
  std::shared_ptr<ManagerPool> pool_;
  ManagerPool::Manager manager_;
  std::unique_ptr<UploadDevice> upload_;
  std::unique_ptr<QNetworkReply> reply_;
  QObject context_;
  QTimer timer_;
  // Whether there was a connection, so that bytes of the request may have been sent.
  bool sending_ = false;
  bool has_headers_ = false;
  bool has_data_ = false;
  bool ended_ = false;
  int status_ = 0;
  HttpHeaders headers_;
  std::int64_t received_bytes_ = 0;
};

class HttpBackendCall : public BackendCall {
 public:
  explicit HttpBackendCall(std::shared_ptr<CallState> state) : state_(std::move(state)) {}
  HttpBackendCall(const HttpBackendCall&) = delete;
  HttpBackendCall& operator=(const HttpBackendCall&) = delete;
  ~HttpBackendCall() override { state_->Cancel(); }

 private:
  std::shared_ptr<CallState> state_;
};

class HttpBackendClient : public BackendClient {
 public:
  std::unique_ptr<BackendCall> Start(BackendCallRequest request, BackendCallHooks hooks) override {
    auto state = std::make_shared<CallState>(std::move(request), std::move(hooks), pool_);
    state->Start();
    return std::make_unique<HttpBackendCall>(std::move(state));
  }

 private:
  std::shared_ptr<ManagerPool> pool_ = std::make_shared<ManagerPool>();
};

}  // namespace Internal

std::string_view CallFailureName(CallFailure failure) {
  switch (failure) {
    case CallFailure::kNotSent:
      return "not_sent";
    case CallFailure::kBroken:
      return "broken";
    case CallFailure::kSilent:
      return "silent";
  }
  return "broken";
}

std::unique_ptr<BackendClient> MakeHttpBackendClient() {
  return std::make_unique<Internal::HttpBackendClient>();
}

}  // namespace kumquat

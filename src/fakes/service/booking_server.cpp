#include "service/booking_server.h"

#include <unistd.h>

#include <QCoreApplication>
#include <QJsonObject>
#include <QTimer>
#include <chrono>
#include <utility>

#include "protocol/json_fields.h"

namespace kumquat {
namespace {

constexpr std::chrono::milliseconds kLeavePollInterval{20};
// A request with the first text in its query ends the process at once, one with the second text
// after a part of the answer, one with the third after some time without any.
constexpr std::string_view kCrashText = "please-crash";
constexpr std::string_view kLateCrashText = "please-write-and-crash";
constexpr std::string_view kDelayedCrashText = "please-wait-and-crash";
constexpr std::chrono::milliseconds kTimeToSend{20};
constexpr std::chrono::milliseconds kTimeToCrash{200};

const HttpHeaders& JsonHeaders() {
  static const HttpHeaders headers = {{"Content-Type", "application/json"}};
  return headers;
}

std::chrono::milliseconds Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

}  // namespace

BookingServer::BookingServer(const BookingServerSettings& settings)
    : settings_(settings), announcer_(settings.fake, [this](Announcement* announcement) {
        announcement->kind = BackendKind::kService;
        announcement->service = settings_.service;
        announcement->operations = {{"POST", "/book", false}, {"GET", "/slots", true}};
        announcement->concurrent_requests = 100;
      }) {
  server_ = HttpServer::Builder()
                .WithHandler([this](const HttpRequest& request, const Responder& responder) {
                  Handle(request, responder);
                })
                .Build();
}

bool BookingServer::Start() {
  if (!server_->Listen(settings_.fake.listen)) return false;
  announcer_.Start();
  return true;
}

void BookingServer::Leave() {
  announcer_.Leave();
  QTimer::singleShot(Milliseconds(settings_.fake.leave_time), &leave_timer_, [this] {
    QObject::connect(&leave_timer_, &QTimer::timeout, &leave_timer_, [this] {
      if (server_->open_requests() == 0) QCoreApplication::quit();
    });
    leave_timer_.start(kLeavePollInterval);
  });
}

void BookingServer::Handle(const HttpRequest& request, const Responder& responder) {
  if (request.query.find(kCrashText) != std::string::npos) _exit(1);
  if (request.query.find(kDelayedCrashText) != std::string::npos) {
    QTimer::singleShot(kTimeToCrash, [responder] { _exit(1); });
    return;
  }
  if (request.query.find(kLateCrashText) != std::string::npos) {
    responder->StartStream(200, JsonHeaders());
    responder->Write("{");
    QTimer::singleShot(kTimeToSend, [responder] { _exit(1); });
    return;
  }
  if (request.method == "POST" && request.path == "/book") {
    Book(request, responder);
  } else if (request.method == "GET" && request.path == "/slots") {
    AnswerLater(responder, 200, R"({"slots":["08:00","09:00","10:00"]})");
  } else if (request.method == "GET" && request.path == "/stats") {
    responder->Send(200, JsonHeaders(), Stats());
  } else {
    responder->Send(404, JsonHeaders(), R"({"error":"There is no such operation."})");
  }
}

void BookingServer::Book(const HttpRequest& request, const Responder& responder) {
  ++runs_[std::string(request.Header("Idempotency-Key"))];
  ++bookings_;
  const std::string_view fault = request.Header("X-Fault");
  if (fault == "close-before-answer") {
    responder->Abort();
  } else if (fault == "hang") {
    // Kept until the caller goes away.
    responder->OnClosed([responder] {});
  } else {
    AnswerLater(responder, 201, ToJsonText({{"booking", static_cast<qint64>(bookings_)}}));
  }
}

void BookingServer::AnswerLater(const Responder& responder, int status, const std::string& body) {
  QTimer::singleShot(Milliseconds(settings_.delay), &leave_timer_,
                     [responder, status, body] { responder->Send(status, JsonHeaders(), body); });
}

std::string BookingServer::Stats() const {
  QJsonObject runs;
  for (const auto& [key, count] : runs_) runs[ToQString(key)] = static_cast<qint64>(count);
  return ToJsonText({{"bookings", static_cast<qint64>(bookings_)}, {"runs", runs}});
}

}  // namespace kumquat

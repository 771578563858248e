// A plain service that books bays. It does not know a repeated call: it counts the runs of each
// key, so that a test sees a call that ran twice.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <QTimer>

#include "common/announcer.h"
#include "common/fake_settings.h"
#include "transport/http_server.h"

namespace kumquat {

struct BookingServerSettings {
  FakeSettings fake;
  std::string service = "bookings";
  // Time between a call's run and its answer.
  Duration delay = std::chrono::milliseconds(0);
};

// Serves `POST /book` (not repeatable), `GET /slots` (repeatable) and `GET /stats`. A header
// `X-Fault: close-before-answer` or `X-Fault: hang` loses the answer after the run.
class BookingServer {
 public:
  explicit BookingServer(const BookingServerSettings& settings);

  // False when the address can't be had; last_reason() then says why.
  bool Start();

  // Announces that the service is leaving; ends the event loop when its calls have ended.
  void Leave();

  const std::string& last_reason() const { return server_->last_reason(); }

 private:
  using Responder = std::shared_ptr<HttpResponder>;

  void Handle(const HttpRequest& request, const Responder& responder);
  void Book(const HttpRequest& request, const Responder& responder);
  void AnswerLater(const Responder& responder, int status, const std::string& body);
  std::string Stats() const;

  BookingServerSettings settings_;
  std::unique_ptr<HttpServer> server_;
  Announcer announcer_;
  QTimer leave_timer_;
  std::map<std::string, std::int64_t> runs_;
  std::int64_t bookings_ = 0;
};

}  // namespace kumquat

// A stand-in for a backend server of the users' platform: announces itself to control, and answers
// requests as its protocol says, or misbehaves by command.
#pragma once

#include <QJsonArray>
#include <QTimer>
#include <memory>
#include <string>
#include <vector>

#include "process/test_caller.h"
#include "transport/http_server.h"
#include "utils/endpoint.h"

namespace kumquat {

class StandInServer {
 public:
  enum class Mode {
    kServes,
    // Runs the request and closes the connection instead of answering.
    kLosesAnswers,
    // Breaks streams off after two events.
    kBreaksStreams,
    // Keeps streamed requests in its queue and begins none.
    kHoldsStreams,
    // Answers whatever comes, control's questions as well, with bytes without end.
    kFloods,
  };

  StandInServer(std::string id, std::string service, std::vector<Endpoint> control);
  StandInServer(const StandInServer&) = delete;
  StandInServer& operator=(const StandInServer&) = delete;

  void SetMode(Mode mode) { mode_ = mode; }

  // Says from now on that it is an engine with these weights.
  void SetWeights(const std::string& model, int version);

  // Says that it is leaving from now on; returns once control has acknowledged it.
  void Leave();

  // Returns the requests that it has run; those that it holds are among them.
  const std::vector<HttpRequest>& runs() const { return runs_; }
  const std::string& id() const { return id_; }

  static constexpr int kEvents = 6;

  // Returns the whole answer to a streamed request that begins after this event.
  static std::string StreamFrom(int event);

 private:
  using Responder = std::shared_ptr<HttpResponder>;

  void Handle(const HttpRequest& request, const Responder& responder);
  HttpHeaders Head(const HttpRequest& request) const;
  void Stream(const HttpRequest& request, const Responder& responder);
  void Flood(const HttpRequest& request, const Responder& responder);
  std::unique_ptr<TestCall> Announce();

  std::string id_;
  std::string service_;
  std::vector<Endpoint> control_;
  std::size_t next_control_ = 0;
  int sequence_ = 0;
  bool is_leaving_ = false;
  Mode mode_ = Mode::kServes;
  QJsonArray models_;
  std::vector<HttpRequest> runs_;
  std::vector<Responder> open_responders_;
  QTimer flood_timer_;
  Endpoint endpoint_;
  std::unique_ptr<HttpServer> server_;
  TestCaller caller_;
  std::unique_ptr<TestCall> announcement_;
  QTimer announce_timer_;
};

}  // namespace kumquat

#include "process/forwarding/stand_in_server.h"

#include <fmt/format.h>

#include <cstdlib>
#include <sstream>
#include <utility>

#include "process/test_program.h"

namespace kumquat {
namespace {

// Far more than a route's time-out lasts for.
constexpr std::size_t kDribbledBytes = 1000;

constexpr std::chrono::milliseconds kAnnounceInterval{300};
constexpr int kEventsBeforeBreak = 2;
// Written events are sent within this time, before their connection is closed.
constexpr std::chrono::milliseconds kTimeToSend{50};
constexpr std::chrono::milliseconds kFloodInterval{5};
constexpr qint64 kFloodBytes = 1024 * 1024;
const std::string kFlood(kFloodBytes, '\n');
const std::string kEventFlood(kFloodBytes, 'x');
constexpr qint64 kStartedAtMillis = 1'790'000'000'000;

int LastEventId(const HttpRequest& request) {
  return std::atoi(std::string(request.Header("Last-Event-Id")).c_str());
}

std::string Event(int id) { return fmt::format("id: {}\ndata: piece {}\n\n", id, id); }

}  // namespace

std::string StandInServer::AskedWork::ToBody() const {
  return fmt::format("{} {} {}", length.count(), silence.count(), silent_after_event);
}

StandInServer::AskedWork StandInServer::AskedWork::FromBody(const std::string& body) {
  std::istringstream text(body);
  int length = 0;
  int silence = 0;
  AskedWork work;
  text >> length >> silence >> work.silent_after_event;
  work.length = std::chrono::milliseconds(length);
  work.silence = std::chrono::milliseconds(silence);
  return work;
}

std::chrono::milliseconds StandInServer::AskedWork::DueTime(int event) const {
  const auto evenly = (length - silence) * event / kEvents;
  return event > silent_after_event ? evenly + silence : evenly;
}

StandInServer::StandInServer(std::string id, std::string service, std::vector<Endpoint> control)
    : id_(std::move(id)),
      service_(std::move(service)),
      control_(std::move(control)),
      born_(kStartedAtMillis),
      endpoint_(FreeEndpoint()) {
  Listen();
  QObject::connect(&announce_timer_, &QTimer::timeout, &announce_timer_,
                   [this] { announcement_ = Announce(); });
  announce_timer_.start(kAnnounceInterval);
  QObject::connect(&flood_timer_, &QTimer::timeout, &flood_timer_, [this] {
    if (!is_flooding()) return;
    const std::string& flood = mode_ == Mode::kFloods ? kFlood : kEventFlood;
    for (const Responder& responder : open_responders_) {
      if (responder->pending_bytes() < kFloodBytes) responder->Write(flood);
    }
  });
}

void StandInServer::SetMode(Mode mode) {
  mode_ = mode;
  if (is_flooding()) {
    flood_timer_.start(kFloodInterval);
  } else {
    flood_timer_.stop();
  }
}

void StandInServer::Listen() {
  server_ = HttpServer::Builder()
                .WithHandler([this](const HttpRequest& request, const Responder& responder) {
                  Handle(request, responder);
                })
                .Build();
  REQUIRE(server_->Listen(endpoint_));
}

bool StandInServer::Crashes(const HttpRequest& request) const {
  if (!crash_body_.empty() && request.body == crash_body_) return true;
  const std::string parts(request.Header("Kumquatcross-Prompt-Prefix"));
  const std::string shared = parts.substr(0, parts.rfind(','));
  return !crash_part_.empty() && shared.find(crash_part_) != std::string::npos;
}

void StandInServer::CrashInAnswer(const HttpRequest& request, const Responder& responder) {
  if (crash_moment_ == CrashMoment::kBeforeAnswer) return Crash();
  HttpHeaders head = Head(request);
  head.emplace_back("Content-Type", "text/event-stream");
  responder->StartStream(200, head);
  const std::string event = Event(LastEventId(request) + 1);
  const bool is_whole = crash_moment_ == CrashMoment::kAfterFirstEvent;
  responder->Write(is_whole ? event : event.substr(0, event.size() / 2));
  open_responders_.push_back(responder);
  QTimer::singleShot(kTimeToSend, &announce_timer_, [this, born = born_] {
    if (server_ && born == born_) Crash();
  });
}

void StandInServer::Crash() {
  ++crashes_;
  announce_timer_.stop();
  open_responders_.clear();
  // The server can't be destroyed within its own handler.
  QTimer::singleShot(0, &announce_timer_, [this] { server_.reset(); });
  QTimer::singleShot(kDownTime, &announce_timer_, [this] {
    ++born_;
    sequence_ = 0;
    Listen();
    announce_timer_.start(kAnnounceInterval);
  });
}

std::string StandInServer::StreamFrom(int event) {
  std::string whole;
  for (int id = event + 1; id <= kEvents; ++id) whole += Event(id);
  return whole;
}

std::unique_ptr<TestCall> StandInServer::Announce() {
  const QJsonObject body{{"service", ToQString(service_)},
                         {"addr", ToQString(endpoint_.ToString())},
                         {"zone", "d1"},
                         {"version", "v1"},
                         {"slots", slots_},
                         {"state", is_leaving_ ? "draining" : "ready"},
                         {"coldLeftMs", 0},
                         {"born", born_},
                         {"models", models_},
                         {"seq", ++sequence_}};
  const Endpoint& control = control_[next_control_++ % control_.size()];
  return caller_.Start(control, "PUT", "/instances/" + id_, {{"Content-Type", "application/json"}},
                       ToJsonText(body));
}

void StandInServer::SetWeights(const std::string& model, int version) {
  models_ = {
      QJsonObject{{"name", ToQString(model)}, {"version", version}, {"adapters", QJsonArray()}}};
}

void StandInServer::Leave() {
  is_leaving_ = true;
  CHECK(SpinUntil([&] {
    const auto call = Announce();
    CHECK(SpinUntil([&call] { return call->done(); }));
    return call->status == 200;
  }));
}

void StandInServer::Exit() {
  announce_timer_.stop();
  announcement_.reset();
  for (const Endpoint& control : control_) {
    farewells_.push_back(caller_.Start(control, "DELETE", "/instances/" + id_));
  }
  server_.reset();
}

HttpHeaders StandInServer::Head(const HttpRequest& request) const {
  return {{"Kumquatcross-Request-Id", std::string(request.Header("Kumquatcross-Request-Id"))},
          {"Kumquatcross-Server-Stamp", "stamp." + id_}};
}

void StandInServer::Flood(const HttpRequest& request, const Responder& responder) {
  HttpHeaders head = Head(request);
  head.emplace_back("Content-Type", "text/event-stream");
  responder->StartStream(200, head);
  open_responders_.push_back(responder);
}

void StandInServer::Handle(const HttpRequest& request, const Responder& responder) {
  if (is_flooding()) return Flood(request, responder);
  if (request.Header("Kumquatcross-Expect-Instance") != id_) {
    responder->Send(421, Head(request), "");
    return;
  }
  // Requests without an id are state queries and orders of control, which it doesn't support.
  if (request.Header("Kumquatcross-Request-Id").empty()) return responder->Send(404, {}, "");
  if (mode_ == Mode::kFails) return responder->Send(500, Head(request), "failed");
  runs_.push_back(request);
  if (answer_delay_.count() == 0) return Begin(request, responder);
  QTimer::singleShot(answer_delay_, &announce_timer_, [this, request, responder, born = born_] {
    if (server_ && born == born_) Begin(request, responder);
  });
}

void StandInServer::Begin(const HttpRequest& request, const Responder& responder) {
  if (Crashes(request)) {
    crashed_by_.emplace_back(request.Header("Kumquatcross-Request-Id"));
    return CrashInAnswer(request, responder);
  }
  if (mode_ == Mode::kLosesAnswers) return responder->Abort();
  if (mode_ == Mode::kWorksAsAsked) return WorkAsAsked(request, responder);
  const bool is_stream = request.path.ends_with("/stream");
  if (is_stream && mode_ == Mode::kHoldsStreams) return open_responders_.push_back(responder);
  if (is_stream) return Stream(request, responder);
  responder->Send(200, Head(request), "ran " + request.body);
}

void StandInServer::Stream(const HttpRequest& request, const Responder& responder) {
  HttpHeaders head = Head(request);
  head.emplace_back("Content-Type", "text/event-stream");
  responder->StartStream(200, head);
  const int after = LastEventId(request);
  if (mode_ == Mode::kBreaksStreams) {
    for (int id = after + 1; id <= after + kEventsBeforeBreak; ++id) responder->Write(Event(id));
    QTimer::singleShot(kTimeToSend, [responder] { responder->Abort(); });
    return;
  }
  if (mode_ == Mode::kStreamsSlowly) {
    std::vector<std::string> events;
    for (int id = after + 1; id <= kEvents; ++id) events.push_back(Event(id));
    return WriteSlowly(std::move(events), kSlowPause, responder);
  }
  if (mode_ == Mode::kDribbles) {
    responder->Write(Event(after + 1));
    return WriteSlowly(std::vector<std::string>(kDribbledBytes, ":"), kBytePause, responder);
  }
  responder->Write(StreamFrom(after));
  responder->End();
}

void StandInServer::WorkAsAsked(const HttpRequest& request, const Responder& responder) {
  const std::string id(request.Header("Kumquatcross-Request-Id"));
  const AskedWork work = AskedWork::FromBody(request.body);
  responder->OnClosed([this, id] { EndWork(id, false); });
  if (request.path.ends_with("/stream")) {
    if (work.silent_after_event > 0) StartEvents(request, responder);
    return WriteWhenDue(request, LastEventId(request), responder);
  }
  QTimer::singleShot(work.length, Qt::PreciseTimer, &announce_timer_,
                     [this, id, head = Head(request), body = request.body, responder] {
                       responder->Send(200, head, "ran " + body);
                       EndWork(id, true);
                     });
}

void StandInServer::StartEvents(const HttpRequest& request, const Responder& responder) const {
  HttpHeaders head = Head(request);
  head.emplace_back("Content-Type", "text/event-stream");
  responder->StartStream(200, head);
}

void StandInServer::WriteWhenDue(const HttpRequest& request, int event,
                                 const Responder& responder) {
  if (event >= kEvents) {
    responder->End();
    return EndWork(std::string(request.Header("Kumquatcross-Request-Id")), true);
  }
  const AskedWork work = AskedWork::FromBody(request.body);
  const auto pause = work.DueTime(event + 1) - work.DueTime(event);
  const auto write = [this, request, work, event, responder] {
    const bool is_first = event == LastEventId(request);
    if (is_first && work.silent_after_event == 0) StartEvents(request, responder);
    responder->Write(Event(event + 1));
    WriteWhenDue(request, event + 1, responder);
  };
  QTimer::singleShot(pause, Qt::PreciseTimer, &announce_timer_, write);
}

void StandInServer::EndWork(const std::string& id, bool is_whole) const {
  if (on_work_ended_) on_work_ended_(id, is_whole);
}

void StandInServer::WriteSlowly(std::vector<std::string> pieces, std::chrono::milliseconds pause,
                                const Responder& responder) {
  if (pieces.empty()) return responder->End();
  QTimer::singleShot(pause, &announce_timer_, [this, pieces, pause, responder]() mutable {
    responder->Write(pieces.front());
    pieces.erase(pieces.begin());
    WriteSlowly(std::move(pieces), pause, responder);
  });
}

}  // namespace kumquat

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
constexpr int kLongStreamEvents = 256;
constexpr std::size_t kLongEventBytes = 32 * 1024;
constexpr qint64 kStartedAtMillis = 1'790'000'000'000;

int LastEventId(const HttpRequest& request) {
  return std::atoi(std::string(request.Header("Last-Event-Id")).c_str());
}

// The servers that act as engines, by address; moves go from one to another.
std::map<Endpoint, StandInServer*>& Engines() {
  static std::map<Endpoint, StandInServer*> engines;
  return engines;
}

void SendJson(const std::shared_ptr<HttpResponder>& responder, int status,
              const QJsonObject& json = {}) {
  responder->Send(status, {{"Content-Type", "application/json"}}, ToJsonText(json));
}

std::string Event(int id, const std::string& software = {}) {
  const std::string origin = software.empty() ? software : " of " + software;
  return fmt::format("id: {}\ndata: piece {}{}\n\n", id, id, origin);
}

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
      endpoint_(FreeEndpoint()),
      announced_(endpoint_) {
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

StandInServer::~StandInServer() { Engines().erase(announced_); }

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
  const int first = LastEventId(request) + 1;
  const std::string event = Event(first);
  const bool is_whole = crash_moment_ != CrashMoment::kInsideFirstEvent;
  responder->Write(is_whole ? event : event.substr(0, event.size() / 2));
  if (crash_moment_ == CrashMoment::kAfterThirdEvent) {
    responder->Write(Event(first + 1) + Event(first + 2));
  }
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
    QTimer::singleShot(announce_delay_, &announce_timer_, [this, born = born_] {
      if (server_ && born == born_) announce_timer_.start(kAnnounceInterval);
    });
  });
}

std::string StandInServer::StreamFrom(int event) {
  std::string whole;
  for (int id = event + 1; id <= kEvents; ++id) whole += Event(id);
  return whole;
}

const std::string& StandInServer::LongStream() {
  static const std::string whole = [] {
    std::string events;
    for (int id = 1; id <= kLongStreamEvents; ++id) {
      events += fmt::format("id: {}\ndata: {}\n\n", id, std::string(kLongEventBytes, 'x'));
    }
    return events;
  }();
  return whole;
}

std::unique_ptr<TestCall> StandInServer::Announce() {
  const QJsonObject body{{"service", ToQString(service_)},
                         {"addr", ToQString(announced_.ToString())},
                         {"zone", "d1"},
                         {"version", ToQString(software_.empty() ? std::string("v1") : software_)},
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

void StandInServer::ActAsEngine() {
  is_engine_ = true;
  Engines()[announced_] = this;
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

void StandInServer::AnnounceOnce() {
  CHECK(SpinUntil([this] {
    const auto call = Announce();
    CHECK(SpinUntil([&call] { return call->done(); }));
    return call->status == 200;
  }));
}

void StandInServer::StopAnnouncing() {
  announce_timer_.stop();
  announcement_.reset();
}

void StandInServer::Exit() {
  StopAnnouncing();
  for (const Endpoint& control : control_) {
    farewells_.push_back(caller_.Start(control, "DELETE", "/instances/" + id_));
  }
  server_.reset();
}

bool StandInServer::HandleEngineCall(const HttpRequest& request, const Responder& responder) {
  const QJsonObject json = ParseJsonObject(request.body).value_or(QJsonObject());
  if (request.path == "/report") {
    SendJson(responder, 200, Report());
  } else if (request.path == "/order") {
    TakeOrder(json, responder);
  } else if (request.path == "/kv-move") {
    MoveRun(json, responder);
  } else if (request.path.starts_with("/kv-handle/")) {
    SendJson(responder, 200);
  } else {
    return false;
  }
  return true;
}

QJsonObject StandInServer::Report() const {
  return {{"stage", "both"}, {"models", models_}, {"busy", order_.has_value()},
          {"seq", orders_},  {"queued", 0},       {"running", static_cast<int>(works_.size())},
          {"kvUsed", 0},     {"kvTotal", 1000},   {"handles", static_cast<int>(copies_.size())}};
}

void StandInServer::TakeOrder(const QJsonObject& order, const Responder& responder) {
  if (order_ || order["expected"].toInt() != orders_) return SendJson(responder, 409);
  ++orders_;
  order_ = order;
  SendJson(responder, 202);
  LoadWhenIdle();
}

// Runs go on to their end before the weights are loaded.
void StandInServer::LoadWhenIdle() {
  if (!order_ || !works_.empty()) return;
  QTimer::singleShot(kLoadTime, Qt::PreciseTimer, &announce_timer_, [this, number = orders_] {
    if (!order_ || number != orders_) return;
    SetWeights((*order_)["model"].toString().toStdString(), (*order_)["version"].toInt());
    order_.reset();
    copies_.clear();
    announcement_ = Announce();
  });
}

void StandInServer::MoveRun(const QJsonObject& move, const Responder& responder) {
  const std::string id = move["id"].toString().toStdString();
  const auto target = ParseEndpoint(move["to"].toString().toStdString());
  if (!works_.contains(id)) return SendJson(responder, 404);
  const bool stops_run = move["last"].toBool();
  if (stops_run) {
    ++stopped_runs_;
    const Responder stream = works_.at(id).responder;
    works_.erase(id);
    stream->Abort();
    LoadWhenIdle();
  }
  QTimer::singleShot(kCopyTime, Qt::PreciseTimer, &announce_timer_,
                     [this, id, target = target.value_or(Endpoint{}), stops_run, responder] {
                       FinishMove(id, target, stops_run, responder);
                     });
}

void StandInServer::FinishMove(const std::string& id, const Endpoint& target, bool stops_run,
                               const Responder& responder) {
  const QJsonObject answer{{"handle", ToQString("h-" + id)}};
  if (stops_run) copies_.insert("h-" + id);
  const auto engine = Engines().find(target);
  if (engine == Engines().end() || !engine->second->is_up()) {
    return SendJson(responder, 503, stops_run ? answer : QJsonObject());
  }
  engine->second->copies_.insert("h-" + id);
  SendJson(responder, 200, answer);
}

bool StandInServer::TakesCopy(const HttpRequest& request) {
  const std::string from(request.Header("Kv-From"));
  const std::string handle = from.substr(from.find('/') + 1);
  const bool takes = !order_ && copies_.erase(handle) > 0;
  if (!takes) ++refused_copies_;
  return takes;
}

HttpHeaders StandInServer::Head(const HttpRequest& request) const {
  return {{"Kumquatcross-Request-Id", std::string(request.Header("Kumquatcross-Request-Id"))},
          {"Kumquatcross-Server-Stamp", "stamp." + id_}};
}

std::string StandInServer::EventOf(int id) const { return Event(id, software_); }

void StandInServer::NoteArrival(const HttpRequest& request) {
  Arrival arrival;
  arrival.id = request.Header("Kumquatcross-Request-Id");
  arrival.at = std::chrono::steady_clock::now();
  const std::string left(request.Header("Kumquatcross-Deadline-Ms"));
  if (!left.empty()) arrival.time_left = std::chrono::milliseconds(std::atoi(left.c_str()));
  arrivals_.push_back(std::move(arrival));
}

void StandInServer::RefuseAsNotRun(const HttpRequest& request, const Responder& responder) const {
  HttpHeaders head = Head(request);
  head.emplace_back("Kumquatcross-Not-Run", "1");
  responder->Send(503, head, "not run");
}

void StandInServer::Flood(const HttpRequest& request, const Responder& responder) {
  HttpHeaders head = Head(request);
  head.emplace_back("Content-Type", "text/event-stream");
  responder->StartStream(200, head);
  open_responders_.push_back(responder);
}

void StandInServer::Handle(const HttpRequest& request, const Responder& responder) {
  if (is_flooding()) return Flood(request, responder);
  if (!request.Header("Kumquatcross-Request-Id").empty()) NoteArrival(request);
  if (request.Header("Kumquatcross-Expect-Instance") != id_) {
    responder->Send(421, Head(request), "");
    return;
  }
  if (is_engine_ && HandleEngineCall(request, responder)) return;
  // Requests without an id are state queries and orders of control, which it doesn't support.
  if (request.Header("Kumquatcross-Request-Id").empty()) return responder->Send(404, {}, "");
  if (mode_ == Mode::kFails) return responder->Send(500, Head(request), "failed");
  const bool has_copy = !request.Header("Kv-From").empty();
  if (is_engine_ && (has_copy ? !TakesCopy(request) : order_.has_value())) {
    return RefuseAsNotRun(request, responder);
  }
  const Fault fault = draw_fault_ ? draw_fault_(request) : Fault::kNone;
  if (fault == Fault::kRefuses) return RefuseAsNotRun(request, responder);
  arrivals_.back().has_run = true;
  arrivals_.back().continues_run = has_copy;
  (has_copy ? continued_runs_ : runs_).push_back(request);
  if (fault == Fault::kFails) return responder->Send(500, Head(request), "failed");
  if (fault == Fault::kBreaks) return responder->Abort();
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
    for (int id = after + 1; id <= after + kEventsBeforeBreak; ++id) responder->Write(EventOf(id));
    QTimer::singleShot(kTimeToSend, [responder] { responder->Abort(); });
    return;
  }
  if (mode_ == Mode::kStreamsSlowly) {
    std::vector<std::string> events;
    for (int id = after + 1; id <= kEvents; ++id) events.push_back(EventOf(id));
    return WriteSlowly(std::move(events), kSlowPause, responder);
  }
  if (mode_ == Mode::kStreamsMuch) {
    responder->Write(LongStream());
    responder->End();
    return;
  }
  if (mode_ == Mode::kDribbles) {
    responder->Write(EventOf(after + 1));
    return WriteSlowly(std::vector<std::string>(kDribbledBytes, ":"), kBytePause, responder);
  }
  responder->Write(StreamFrom(after));
  responder->End();
}

void StandInServer::WorkAsAsked(const HttpRequest& request, const Responder& responder) {
  const std::string id(request.Header("Kumquatcross-Request-Id"));
  const AskedWork work = AskedWork::FromBody(request.body);
  responder->OnClosed([this, id] { EndWork(id, false); });
  if (request.path.ends_with("/stream")) works_[id] = {responder};
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
    // The run has ended, or was moved.
    const auto run = works_.find(std::string(request.Header("Kumquatcross-Request-Id")));
    if (run == works_.end() || run->second.responder != responder) return;
    const bool is_first = event == LastEventId(request);
    if (is_first && work.silent_after_event == 0) StartEvents(request, responder);
    responder->Write(EventOf(event + 1));
    WriteWhenDue(request, event + 1, responder);
  };
  QTimer::singleShot(pause, Qt::PreciseTimer, &announce_timer_, write);
}

void StandInServer::EndWork(const std::string& id, bool is_whole) {
  works_.erase(id);
  LoadWhenIdle();
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

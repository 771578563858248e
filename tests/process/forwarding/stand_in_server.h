// Fake backend server of the users' platform: announces itself to control and answers requests by
// the platform's protocol, or fails in a way that the test selects.
#pragma once

#include <QJsonArray>
#include <QTimer>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
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
    // Records the request as run and closes the connection without an answer.
    kLosesAnswers,
    // Closes the connection of each stream after two events.
    kBreaksStreams,
    // Writes an event of each stream, pauses for kSlowPause, and so on to the end.
    kStreamsSlowly,
    // Writes the first event of each stream and then a byte of the next one each kBytePause.
    kDribbles,
    // Writes a long answer to each stream as fast as it is taken, see LongStream().
    kStreamsMuch,
    // Accepts streamed requests and never answers them, as if they were queued.
    kHoldsStreams,
    // Answers every request with status 500, without running it.
    kFails,
    // Answers every request, including those of control, with an endless stream of bytes.
    kFloods,
    // The same with a single event that never ends.
    kFloodsEvent,
    // Reads from the body of each request how long to be at work on it, see AskedWork.
    kWorksAsAsked,
  };

  // What the body of a request asks for in mode kWorksAsAsked. The events of a stream come at even
  // intervals, but for one that comes later by the silence. If that is the first one, the answer's
  // head comes with it.
  struct AskedWork {
    std::chrono::milliseconds length{0};
    std::chrono::milliseconds silence{0};
    int silent_after_event = 0;

    std::string ToBody() const;
    static AskedWork FromBody(const std::string& body);
    // Returns when the event comes, counted from the start of the stream; 0 is the start.
    std::chrono::milliseconds DueTime(int event) const;
  };

  StandInServer(std::string id, std::string service, std::vector<Endpoint> control);
  ~StandInServer();
  StandInServer(const StandInServer&) = delete;
  StandInServer& operator=(const StandInServer&) = delete;

  void SetMode(Mode mode);

  // Announces this software version from the next announcement on, and writes it into each event.
  void SetSoftware(std::string version) { software_ = std::move(version); }

  // Announces itself at this address, which has to lead to its own one. Call before ActAsEngine().
  void AnnounceAt(Endpoint endpoint) { announced_ = std::move(endpoint); }
  const Endpoint& endpoint() const { return endpoint_; }

  // Announces itself as an engine with these weights from the next announcement on.
  void SetWeights(const std::string& model, int version);

  // From now on the server acts as an engine: it answers state queries, loads weights when it is
  // ordered to, once its runs have ended, and moves runs to other such servers of this process.
  // Meanwhile it refuses what hasn't begun. Its weights are those that SetWeights() names.
  void ActAsEngine();

  static constexpr std::chrono::milliseconds kLoadTime{400};
  static constexpr std::chrono::milliseconds kCopyTime{80};

  // Returns how many runs were stopped to be moved, and how many of the sends of such runs were
  // refused.
  int stopped_runs() const { return stopped_runs_; }
  int refused_copies() const { return refused_copies_; }

  // What goes wrong with one request, beside what the mode says.
  enum class Fault {
    kNone,
    // Says that it hasn't run it.
    kRefuses,
    kFails,
    // Runs it and closes the connection without an answer.
    kBreaks,
  };
  using DrawFault = std::function<Fault(const HttpRequest& request)>;
  void SetDrawFault(DrawFault hook) { draw_fault_ = std::move(hook); }

  // A request that has come, whether it was run or not.
  struct Arrival {
    std::string id;
    std::chrono::steady_clock::time_point at;
    // The time that it has left, as its head says; nullopt if it says nothing.
    std::optional<std::chrono::milliseconds> time_left;
    bool has_run = false;
    // It goes on with a run that was accepted elsewhere.
    bool continues_run = false;
  };
  const std::vector<Arrival>& arrivals() const { return arrivals_; }

  // From now on each request with this body crashes the server: it closes all its connections and
  // refuses new ones until it starts again, as a later incarnation, after kDownTime.
  void CrashOnBody(std::string body) { crash_body_ = std::move(body); }

  // The same for each request whose prompt has this part, other than as its last one.
  void CrashOnPart(std::string part) { crash_part_ = std::move(part); }

  // How much of a stream's answer is written before a request crashes the server.
  enum class CrashMoment { kBeforeAnswer, kInsideFirstEvent, kAfterFirstEvent, kAfterThirdEvent };
  void SetCrashMoment(CrashMoment moment) { crash_moment_ = moment; }

  // From now on the server announces itself only this long after it is back from a crash.
  void AnnounceLate(std::chrono::milliseconds delay) { announce_delay_ = delay; }

  // From now on the server takes this long to answer a request, or to be crashed by one.
  void AnswerAfter(std::chrono::milliseconds delay) { answer_delay_ = delay; }

  // Crashes the server through no request's fault.
  void Crash();

  bool is_up() const { return server_ != nullptr; }
  int crashes() const { return crashes_; }

  // Returns the ids of the requests that crashed the server.
  const std::vector<std::string>& crashed_by() const { return crashed_by_; }

  // Sets a hook for the end of each request that is worked on as asked: whether its answer was
  // written as a whole, or the connection was closed before.
  using OnWorkEnded = std::function<void(const std::string& id, bool is_whole)>;
  void SetOnWorkEnded(OnWorkEnded hook) { on_work_ended_ = std::move(hook); }

  void SetSlots(int slots) { slots_ = slots; }

  // Announces itself as leaving from now on; returns once control has acknowledged it.
  void Leave();

  // The same without waiting.
  void StartLeaving() { is_leaving_ = true; }

  // Announces itself as it did before, until a replica acknowledges that; nothing more follows.
  void AnnounceOnce();

  // Announces nothing more; requests are served as before.
  void StopAnnouncing();

  // Refuses new connections from now on, while the answers in progress go on.
  void CloseListener() { server_->StopListening(); }

  std::int64_t open_requests() const { return server_ ? server_->open_requests() : 0; }

  // Ends for good: tells control, announces nothing more and closes all connections.
  void Exit();

  // Returns all requests that were accepted, including those that are never answered.
  const std::vector<HttpRequest>& runs() const { return runs_; }
  // Returns the requests that went on with a copy of a run.
  const std::vector<HttpRequest>& continued_runs() const { return continued_runs_; }
  const std::string& id() const { return id_; }

  static constexpr int kEvents = 6;
  static constexpr std::chrono::milliseconds kDownTime{400};
  static constexpr std::chrono::milliseconds kSlowPause{700};
  static constexpr std::chrono::milliseconds kBytePause{100};

  // Returns the complete body of a stream that starts after this event; 0 starts at the beginning.
  static std::string StreamFrom(int event);

  // Returns the complete body of a stream in mode kStreamsMuch: far more than the buffers of the
  // system between a server and its caller hold.
  static const std::string& LongStream();

 private:
  using Responder = std::shared_ptr<HttpResponder>;

  bool is_flooding() const { return mode_ == Mode::kFloods || mode_ == Mode::kFloodsEvent; }
  void Handle(const HttpRequest& request, const Responder& responder);
  HttpHeaders Head(const HttpRequest& request) const;
  std::string EventOf(int id) const;
  void NoteArrival(const HttpRequest& request);
  void RefuseAsNotRun(const HttpRequest& request, const Responder& responder) const;
  void Stream(const HttpRequest& request, const Responder& responder);
  // Writes the pieces with a pause before each, and then ends the answer.
  void WriteSlowly(std::vector<std::string> pieces, std::chrono::milliseconds pause,
                   const Responder& responder);
  void WorkAsAsked(const HttpRequest& request, const Responder& responder);
  void StartEvents(const HttpRequest& request, const Responder& responder) const;
  // Writes the events of the stream after this one when they are due, and then ends the answer.
  void WriteWhenDue(const HttpRequest& request, int event, const Responder& responder);
  void EndWork(const std::string& id, bool is_whole);
  // One run that is worked on as asked.
  struct Work {
    Responder responder;
  };

  // Answers state queries, orders and calls that move runs; false if the request is none of these.
  bool HandleEngineCall(const HttpRequest& request, const Responder& responder);
  QJsonObject Report() const;
  void TakeOrder(const QJsonObject& order, const Responder& responder);
  void LoadWhenIdle();
  void MoveRun(const QJsonObject& move, const Responder& responder);
  void FinishMove(const std::string& id, const Endpoint& target, bool stops_run,
                  const Responder& responder);
  // Returns whether the server can go on with the run of this request; a copy can be used once.
  bool TakesCopy(const HttpRequest& request);
  void Flood(const HttpRequest& request, const Responder& responder);
  bool Crashes(const HttpRequest& request) const;
  void Begin(const HttpRequest& request, const Responder& responder);
  void CrashInAnswer(const HttpRequest& request, const Responder& responder);
  void Listen();
  std::unique_ptr<TestCall> Announce();

  std::string id_;
  std::string service_;
  std::vector<Endpoint> control_;
  std::size_t next_control_ = 0;
  int sequence_ = 0;
  qint64 born_ = 0;
  std::string crash_body_;
  std::string crash_part_;
  int crashes_ = 0;
  std::chrono::milliseconds answer_delay_{0};
  std::chrono::milliseconds announce_delay_{0};
  std::vector<std::string> crashed_by_;
  CrashMoment crash_moment_ = CrashMoment::kBeforeAnswer;
  bool is_leaving_ = false;
  int slots_ = 4;
  OnWorkEnded on_work_ended_;
  DrawFault draw_fault_;
  std::vector<Arrival> arrivals_;
  std::string software_;
  Mode mode_ = Mode::kServes;
  QJsonArray models_;
  bool is_engine_ = false;
  // The order that is carried out, and how many were accepted.
  std::optional<QJsonObject> order_;
  int orders_ = 0;
  std::map<std::string, Work> works_;
  // Copies of runs that may go on here, or from here.
  std::set<std::string> copies_;
  int stopped_runs_ = 0;
  int refused_copies_ = 0;
  std::vector<HttpRequest> runs_;
  std::vector<HttpRequest> continued_runs_;
  std::vector<Responder> open_responders_;
  QTimer flood_timer_;
  Endpoint endpoint_;
  Endpoint announced_;
  std::unique_ptr<HttpServer> server_;
  TestCaller caller_;
  std::unique_ptr<TestCall> announcement_;
  std::vector<std::unique_ptr<TestCall>> farewells_;
  QTimer announce_timer_;
};

}  // namespace kumquat

// What servers see of all routers together while routers, replicas and servers fail: repeats, runs
// and the time that requests have left; and which software wrote the events that callers get.
// KUMQUAT_SEED selects another course of events.
#include <fmt/format.h>

#include <QElapsedTimer>
#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <random>
#include <set>

#include "libs/coordination/forwarding/repeat_arrivals.h"
#include "process/forwarding/forward_bench.h"
#include "process/relay.h"
#include "seed.h"

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using SteadyTime = std::chrono::steady_clock::time_point;
using AskedWork = StandInServer::AskedWork;
using Fault = StandInServer::Fault;

constexpr std::uint64_t kSeed = 1;
constexpr int kReplicas = 5;
constexpr int kRouters = 6;
constexpr int kEngines = 6;
constexpr int kCallers = 60;
constexpr milliseconds kCourse{30'000};
constexpr milliseconds kDeadline{5000};
constexpr milliseconds kLongDeadline{15'000};
constexpr const char* kModel = "lm";
// The attempts of the routes of ForwardBench.
constexpr int kAttempts = 3;

// What the rules name contactMs and retryWindowS, and the allowance that routers have by default.
constexpr milliseconds kContactTime{3000};
constexpr Duration kWindow = std::chrono::seconds(10);
constexpr Duration kWindowStep = milliseconds(50);
constexpr RepeatAllowance kAllowance;
// How many requests may run at more servers than their route's attempts.
constexpr int kMaxOverAttempts = 3;
// A figure of the time left counts as too long from this on, and a request as sent late.
constexpr milliseconds kLongerBy{500};
constexpr int kMaxTooLong = 20;
constexpr int kTooLongDivisor = 5;
constexpr int kMaxKeptLost = 3;
// Of fewer take-ups the share that goes on isn't judged.
constexpr int kJudgedTakeUps = 12;

enum class CallKind { kResumable, kOnceStream, kRepeatable, kOnce };

struct RouterState {
  bool is_paused = false;
  milliseconds resumes_at{0};
  // When it was killed and started, paused or resumed.
  std::vector<milliseconds> disturbed;
};

// One try of a caller.
struct SoakCall {
  std::string id;
  CallKind kind = CallKind::kOnce;
  int router = 0;
  SteadyTime sent_at;
  milliseconds sent{0};
  milliseconds deadline{0};
  bool is_kept = false;
};

struct SoakCaller {
  TestCaller client;
  int router = -1;
  bool is_kept = false;
  milliseconds next_at{0};
  SoakCall request;
  std::string body;
  // The events of a stream that the caller has, the try that brought the first of them, and the
  // software versions that wrote them.
  int events = 0;
  std::string first_id;
  std::set<std::string> versions;
  int tries = 0;
  std::unique_ptr<TestCall> call;
};

struct Engine {
  std::unique_ptr<StandInServer> server;
  // Callers reach the server through this, so that it can take requests in late.
  std::unique_ptr<Relay> relay;
  std::uint16_t port = 0;
  milliseconds frozen_until{0};
};

class RepeatSoak {
 public:
  explicit RepeatSoak(std::uint64_t seed) : generator_(seed), bench_(kReplicas, kRouters) {
    bench_.ServeByEngines(kModel);
    bench_.KeepStreamRoute("/draft/", kLongDeadline);
    bench_.PutConfiguration(++version_);
    bench_.PutWeightsVersion(kModel, weights_);
    for (int i = 0; i < kEngines; ++i) engines_.push_back(StartEngine());
    for (int i = 0; i < kRouters; ++i) bench_.WaitForStatus(i, "/again/look", 200);
    for (Engine& engine : engines_) {
      engine.server->SetDrawFault([this](const HttpRequest&) { return PickFault(); });
    }
    clock_.start();
    begin_ = std::chrono::steady_clock::now();
  }

  void Run() {
    milliseconds next{500};
    while (Now() < kCourse) {
      CHECK(SpinUntil([&] {
        Tick(true);
        return Now() >= next;
      }));
      DoNext();
      next = Now() + milliseconds(100 + Pick(600));
    }
    EndFaults();
    CHECK(SpinUntil([&] {
      Tick(false);
      return std::none_of(callers_.begin(), callers_.end(),
                          [](const SoakCaller& caller) { return caller.call != nullptr; });
    }));
    CheckEnd();
  }

 private:
  milliseconds Now() const { return milliseconds(clock_.elapsed()); }
  int Pick(int bound) { return static_cast<int>(generator_() % static_cast<unsigned>(bound)); }

  Fault PickFault() {
    const int pick = Pick(100);
    if (pick < 6) return Fault::kRefuses;
    if (pick < 10) return Fault::kFails;
    return pick < 14 ? Fault::kBreaks : Fault::kNone;
  }

  Engine StartEngine() {
    Engine engine;
    engine.server = std::make_unique<StandInServer>(fmt::format("e{}", ++last_engine_), "desk",
                                                    bench_.control());
    engine.relay = std::make_unique<Relay>(engine.server->endpoint());
    engine.port = engine.relay->endpoint().port;
    engine.server->AnnounceAt(engine.relay->endpoint());
    engine.server->SetMode(StandInServer::Mode::kWorksAsAsked);
    engine.server->SetSlots(kCallers);
    engine.server->SetSoftware(last_engine_ % 2 == 0 ? "v1" : "v2");
    engine.server->SetWeights(kModel, weights_);
    engine.server->ActAsEngine();
    return engine;
  }

  void Tick(bool sends) {
    for (int i = 0; i < kRouters; ++i) {
      if (routers_[i].is_paused && Now() >= routers_[i].resumes_at) Resume(i);
    }
    for (Engine& engine : engines_) {
      if (engine.frozen_until > milliseconds(0) && Now() >= engine.frozen_until) Thaw(engine);
      FollowServer(engine);
    }
    for (SoakCaller& caller : callers_) {
      if (caller.call && caller.call->done()) Collect(caller);
      if (!caller.call && Now() >= caller.next_at && (sends || caller.tries > 0)) Send(caller);
    }
  }

  void Send(SoakCaller& caller) {
    if (!caller.is_kept) caller.router = Pick(kRouters);
    SoakCall request;
    request.router = caller.router;
    request.is_kept = caller.is_kept;
    if (caller.tries == 0) {
      const int pick = Pick(10);
      request.kind = pick < 4   ? CallKind::kResumable
                     : pick < 6 ? CallKind::kOnceStream
                     : pick < 9 ? CallKind::kRepeatable
                                : CallKind::kOnce;
      AskedWork work;
      work.length = milliseconds(100 + Pick(request.kind == CallKind::kRepeatable ? 1500 : 3000));
      caller.body = work.ToBody();
      caller.events = 0;
      caller.first_id.clear();
      caller.versions.clear();
    } else {
      request.kind = caller.request.kind;
    }
    const bool is_stream =
        request.kind == CallKind::kResumable || request.kind == CallKind::kOnceStream;
    request.deadline = request.kind == CallKind::kOnceStream ? kLongDeadline : kDeadline;
    HttpHeaders headers = bench_.Headers(&request.id);
    headers.emplace_back("Kumquatcross-Deadline-Ms", std::to_string(request.deadline.count()));
    if (is_stream) {
      headers.emplace_back("Kumquatcross-Model", kModel);
      headers.emplace_back("Kumquatcross-Token-Count", "100,10");
      headers.emplace_back("Kumquatcross-Prompt-Prefix", fmt::format("aa:60,{:x}:40", requests_));
    }
    if (caller.events > 0) {
      headers.emplace_back("Last-Event-Id", std::to_string(caller.events));
      headers.emplace_back("Resumes", caller.first_id);
    }
    const char* path = request.kind == CallKind::kResumable    ? "/long/stream"
                       : request.kind == CallKind::kOnceStream ? "/draft/stream"
                       : request.kind == CallKind::kRepeatable ? "/again/look"
                                                               : "/once/book";
    request.sent = Now();
    request.sent_at = std::chrono::steady_clock::now();
    caller.call = caller.client.Start(bench_.router_endpoint(request.router), "POST", path, headers,
                                      caller.body);
    sent_.emplace(request.id, request);
    caller.request = std::move(request);
    ++caller.tries;
    ++requests_;
  }

  void Collect(SoakCaller& caller) {
    const auto call = std::move(caller.call);
    const SoakCall& request = caller.request;
    const bool is_served = call->ended && call->status == 200;
    ++endings_[call->ended ? std::to_string(call->status) : std::string("cut")];
    const bool is_unanswered = call->failure == CallFailure::kBroken && call->status == 0;
    if (request.is_kept && is_unanswered) unanswered_.push_back({request, Now()});
    const int events = static_cast<int>(call->events.size());
    const bool is_stream =
        request.kind == CallKind::kResumable || request.kind == CallKind::kOnceStream;
    if (request.kind == CallKind::kResumable) NoteStart(request, caller.events > 0, events > 0);
    if (is_stream && call->status == 200 && events > 0) {
      if (caller.events == 0) caller.first_id = request.id;
      caller.events += events;
      for (const std::string& event : call->events) {
        caller.versions.insert(event.substr(event.rfind(' ') + 1));
      }
      if (caller.versions.size() > 1) joined_.insert(caller.first_id);
    }
    caller.is_kept = is_served && HeaderValue(call->headers, "Connection") != "close";
    const bool may_repeat =
        request.kind == CallKind::kResumable || request.kind == CallKind::kRepeatable;
    // A caller repeats at once what it may, as those do that don't wait as they are told.
    const bool repeats = !is_served && may_repeat && caller.tries < kAttempts;
    if (!repeats) caller.tries = 0;
    caller.next_at = Now() + milliseconds(repeats ? 0 : 10 + Pick(200));
  }

  // Counts whether a stream that begins, or is taken up, brings an event from a router in touch.
  void NoteStart(const SoakCall& request, bool is_taken_up, bool brings_event) {
    if (!WasInTouch(request, Now())) return;
    Starts& starts = is_taken_up ? taken_up_ : begun_;
    ++starts.all;
    if (brings_event) ++starts.served;
    if (!brings_event) starts.without_event.push_back(request.id);
  }

  bool WasInTouch(const SoakCall& call, milliseconds until) const {
    const milliseconds from = call.sent - kContactTime;
    return !IsAnyWithin(routers_[call.router].disturbed, from, until) &&
           !IsAnyWithin(core_disturbed_, from, until);
  }

  void DoNext() {
    const int router = Pick(kRouters);
    switch (Pick(14)) {
      case 0:
      case 1:
        return Kill(router);
      case 2:
        for (int i = 0; i < kRouters; ++i) Kill(i);
        return;
      case 3:
      case 4:
      case 5:
        return Pause(router);
      case 6:
        for (int i = 0; i < kRouters / 2; ++i) Pause((router + i) % kRouters);
        return;
      case 7:
        return KillReplica(Pick(kReplicas));
      case 8:
        for (int i = 0; i < kReplicas; ++i) KillReplica(i);
        return;
      case 9:
      case 10: {
        StandInServer& server = *engines_[Pick(kEngines)].server;
        if (server.is_up()) server.Crash();
        return;
      }
      case 11:
        weights_calls_.push_back(bench_.StartWeightsVersion(Pick(kReplicas), kModel, ++weights_));
        return;
      default:
        return Freeze(engines_[Pick(kEngines)]);
    }
  }

  void Kill(int router) {
    bench_.router(router).Kill();
    bench_.router(router).Start();
    routers_[router].is_paused = false;
    routers_[router].disturbed.push_back(Now());
  }

  void Pause(int router) {
    bench_.router(router).Signal(SIGSTOP);
    routers_[router].is_paused = true;
    routers_[router].resumes_at = Now() + milliseconds(200 + Pick(1300));
    routers_[router].disturbed.push_back(Now());
  }

  void Resume(int router) {
    bench_.router(router).Signal(SIGCONT);
    routers_[router].is_paused = false;
    routers_[router].disturbed.push_back(Now());
  }

  void KillReplica(int replica) {
    bench_.replica(replica).Kill();
    bench_.replica(replica).Start();
    core_disturbed_.push_back(Now());
  }

  void Freeze(Engine& engine) {
    engine.relay->Freeze(true);
    engine.frozen_until = Now() + milliseconds(200 + Pick(1300));
  }

  void Thaw(Engine& engine) {
    engine.relay->Freeze(false);
    engine.frozen_until = milliseconds(0);
  }

  // While a server is down its address refuses connections, through the relay too.
  static void FollowServer(const Engine& engine) {
    Relay& relay = *engine.relay;
    if (engine.server->is_up() == relay.isListening()) return;
    if (!engine.server->is_up()) {
      relay.close();
      relay.Cut();
    } else {
      CHECK(relay.listen(QHostAddress::LocalHost, engine.port));
    }
  }

  void EndFaults() {
    for (int i = 0; i < kRouters; ++i) {
      if (routers_[i].is_paused) Resume(i);
    }
    for (Engine& engine : engines_) Thaw(engine);
  }

  struct ArrivalAt {
    StandInServer::Arrival arrival;
    std::string engine;
  };

  // Returns all arrivals of requests that callers sent in this course, by id, in order of time.
  std::map<std::string, std::vector<ArrivalAt>> ArrivalsById() const {
    std::map<std::string, std::vector<ArrivalAt>> by_id;
    for (const Engine& engine : engines_) {
      for (const auto& arrival : engine.server->arrivals()) {
        if (sent_.contains(arrival.id)) by_id[arrival.id].push_back({arrival, engine.server->id()});
      }
    }
    for (auto& [id, arrivals] : by_id) {
      std::stable_sort(
          arrivals.begin(), arrivals.end(),
          [](const ArrivalAt& a, const ArrivalAt& b) { return a.arrival.at < b.arrival.at; });
    }
    return by_id;
  }

  Instant SinceBegin(SteadyTime at) const {
    return std::chrono::duration_cast<Instant>(at - begin_);
  }

  void CheckRepeats(const std::map<std::string, std::vector<ArrivalAt>>& by_id) const {
    std::vector<Instant> requests;
    std::vector<Instant> repeats;
    for (const auto& [id, call] : sent_) requests.push_back(SinceBegin(call.sent_at));
    for (const auto& [id, arrivals] : by_id) {
      for (std::size_t i = 1; i < arrivals.size(); ++i) {
        if (arrivals[i].arrival.continues_run) continue;
        repeats.push_back(SinceBegin(arrivals[i].arrival.at));
      }
    }
    std::sort(requests.begin(), requests.end());
    std::sort(repeats.begin(), repeats.end());
    RepeatArrivals counted(kAllowance, kWindow, kWindowStep);
    for (const Instant at : requests) counted.OnRequest(at);
    for (const Instant at : repeats) counted.OnRepeat(at);
    const double excess = counted.WorstExcess(Instant(0), Instant(Now()));
    MESSAGE(fmt::format("repeats: {} of {} requests, worst window {:.1f} over the allowance",
                        repeats.size(), requests.size(), excess));
    CHECK(excess <= 0);
  }

  // A server that crashed meanwhile counts all the same, which is stricter than the rule.
  void CheckRuns(const std::map<std::string, std::vector<ArrivalAt>>& by_id) const {
    int over_attempts = 0;
    for (const auto& [request_id, arrivals] : by_id) {
      const std::string& id = request_id;
      const auto runs = std::count_if(arrivals.begin(), arrivals.end(), [](const ArrivalAt& one) {
        return one.arrival.has_run && !one.arrival.continues_run;
      });
      const CallKind kind = sent_.at(id).kind;
      const bool is_once = kind == CallKind::kOnce || kind == CallKind::kOnceStream;
      CAPTURE(id);
      if (is_once) CHECK(runs <= 1);
      if (runs > kAttempts) ++over_attempts;
    }
    MESSAGE(fmt::format("repeats: {} requests ran more often than allowed", over_attempts));
    CHECK(over_attempts <= kMaxOverAttempts);
  }

  void CheckTimeLeft(const std::map<std::string, std::vector<ArrivalAt>>& by_id) const {
    int too_long = 0;
    int late_repeats = 0;
    milliseconds worst{0};
    for (const auto& [id, arrivals] : by_id) {
      const SoakCall& call = sent_.at(id);
      const bool is_stream =
          call.kind == CallKind::kResumable || call.kind == CallKind::kOnceStream;
      const auto end_of = [&](const ArrivalAt& one) {
        return SinceBegin(one.arrival.at) + one.arrival.time_left.value_or(kLongDeadline);
      };
      const Instant own_end = SinceBegin(call.sent_at) + call.deadline;
      for (const ArrivalAt& one : arrivals) {
        const bool is_longer =
            one.arrival.time_left.value_or(kLongDeadline) > call.deadline + kLongerBy;
        const bool is_late = one.arrival.at > arrivals.front().arrival.at + kLongerBy;
        const Instant bound = std::max(own_end, end_of(arrivals.front())) + kLongerBy;
        const bool ends_late = is_late && end_of(one) > bound;
        if (is_late) ++late_repeats;
        if (is_late) {
          worst = std::max(worst, std::chrono::duration_cast<milliseconds>(end_of(one) - bound));
        }
        if (!is_longer && !ends_late) continue;
        ++too_long;
        MESSAGE(fmt::format(
            "repeats: {}{} has {} ms left of {} at {}, {} ms after it was sent", id,
            is_stream ? " (stream)" : "", one.arrival.time_left->count(), call.deadline.count(),
            one.engine,
            std::chrono::duration_cast<milliseconds>(one.arrival.at - call.sent_at).count()));
      }
    }
    MESSAGE(
        fmt::format("repeats: {} late, {} with more time than is left", late_repeats, too_long));
    CHECK((too_long <= kMaxTooLong || too_long * kTooLongDivisor <= late_repeats));
  }

  void CheckKept(const std::map<std::string, std::vector<ArrivalAt>>& by_id) const {
    int lost = 0;
    for (const auto& [call, ended] : unanswered_) {
      const auto arrivals = by_id.find(call.id);
      const bool has_run = arrivals != by_id.end() &&
                           std::any_of(arrivals->second.begin(), arrivals->second.end(),
                                       [](const ArrivalAt& one) { return one.arrival.has_run; });
      if (!has_run || !WasInTouch(call, ended)) continue;
      ++lost;
      MESSAGE(fmt::format("repeats: {} of r{} has no answer on a kept connection", call.id,
                          call.router + 1));
    }
    CHECK(lost <= kMaxKeptLost);
  }

  // Returns whether one of the moments lies in the span.
  static bool IsAnyWithin(const std::vector<milliseconds>& moments, milliseconds from,
                          milliseconds to) {
    return std::any_of(moments.begin(), moments.end(),
                       [&](milliseconds moment) { return moment >= from && moment <= to; });
  }

  void CheckEnd() const {
    const auto by_id = ArrivalsById();
    for (const auto& [ending, count] : endings_) {
      MESSAGE(fmt::format("repeats: {} ended with {}", count, ending));
    }
    int moved = 0;
    for (const Engine& engine : engines_) moved += engine.server->stopped_runs();
    MESSAGE(fmt::format("repeats: {} runs moved", moved));
    CheckRepeats(by_id);
    CheckRuns(by_id);
    CheckTimeLeft(by_id);
    CheckKept(by_id);
    CheckVersions();
  }

  void CheckVersions() const {
    MESSAGE(fmt::format(
        "repeats: {} streams joined; in touch {} of {} begun and {} of {} taken up brought events",
        joined_.size(), begun_.served, begun_.all, taken_up_.served, taken_up_.all));
    for (const std::string& id : joined_) MESSAGE(fmt::format("repeats: {} is joined", id));
    MESSAGE(fmt::format("repeats: taken up without an event: {}",
                        fmt::join(taken_up_.without_event, " ")));
    CHECK(joined_.empty());
    const bool is_judged = taken_up_.all >= kJudgedTakeUps;
    if (is_judged) CHECK(2 * taken_up_.served * begun_.all >= begun_.served * taken_up_.all);
  }

  std::mt19937_64 generator_;
  QElapsedTimer clock_;
  SteadyTime begin_;
  ForwardBench bench_;
  std::vector<Engine> engines_;
  int last_engine_ = 0;
  int version_ = 1;
  int weights_ = 1;
  std::vector<std::unique_ptr<TestCall>> weights_calls_;
  std::array<SoakCaller, kCallers> callers_;
  std::array<RouterState, kRouters> routers_;
  std::vector<milliseconds> core_disturbed_;
  std::map<std::string, SoakCall> sent_;
  // Calls on kept connections that ended without an answer, and when.
  std::vector<std::pair<SoakCall, milliseconds>> unanswered_;
  std::map<std::string, int> endings_;
  // The first tries of streams that hold events of several software versions.
  std::set<std::string> joined_;
  struct Starts {
    int all = 0;
    int served = 0;
    std::vector<std::string> without_event;
  };
  Starts begun_;
  Starts taken_up_;
  int requests_ = 0;
};

TEST_CASE(
    "Repeats, runs, the time left and software versions keep to the rules while processes fail") {
  RepeatSoak(TestSeed(kSeed)).Run();
}

}  // namespace
}  // namespace kumquat

// Routers that stop, read changed settings and see control restart while long streams run.
// KUMQUAT_SEED selects another course of events.
#include <fmt/format.h>

#include <QElapsedTimer>
#include <algorithm>
#include <array>
#include <map>
#include <numeric>
#include <random>
#include <set>

#include "process/forwarding/forward_bench.h"
#include "seed.h"

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using AskedWork = StandInServer::AskedWork;

constexpr std::uint64_t kSeed = 1;
constexpr int kReplicas = 5;
constexpr int kRouters = 6;
constexpr int kRunners = 6;
constexpr int kCallers = 60;
constexpr milliseconds kCourse{36'000};
// Replicas are killed only after this, so that what is cut before has no such excuse.
constexpr milliseconds kKillsFrom{30'000};
constexpr milliseconds kTimeout{15'000};
constexpr const char* kModel = "lm";

// What the rules name graceS, contactMs, configMs and lostSlackMs.
constexpr milliseconds kGrace{8000};
constexpr milliseconds kContactTime{3000};
constexpr milliseconds kConfigTime{2000};
constexpr milliseconds kLostSlack{200};
// A stop and a configuration count as planned work for this much longer.
constexpr milliseconds kPlannedMargin{1000};
// A request that is sent this soon after SIGTERM may be cut if it still runs in the last sixth.
constexpr milliseconds kEarlyInStop{3000};
constexpr milliseconds kLastSixth = kGrace * 5 / 6;
constexpr int kMaxKeptLost = 3;
constexpr int kCutRatioBesideConfiguration = 3;

// The load balancer asks this often, and takes a router out after so many misses.
constexpr milliseconds kReadyInterval{1000};
constexpr int kMisses = 2;

// A program gets no signal before it has surely set its handlers.
constexpr milliseconds kStartOfHandlers{200};

// Longest time that a replica may take to end; then it is killed.
constexpr milliseconds kReplicaEnd{5000};

enum class CallKind { kDraft, kResumable, kOnce };

struct SoakRequest {
  std::string id;
  CallKind kind = CallKind::kDraft;
  AskedWork work;
  int router = 0;
  // Whether the connection had been used before, as far as its caller knows.
  bool is_kept = false;
  milliseconds sent_at{0};
  milliseconds done_at{0};
  // Whether the answer's head came.
  bool has_head = false;
  bool was_sent = false;
};

struct SoakCaller {
  TestCaller client;
  int router = -1;
  bool is_kept = false;
  milliseconds next_at{0};
  SoakRequest request;
  std::unique_ptr<TestCall> call;
};

struct RouterState {
  std::vector<milliseconds> stops;
  std::vector<milliseconds> reloads;
  std::vector<milliseconds> starts;
  bool is_stopping = false;
  bool is_up = true;
  milliseconds start_at{0};
  // When its settings change while it starts, if they do.
  std::optional<milliseconds> reload_at;
  std::unique_ptr<TestCall> ready_check;
  milliseconds next_check{0};
  int misses = 0;

  bool in_rotation() const { return misses < kMisses; }
};

struct ReplicaState {
  bool is_stopping = false;
  milliseconds stopped_at{0};
};

struct Configuration {
  int version = 0;
  milliseconds idle_timeout{0};
  milliseconds sent_at{0};
  std::optional<milliseconds> acknowledged_at = std::nullopt;
  std::unique_ptr<TestCall> call = nullptr;
};

struct Runner {
  std::unique_ptr<StandInServer> server;
  bool is_leaving = false;
  milliseconds exits_from{0};
};

struct WorkEnd {
  milliseconds at{0};
  bool is_whole = false;
};

// By the words of the rule: why a request without a whole answer isn't counted as lost, or that it
// is, and beside which planned work.
enum class Ending {
  kNotSent,
  kCrossedClose,
  kBesideKill,
  kDeadline,
  kEndOfGrace,
  kNoPlannedWork,
  kLostAtStop,
  kLostAtReload,
  kLostAtConfiguration,
};

constexpr std::array kEndingNames = {
    "not sent",        "crossed the close", "beside a killed replica",
    "deadline",        "end of the grace",  "no planned work",
    "LOST at SIGTERM", "LOST at SIGHUP",    "at configuration"};

std::string Seconds(milliseconds time) {
  return fmt::format("{:.2f}", static_cast<double>(time.count()) / 1000);
}

class StopSoak {
 public:
  explicit StopSoak(std::uint64_t seed) : generator_(seed), bench_(kReplicas, kRouters) {
    bench_.KeepStreamRoute("/draft/", kTimeout);
    bench_.PutConfiguration(++version_);
    for (int i = 0; i < kRunners; ++i) runners_.push_back({StartRunner(), false, {}});
    for (int i = 0; i < kRouters; ++i) bench_.WaitForStatus(i, "/once/look", 200);
    clock_.start();
  }

  void Run() {
    while (Now() < kCourse) {
      Continue(milliseconds(150 + Pick(700)), true);
      DoNext();
    }
    Continue(kTimeout, false);
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

  std::unique_ptr<StandInServer> StartRunner() {
    auto server = std::make_unique<StandInServer>(fmt::format("s{}", ++last_runner_), "desk",
                                                  bench_.control());
    server->SetMode(StandInServer::Mode::kWorksAsAsked);
    server->SetSlots(kCallers);
    server->SetWeights(kModel, 1);
    server->SetOnWorkEnded([this](const std::string& id, bool is_whole) {
      work_ends_.try_emplace(id, WorkEnd{Now(), is_whole});
    });
    return server;
  }

  void Continue(milliseconds time, bool sends) {
    const milliseconds end = Now() + time;
    CHECK(SpinUntil([&] {
      Tick(sends);
      return Now() >= end;
    }));
  }

  void Tick(bool sends) {
    for (int router = 0; router < kRouters; ++router) {
      TendRouter(router);
      AskReady(router);
    }
    for (int replica = 0; replica < kReplicas; ++replica) TendReplica(replica);
    for (Configuration& configuration : configurations_) TendConfiguration(configuration);
    for (Runner& runner : runners_) TendRunner(runner);
    for (SoakCaller& caller : callers_) {
      if (caller.call && caller.call->done()) Collect(caller);
      if (sends && !caller.call && Now() >= caller.next_at) Send(caller);
    }
  }

  // Callers stay with a router as long as the load balancer offers it, as it picks by the caller.
  int ChooseRouter(const SoakCaller& caller) {
    if (caller.is_kept) return caller.router;
    if (caller.router >= 0 && routers_[caller.router].in_rotation()) return caller.router;
    std::vector<int> offered;
    for (int router = 0; router < kRouters; ++router) {
      if (routers_[router].in_rotation()) offered.push_back(router);
    }
    return offered.empty() ? Pick(kRouters) : offered[Pick(static_cast<int>(offered.size()))];
  }

  void Send(SoakCaller& caller) {
    SoakRequest request;
    request.router = caller.router = ChooseRouter(caller);
    request.is_kept = caller.is_kept;
    const int pick = Pick(20);
    request.kind = pick < 14   ? CallKind::kDraft
                   : pick < 17 ? CallKind::kResumable
                               : CallKind::kOnce;
    request.work = PickWork(request.kind);
    HttpHeaders headers = bench_.Headers(&request.id);
    const milliseconds timeout = request.kind == CallKind::kDraft ? kTimeout : milliseconds(5000);
    headers.emplace_back("Kumquatcross-Deadline-Ms", std::to_string(timeout.count()));
    const char* path = request.kind == CallKind::kDraft       ? "/draft/stream"
                       : request.kind == CallKind::kResumable ? "/long/stream"
                                                              : "/once/book";
    if (request.kind == CallKind::kDraft && Pick(2) == 0) {
      headers.emplace_back("Kumquatcross-Model", kModel);
      headers.emplace_back("Kumquatcross-Token-Count", "100,10");
      headers.emplace_back("Kumquatcross-Prompt-Prefix", fmt::format("aa:60,{:x}:40", requests_));
    }
    request.sent_at = Now();
    caller.call = caller.client.Start(bench_.router_endpoint(request.router), "POST", path, headers,
                                      request.work.ToBody());
    caller.request = std::move(request);
    ++requests_;
  }

  AskedWork PickWork(CallKind kind) {
    AskedWork work;
    if (kind == CallKind::kOnce) {
      work.length = milliseconds(Pick(1500));
      return work;
    }
    const bool is_long = kind == CallKind::kDraft && Pick(3) > 0;
    work.length = milliseconds(is_long ? 6000 + Pick(8600) : 500 + Pick(3500));
    if (Pick(2) == 0) {
      work.silence = std::min(milliseconds(10'000), work.length * (5 + Pick(5)) / 10);
      work.silent_after_event = Pick(StandInServer::kEvents);
    }
    return work;
  }

  void Collect(SoakCaller& caller) {
    const auto call = std::move(caller.call);
    SoakRequest request = std::move(caller.request);
    request.done_at = Now();
    request.has_head = call->status != 0;
    request.was_sent = call->failure != CallFailure::kNotSent;
    const bool is_served = call->ended && call->status == 200;
    caller.is_kept = is_served && HeaderValue(call->headers, "Connection") != "close";
    // A caller that has failed asks elsewhere.
    if (!is_served) caller.router = -1;
    caller.next_at = Now() + milliseconds((is_served ? 20 : 150) + Pick(200));
    if (!call->ended) return unfinished_.push_back(std::move(request));
    ++statuses_[call->status];
    if (is_served) {
      const std::string whole = request.kind == CallKind::kOnce ? "ran " + request.work.ToBody()
                                                                : StandInServer::StreamFrom(0);
      CAPTURE(request.id);
      CHECK(call->body == whole);
    }
    const bool promises_not_run =
        call->status == 429 || call->status == 503 || call->status == 408 || call->status == 421;
    if (promises_not_run && request.kind != CallKind::kResumable) not_run_.insert(request.id);
    if (request.kind != CallKind::kResumable) once_only_.insert(request.id);
  }

  void DoNext() {
    const int router = Pick(kRouters);
    const int replica = Pick(kReplicas);
    const auto out = std::count_if(routers_.begin(), routers_.end(), [](const RouterState& state) {
      return state.is_stopping || !state.is_up;
    });
    switch (Pick(15)) {
      case 0:
      case 1:
      case 2:
        if (out <= 3) Stop(router);
        return;
      case 3:
      case 4:
        if (out > 2) return;
        Stop(router);
        return Stop((router + 1) % kRouters);
      case 5:
      case 6:
      case 7:
        return Reload(router);
      case 8:
        for (int i = 0; i < kRouters; ++i) {
          if (routers_[i].is_stopping) Reload(i);
        }
        return;
      case 9:
      case 10:
        configurations_.push_back({++version_, milliseconds(Pick(2) == 0 ? 5000 : 15'000), Now()});
        return SendConfiguration(configurations_.back());
      case 11:
        return StopReplica(replica);
      case 12:
        for (int i = 0; i < kReplicas; ++i) StopReplica(i);
        return;
      case 13:
        return LetRunnerLeave();
      default:
        if (Now() > kKillsFrom) return KillReplica(replica);
        // A second SIGTERM has no effect.
        if (routers_[router].is_stopping && HasHandlers(router)) {
          bench_.router(router).Signal(SIGTERM);
        }
    }
  }

  bool HasHandlers(int router) {
    const RouterState& state = routers_[router];
    const bool is_new = !state.starts.empty() && Now() - state.starts.back() < kStartOfHandlers;
    return state.is_up && !is_new && bench_.router(router).running();
  }

  void Stop(int router) {
    RouterState& state = routers_[router];
    if (state.is_stopping || !HasHandlers(router)) return;
    bench_.router(router).Signal(SIGTERM);
    state.is_stopping = true;
    state.stops.push_back(Now());
    ++stops_;
  }

  void Reload(int router) {
    RouterState& state = routers_[router];
    std::vector<int> seeds(kReplicas);
    std::iota(seeds.begin(), seeds.end(), 0);
    std::shuffle(seeds.begin(), seeds.end(), generator_);
    seeds.resize(1 + Pick(kReplicas));
    bench_.WriteSeeds(router, seeds);
    if (!HasHandlers(router)) return;
    bench_.router(router).Signal(SIGHUP);
    state.reloads.push_back(Now());
    ++reloads_;
  }

  void StopReplica(int replica) {
    ReplicaState& state = replicas_[replica];
    if (state.is_stopping || !bench_.replica(replica).running()) return;
    bench_.replica(replica).Signal(SIGTERM);
    state = {true, Now()};
    core_disturbed_.push_back(Now());
    ++replica_stops_;
  }

  void KillReplica(int replica) {
    bench_.replica(replica).Kill();
    kills_.push_back(Now());
    core_disturbed_.push_back(Now());
    bench_.replica(replica).Start();
    replicas_[replica].is_stopping = false;
  }

  void LetRunnerLeave() {
    const auto leaving = std::find_if(runners_.begin(), runners_.end(),
                                      [](const Runner& runner) { return !runner.is_leaving; });
    const auto others = std::count_if(leaving, runners_.end(),
                                      [](const Runner& runner) { return !runner.is_leaving; });
    if (others < kRunners) return;
    leaving->is_leaving = true;
    leaving->exits_from = Now() + kConfigTime;
    leaving->server->StartLeaving();
    if (Pick(2) == 0) leaving->server->CloseListener();
    runners_.push_back({StartRunner(), false, {}});
  }

  void TendRouter(int router) {
    RouterState& state = routers_[router];
    TestProgram& program = bench_.router(router);
    if (!state.is_up) {
      if (Now() < state.start_at) return;
      program.Start();
      state.is_up = true;
      state.starts.push_back(Now());
      if (Pick(2) == 0) state.reload_at = Now() + kStartOfHandlers + milliseconds(Pick(400));
      return;
    }
    if (state.reload_at && Now() >= *state.reload_at) {
      state.reload_at.reset();
      Reload(router);
    }
    if (program.running()) {
      if (!state.is_stopping || Now() - state.stops.back() < kGrace) return;
      program.Kill();
      ++killed_;
      MESSAGE(fmt::format("cut: r{} was killed at the end of its grace", router + 1));
    } else if (!state.is_stopping || program.exit_status() != 0) {
      ++ended_badly_;
      MESSAGE(fmt::format(
          "cut: r{} ended with status {} and signal {}, {}, {} s after its start, {} after "
          "SIGTERM, "
          "{} after SIGHUP",
          router + 1, program.exit_status(), program.end_signal(),
          state.is_stopping ? "stopping" : "not told to stop", SinceLast(state.starts, Now()),
          SinceLast(state.stops, Now()), SinceLast(state.reloads, Now())));
    }
    state.is_up = state.is_stopping = false;
    state.start_at = Now() + milliseconds(Pick(1000));
  }

  void AskReady(int router) {
    RouterState& state = routers_[router];
    if (state.ready_check && state.ready_check->done()) {
      state.misses = state.ready_check->status == 200 ? 0 : state.misses + 1;
      state.ready_check.reset();
    }
    if (state.ready_check || Now() < state.next_check) return;
    state.next_check = Now() + kReadyInterval;
    state.ready_check = bench_.StartReadyCheck(router);
  }

  void TendReplica(int replica) {
    ReplicaState& state = replicas_[replica];
    if (!state.is_stopping) return;
    if (bench_.replica(replica).running()) {
      if (Now() - state.stopped_at >= kReplicaEnd) KillReplica(replica);
      return;
    }
    bench_.replica(replica).Start();
    core_disturbed_.push_back(Now());
    state.is_stopping = false;
  }

  // The operator sends what got no clear answer again, to any replica.
  void TendConfiguration(Configuration& configuration) {
    if (!configuration.call || !configuration.call->done()) return;
    const bool is_acknowledged = configuration.call->status == 200;
    configuration.call.reset();
    if (!is_acknowledged) return SendConfiguration(configuration);
    configuration.acknowledged_at = Now();
  }

  void SendConfiguration(Configuration& configuration) {
    bench_.SetIdleTimeout(configuration.idle_timeout);
    configuration.call = bench_.StartConfiguration(Pick(kReplicas), configuration.version);
  }

  void TendRunner(Runner& runner) const {
    const bool may_exit = runner.is_leaving && runner.server->is_up() && Now() > runner.exits_from;
    if (may_exit && runner.server->open_requests() == 0) runner.server->Exit();
  }

  int Runs(const std::string& id) const {
    int count = 0;
    for (const Runner& runner : runners_) {
      const auto& runs = runner.server->runs();
      count += std::count_if(runs.begin(), runs.end(), [&](const HttpRequest& run) {
        return run.Header("Kumquatcross-Request-Id") == id;
      });
    }
    return count;
  }

  // Returns whether one of the moments lies in the span.
  static bool IsAnyWithin(const std::vector<milliseconds>& moments, milliseconds from,
                          milliseconds to) {
    return std::any_of(moments.begin(), moments.end(),
                       [&](milliseconds moment) { return moment >= from && moment <= to; });
  }

  Ending EndingOf(const SoakRequest& request) const {
    if (!request.was_sent) return Ending::kNotSent;
    const bool has_run = Runs(request.id) > 0;
    const milliseconds took = request.done_at - request.sent_at;
    if (!has_run && took <= kLostSlack) return Ending::kCrossedClose;
    if (took >= (request.kind == CallKind::kDraft ? kTimeout : milliseconds(5000))) {
      return Ending::kDeadline;
    }
    const RouterState& router = routers_[request.router];
    if (has_run && std::any_of(router.stops.begin(), router.stops.end(),
                               [&](milliseconds stop) { return IsEndOfGrace(request, stop); })) {
      return Ending::kEndOfGrace;
    }
    if (IsAnyWithin(kills_, request.sent_at - kContactTime, request.done_at)) {
      return Ending::kBesideKill;
    }
    if (IsAnyWithin(router.stops, request.done_at - kGrace - kPlannedMargin, request.done_at)) {
      return Ending::kLostAtStop;
    }
    if (IsAnyWithin(router.reloads, request.sent_at - kConfigTime, request.done_at)) {
      return Ending::kLostAtReload;
    }
    const bool is_beside = std::any_of(configurations_.begin(), configurations_.end(),
                                       [&](const Configuration& configuration) {
                                         return request.done_at >= configuration.sent_at &&
                                                request.done_at <= EndOf(configuration);
                                       });
    const bool is_late = took * 10 >= kTimeout * 7;
    return is_beside && !is_late ? Ending::kLostAtConfiguration : Ending::kNoPlannedWork;
  }

  bool IsEndOfGrace(const SoakRequest& request, milliseconds stop) const {
    if (request.done_at < stop || request.sent_at > stop + kEarlyInStop) return false;
    const auto end = work_ends_.find(request.id);
    const milliseconds worked_until = end == work_ends_.end() ? Now() : end->second.at;
    return request.sent_at <= stop + kGrace && worked_until >= stop + kLastSixth;
  }

  milliseconds EndOf(const Configuration& configuration) const {
    if (!configuration.acknowledged_at) return Now();
    return *configuration.acknowledged_at + kConfigTime + kPlannedMargin;
  }

  // Returns how long some configuration was planned work.
  milliseconds TimeOfConfigurations() const {
    milliseconds sum{0};
    milliseconds counted_until{0};
    for (const Configuration& configuration : configurations_) {
      const milliseconds from = std::max(counted_until, configuration.sent_at);
      counted_until = std::max(counted_until, EndOf(configuration));
      sum += counted_until - std::min(from, counted_until);
    }
    return sum;
  }

  bool IsInTouch(const SoakRequest& request) const {
    const RouterState& router = routers_[request.router];
    const milliseconds from = request.done_at - kContactTime;
    return !IsAnyWithin(router.stops, from, request.done_at) &&
           !IsAnyWithin(router.starts, from, request.done_at) &&
           !IsAnyWithin(core_disturbed_, from, request.done_at);
  }

  static std::string SinceLast(const std::vector<milliseconds>& moments, milliseconds at) {
    std::string text = "-";
    for (const milliseconds moment : moments) {
      if (moment <= at) text = Seconds(at - moment);
    }
    return text;
  }

  void Tell(const SoakRequest& request, Ending ending) const {
    const RouterState& router = routers_[request.router];
    const auto end = work_ends_.find(request.id);
    const bool has_run = Runs(request.id) > 0;
    const char* runner = !has_run                  ? "not reached"
                         : end == work_ends_.end() ? "at work"
                         : end->second.is_whole    ? "whole"
                                                   : "closed";
    MESSAGE(fmt::format(
        "cut: {}: {} of r{}, sent at {}, cut {} s after it, {} after SIGTERM, {} after SIGHUP; "
        "work of {} s with {} s of silence, runner {} at {}, {} connection, head {}",
        kEndingNames[static_cast<std::size_t>(ending)], request.id, request.router + 1,
        Seconds(request.sent_at), Seconds(request.done_at - request.sent_at),
        SinceLast(router.stops, request.done_at), SinceLast(router.reloads, request.done_at),
        Seconds(request.work.length), Seconds(request.work.silence), runner,
        end == work_ends_.end() ? "-" : Seconds(end->second.at), request.is_kept ? "kept" : "new",
        request.has_head ? "came" : "didn't come"));
  }

  void CheckEnd() {
    std::map<Ending, int> endings;
    std::array<int, kRouters> beside_configuration{};
    std::array<int, kRouters> at_other_times{};
    int kept_lost = 0;
    for (const SoakRequest& request : unfinished_) {
      const Ending ending = EndingOf(request);
      ++endings[ending];
      if (ending != Ending::kNotSent && ending != Ending::kCrossedClose) Tell(request, ending);
      if (ending == Ending::kLostAtConfiguration) ++beside_configuration[request.router];
      if (ending == Ending::kNoPlannedWork) ++at_other_times[request.router];
      const bool is_unanswered = request.is_kept && request.was_sent && !request.has_head;
      if (is_unanswered && Runs(request.id) > 0 && IsInTouch(request)) ++kept_lost;
    }
    MESSAGE(
        fmt::format("stops: {} requests; {} stops of routers, {} killed, {} ended badly; "
                    "{} reloads, {} stops of replicas, {} configurations",
                    requests_, stops_, killed_, ended_badly_, reloads_, replica_stops_,
                    configurations_.size()));
    for (const auto& [status, count] : statuses_) {
      MESSAGE(fmt::format("stops: {} answered {}", count, status));
    }
    for (const auto& [ending, count] : endings) {
      MESSAGE(fmt::format("stops: {} {}", count, kEndingNames[static_cast<std::size_t>(ending)]));
    }
    CHECK_MESSAGE(killed_ == 0, "a stopped process is gone by itself before its grace ends");
    CHECK(ended_badly_ == 0);
    CHECK(endings[Ending::kLostAtStop] == 0);
    CHECK(endings[Ending::kLostAtReload] == 0);
    const auto beside = TimeOfConfigurations();
    for (int router = 0; router < kRouters; ++router) {
      const auto others = at_other_times[router] * kCutRatioBesideConfiguration * beside;
      CHECK(beside_configuration[router] * (Now() - beside) <= others);
    }
    CHECK(kept_lost <= kMaxKeptLost);
    for (const std::string& id : once_only_) {
      CAPTURE(id);
      CHECK(Runs(id) <= (not_run_.contains(id) ? 0 : 1));
    }
    for (const SoakRequest& request : unfinished_) {
      CAPTURE(request.id);
      if (request.kind != CallKind::kResumable) CHECK(Runs(request.id) <= 1);
    }
  }

  std::mt19937_64 generator_;
  QElapsedTimer clock_;
  ForwardBench bench_;
  std::vector<Runner> runners_;
  int last_runner_ = 0;
  std::array<SoakCaller, kCallers> callers_;
  std::array<RouterState, kRouters> routers_;
  std::array<ReplicaState, kReplicas> replicas_;
  std::vector<Configuration> configurations_;
  int version_ = 1;
  std::vector<milliseconds> core_disturbed_;
  std::vector<milliseconds> kills_;
  // Requests whose answer isn't whole.
  std::vector<SoakRequest> unfinished_;
  std::map<std::string, WorkEnd> work_ends_;
  std::set<std::string> not_run_;
  std::set<std::string> once_only_;
  std::map<int, int> statuses_;
  int requests_ = 0;
  int stops_ = 0;
  int reloads_ = 0;
  int replica_stops_ = 0;
  int killed_ = 0;
  int ended_badly_ = 0;
};

TEST_CASE(
    "No stream is lost and each router exits while routers stop, reload and control restarts") {
  StopSoak(TestSeed(kSeed)).Run();
}

}  // namespace
}  // namespace kumquat

// Routers that stop while new weights are rolled out, beside long streams that may run once only.
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
constexpr int kReplicas = 3;
constexpr int kRouters = 5;
constexpr int kEngines = 6;
constexpr int kCallers = 60;
constexpr milliseconds kCourse{26'000};
constexpr milliseconds kTimeout{15'000};
constexpr milliseconds kWeightsInterval{7000};
constexpr milliseconds kWeightsLongestLag{10'000};
// A program gets no signal before it has surely set its handlers.
constexpr milliseconds kStartOfHandlers{200};
constexpr milliseconds kStopInterval{3500};
constexpr milliseconds kGrace{8000};
// A request that is sent this soon after SIGTERM may be cut in the last sixth of the grace.
constexpr milliseconds kEarlyInStop{3000};
constexpr milliseconds kLastSixth = kGrace * 5 / 6;
constexpr const char* kModel = "lm";

struct MoveCaller {
  TestCaller client;
  std::string id;
  int router = 0;
  milliseconds sent_at{0};
  milliseconds next_at{0};
  std::unique_ptr<TestCall> call;
};

struct StoppedRouter {
  bool is_stopping = false;
  milliseconds started_at{0};
  std::vector<milliseconds> stops;
};

class MoveSoak {
 public:
  explicit MoveSoak(std::uint64_t seed)
      : generator_(seed), bench_(kReplicas, kRouters, kWeightsLongestLag) {
    bench_.ServeByEngines(kModel);
    bench_.KeepStreamRoute("/draft/", kTimeout);
    bench_.PutConfiguration(2);
    bench_.PutWeightsVersion(kModel, weights_);
    for (int i = 0; i < kEngines; ++i) {
      auto engine =
          std::make_unique<StandInServer>(fmt::format("e{}", i + 1), "desk", bench_.control());
      engine->SetMode(StandInServer::Mode::kWorksAsAsked);
      engine->SetSlots(kCallers);
      engine->SetWeights(kModel, weights_);
      engine->ActAsEngine();
      engines_.push_back(std::move(engine));
    }
    for (int i = 0; i < kRouters; ++i) bench_.WaitForStatus(i, "/once/look", 200);
    clock_.start();
  }

  void Run() {
    while (Now() < kCourse) {
      CHECK(SpinUntil([&] {
        Tick(true);
        return Now() >= next_event_;
      }));
      next_event_ = Now() + milliseconds(50);
    }
    CHECK(SpinUntil([&] {
      Tick(false);
      return std::none_of(callers_.begin(), callers_.end(),
                          [](const MoveCaller& caller) { return caller.call != nullptr; });
    }));
    CheckEnd();
  }

 private:
  milliseconds Now() const { return milliseconds(clock_.elapsed()); }
  int Pick(int bound) { return static_cast<int>(generator_() % static_cast<unsigned>(bound)); }

  void Tick(bool goes_on) {
    for (int router = 0; router < kRouters; ++router) TendRouter(router);
    for (MoveCaller& caller : callers_) {
      if (caller.call && caller.call->done()) Collect(caller);
      if (goes_on && !caller.call && Now() >= caller.next_at) Send(caller);
    }
    if (!goes_on) return;
    if (Now() >= next_stop_) {
      next_stop_ = Now() + kStopInterval;
      Stop(Pick(kRouters));
    }
    if (!weights_call_ && Now() >= next_weights_) {
      next_weights_ = Now() + kWeightsInterval;
      weights_call_ = bench_.StartWeightsVersion(Pick(kReplicas), kModel, ++weights_);
    }
    if (weights_call_ && weights_call_->done()) {
      const bool is_acknowledged = weights_call_->status == 200;
      weights_call_.reset();
      if (!is_acknowledged) {
        weights_call_ = bench_.StartWeightsVersion(Pick(kReplicas), kModel, weights_);
      }
    }
  }

  // At most two routers are out at a time, so that the others bear the load.
  void Stop(int router) {
    const auto out = std::count_if(routers_.begin(), routers_.end(),
                                   [](const StoppedRouter& state) { return state.is_stopping; });
    const bool is_new = Now() - routers_[router].started_at < kStartOfHandlers;
    if (out >= 2 || is_new || routers_[router].is_stopping) return;
    bench_.router(router).Signal(SIGTERM);
    routers_[router].is_stopping = true;
    routers_[router].stops.push_back(Now());
  }

  // A router that has stopped is back at once.
  void TendRouter(int router) {
    if (!routers_[router].is_stopping || bench_.router(router).running()) return;
    CHECK(bench_.router(router).exit_status() == 0);
    bench_.router(router).Start();
    routers_[router].started_at = Now();
    routers_[router].is_stopping = false;
  }

  void Send(MoveCaller& caller) {
    std::vector<int> offered;
    for (int router = 0; router < kRouters; ++router) {
      if (!routers_[router].is_stopping) offered.push_back(router);
    }
    caller.router = offered[Pick(static_cast<int>(offered.size()))];
    HttpHeaders headers = bench_.Headers(&caller.id);
    headers.emplace_back("Kumquatcross-Deadline-Ms", std::to_string(kTimeout.count()));
    headers.emplace_back("Kumquatcross-Model", kModel);
    headers.emplace_back("Kumquatcross-Token-Count", "100,10");
    headers.emplace_back("Kumquatcross-Prompt-Prefix", fmt::format("aa:60,{:x}:40", ++requests_));
    AskedWork work;
    work.length = milliseconds(500 + Pick(Pick(6) == 0 ? 6000 : 2000));
    caller.sent_at = Now();
    caller.call = caller.client.Start(bench_.router_endpoint(caller.router), "POST",
                                      "/draft/stream", headers, work.ToBody());
  }

  void Collect(MoveCaller& caller) {
    const auto call = std::move(caller.call);
    caller.next_at = Now() + milliseconds(20 + Pick(300));
    if (call->ended) {
      ++statuses_[call->status];
      CAPTURE(caller.id);
      if (call->status == 200) CHECK(call->body == StandInServer::StreamFrom(0));
      return;
    }
    const bool has_begun = call->status == 200;
    if (!has_begun) return;
    const milliseconds took = Now() - caller.sent_at;
    const auto& stops = routers_[caller.router].stops;
    const bool is_end_of_grace = std::any_of(stops.begin(), stops.end(), [&](milliseconds stop) {
      return Now() >= stop + kLastSixth && Now() <= stop + kGrace + kEarlyInStop &&
             caller.sent_at <= stop + kEarlyInStop;
    });
    if (is_end_of_grace) {
      ++end_of_grace_;
    } else if (took < kTimeout) {
      ++cut_;
      MESSAGE(fmt::format("cut: {} of r{} after {} ms, {} ms after SIGTERM", caller.id,
                          caller.router + 1, took.count(),
                          stops.empty() ? -1 : (Now() - stops.back()).count()));
    }
  }

  void CheckEnd() {
    int stopped = 0;
    int refused = 0;
    std::map<std::string, int> runs;
    for (const auto& engine : engines_) {
      stopped += engine->stopped_runs();
      refused += engine->refused_copies();
      for (const HttpRequest& run : engine->runs()) {
        ++runs[std::string(run.Header("Kumquatcross-Request-Id"))];
      }
    }
    MESSAGE(fmt::format(
        "moves: {} requests, weights {}, {} runs moved, {} refused, {} cut at the end of the "
        "grace, {} cut otherwise",
        requests_, weights_, stopped, refused, end_of_grace_, cut_));
    for (const auto& [status, count] : statuses_) {
      MESSAGE(fmt::format("moves: {} answered {}", count, status));
    }
    CHECK(stopped > 0);
    CHECK(cut_ == 0);
    for (const auto& run : runs) {
      CAPTURE(run.first);
      CHECK(run.second <= 1);
    }
  }

  std::mt19937_64 generator_;
  QElapsedTimer clock_;
  ForwardBench bench_;
  std::vector<std::unique_ptr<StandInServer>> engines_;
  std::array<MoveCaller, kCallers> callers_;
  std::array<StoppedRouter, kRouters> routers_;
  int weights_ = 1;
  std::unique_ptr<TestCall> weights_call_;
  milliseconds next_event_{0};
  milliseconds next_stop_{2000};
  milliseconds next_weights_{1000};
  std::map<int, int> statuses_;
  int requests_ = 0;
  int end_of_grace_ = 0;
  int cut_ = 0;
};

TEST_CASE("No once-only stream is cut by its move while weights are rolled out and routers stop") {
  MoveSoak(TestSeed(kSeed)).Run();
}

}  // namespace
}  // namespace kumquat

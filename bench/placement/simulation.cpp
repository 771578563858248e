#include "placement/simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kumquat::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kHop = milliseconds(1);
constexpr Duration kReportInterval = milliseconds(250);
constexpr Duration kEventInterval = milliseconds(100);
constexpr Duration kEventDelay = milliseconds(200);
constexpr Duration kResyncInterval = seconds(1);
constexpr Duration kFailureSeen = milliseconds(50);
constexpr Duration kRestart = seconds(3);
constexpr Duration kStoreDelay = seconds(1);
constexpr Duration kDrain = seconds(600);
constexpr double kUsPerMs = 1000;

// Requests that arrive before this are run and not measured: every cache is cold then.
constexpr Instant kWarmUp = seconds(30);

class Simulation {
 public:
  Simulation(const Deployment& deployment, const Conditions& conditions, std::uint64_t seed,
             const MakePolicy& make_policy)
      : deployment_(deployment),
        conditions_(conditions),
        dice_(seed + 1),
        trace_(MakeTrace(deployment, seed, conditions.shifts)) {
    for (int at = 0; at < deployment.engines; ++at) AddEngine(static_cast<std::size_t>(at));
    policy_ = make_policy(fleet_, deployment);
    for (std::size_t at = 0; at < fleet_.engines.size(); ++at) policy_->OnIncarnation(at);
  }

  Result Run() {
    for (std::size_t at = 0; at < trace_.size(); ++at) {
      fleet_.time.After(trace_[at].arrival, [this, at] { Route(at, trace_[at].router); });
    }
    for (std::size_t at = 0; at < fleet_.engines.size(); ++at) {
      const auto offset = Duration(static_cast<std::int64_t>(at) * 1000);
      fleet_.time.After(offset, [this, at] { Report(at); });
      fleet_.time.After(offset, [this, at] { PublishEvents(at); });
    }
    fleet_.time.After(kResyncInterval, [this] { Resync(); });
    if (conditions_.crashes) {
      fleet_.time.After(deployment_.length / 3, [this] { Crash(1); });
      fleet_.time.After(deployment_.length / 3 * 2, [this] { Crash(4); });
    }
    fleet_.time.Run(deployment_.length + kDrain);
    return result_;
  }

 private:
  void AddEngine(std::size_t at) {
    EngineHooks hooks;
    hooks.on_prefill = [this](const Job& job, std::int64_t cached) { CountPrefill(job, cached); };
    hooks.on_first_token = [this, at](const Job& job) { FirstToken(at, job); };
    hooks.on_end = [this, at](const Job& job, std::int64_t cached) {
      fleet_.time.After(kHop, [this, at, job, cached] { policy_->OnEnd(at, job, cached); });
    };
    fleet_.engines.push_back(std::make_unique<Engine>("engine-" + std::to_string(at),
                                                      EngineLimits{}, &fleet_.time, hooks));
    fleet_.known_incarnation.push_back(1);
  }

  bool InTrace() const { return fleet_.time.now() < deployment_.length; }

  void Route(std::size_t index, int router) {
    const TraceRequest& request = trace_[index];
    const Pick pick = policy_->Choose(router, request);
    const Job job{.request = &request,
                  .request_index = index,
                  .router = router,
                  .dispatch = pick.dispatch,
                  .believed_pieces = pick.believed_pieces,
                  .import_pieces = pick.import_pieces};
    fleet_.time.After(kHop, [this, job, at = pick.engine] {
      if (fleet_.engines[at]->is_up()) {
        fleet_.engines[at]->Submit(job);
      } else {
        Fail(at, job);
      }
    });
  }

  void Fail(std::size_t at, const Job& job) {
    fleet_.time.After(kFailureSeen, [this, at, job] {
      policy_->OnFailed(at, job);
      Route(job.request_index, job.router);
    });
  }

  ClassResult& ResultOf(const Job& job) {
    if (job.request->arrival < kWarmUp) return warm_up_;
    return result_[static_cast<std::size_t>(job.request->request_class)];
  }

  void CountPrefill(const Job& job, std::int64_t cached) {
    ClassResult& result = ResultOf(job);
    const auto present =
        std::max<std::int64_t>(cached, static_cast<std::int64_t>(job.import_pieces));
    result.prompt_tokens += job.request->prompt_tokens;
    result.hit_tokens += present * kPieceTokens;
    const auto& blocks = job.request->blocks;
    for (auto at = static_cast<std::size_t>(present); at < blocks.size(); ++at) {
      if (!computed_.insert(blocks[at]).second) result.recomputed_tokens += kPieceTokens;
    }
  }

  void FirstToken(std::size_t at, const Job& job) {
    if (first_tokens_.insert(job.request_index).second) {
      const auto waited = fleet_.time.now() + kHop - job.request->arrival;
      ResultOf(job).first_token_ms.push_back(static_cast<double>(waited.count()) / kUsPerMs);
    }
    fleet_.time.After(kHop, [this, at, job] { policy_->OnFirstToken(at, job); });
    if (!conditions_.has_store) return;
    fleet_.time.After(kStoreDelay, [this, job] {
      fleet_.store.insert(job.request->blocks.begin(), job.request->blocks.end());
    });
  }

  void Report(std::size_t at) {
    Engine& engine = *fleet_.engines[at];
    if (engine.is_up()) {
      const Instant measured_at = fleet_.time.now();
      fleet_.time.After(conditions_.load_lag, [this, at, measured_at, load = engine.Load(),
                                               incarnation = engine.incarnation()] {
        if (incarnation != fleet_.known_incarnation[at]) return;
        policy_->OnReport(at, incarnation, load, measured_at);
      });
    }
    if (InTrace()) fleet_.time.After(kReportInterval, [this, at] { Report(at); });
  }

  // Each event is lost by itself; the numbers of a batch tell.
  void PublishEvents(std::size_t at) {
    CacheEventBatch batch = fleet_.engines[at]->TakeEvents();
    CacheEventBatch part = batch;
    part.changes.clear();
    for (std::size_t change = 0; change < batch.changes.size(); ++change) {
      if (dice_.Unit() >= conditions_.event_loss) {
        part.changes.push_back(batch.changes[change]);
        continue;
      }
      part.last_sequence = batch.first_sequence + static_cast<std::int64_t>(change) - 1;
      Deliver(part);
      part.first_sequence = part.last_sequence + 2;
      part.changes.clear();
    }
    part.last_sequence = batch.last_sequence;
    Deliver(part);
    if (InTrace()) fleet_.time.After(kEventInterval, [this, at] { PublishEvents(at); });
  }

  void Deliver(const CacheEventBatch& batch) {
    if (batch.changes.empty()) return;
    fleet_.time.After(kEventDelay, [this, batch] { policy_->OnEvents(batch); });
  }

  void Resync() {
    for (const std::string& id : policy_->NeedsResync()) {
      for (const auto& engine : fleet_.engines) {
        if (engine->id() != id || !engine->is_up()) continue;
        // What was published before the snapshot arrives before it.
        fleet_.time.After(kEventDelay + kEventInterval,
                          [this, contents = engine->Contents()] { policy_->OnContents(contents); });
      }
    }
    if (InTrace()) fleet_.time.After(kResyncInterval, [this] { Resync(); });
  }

  void Crash(std::size_t at) {
    Engine& engine = *fleet_.engines[at];
    for (const Job& job : engine.Crash()) Fail(at, job);
    fleet_.time.After(kFailureSeen - kHop, [this, at] { fleet_.known_incarnation[at] = 0; });
    fleet_.time.After(kRestart, [this, at] {
      fleet_.engines[at]->Restart();
      fleet_.known_incarnation[at] = fleet_.engines[at]->incarnation();
      policy_->OnIncarnation(at);
    });
  }

  const Deployment& deployment_;
  const Conditions& conditions_;
  Dice dice_;
  std::vector<TraceRequest> trace_;
  Fleet fleet_;
  std::unique_ptr<Policy> policy_;
  BlockSet computed_;
  std::unordered_set<std::size_t> first_tokens_;
  Result result_;
  ClassResult warm_up_;
};

}  // namespace

void ClassResult::Add(const ClassResult& other) {
  prompt_tokens += other.prompt_tokens;
  hit_tokens += other.hit_tokens;
  recomputed_tokens += other.recomputed_tokens;
  first_token_ms.insert(first_token_ms.end(), other.first_token_ms.begin(),
                        other.first_token_ms.end());
}

double ClassResult::HitRate() const {
  if (prompt_tokens == 0) return 0;
  return static_cast<double>(hit_tokens) / static_cast<double>(prompt_tokens);
}

double ClassResult::FirstTokenMs(double quantile) const {
  if (first_token_ms.empty()) return 0;
  std::vector<double> sorted = first_token_ms;
  const auto at = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1));
  std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(at), sorted.end());
  return sorted[at];
}

std::size_t Fleet::ImportablePieces(const TraceRequest& request) const {
  const auto end = std::find_if_not(request.blocks.begin(), request.blocks.end(),
                                    [&](const BlockId& block) { return store.contains(block); });
  return static_cast<std::size_t>(end - request.blocks.begin());
}

Result Simulate(const Deployment& deployment, const Conditions& conditions, std::uint64_t seed,
                const MakePolicy& make_policy) {
  return Simulation(deployment, conditions, seed, make_policy).Run();
}

}  // namespace kumquat::bench

#include "placement/policies.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <tuple>
#include <utility>

namespace kumquat::bench {

namespace {

constexpr std::size_t kIndexEntries = 20'000;
constexpr std::size_t kHashedPieces = 4;
constexpr double kLoadBound = 1.25;
constexpr double kTieUs = 2000;

std::vector<std::size_t> LiveEngines(const Fleet& fleet) {
  std::vector<std::size_t> live;
  for (std::size_t at = 0; at < fleet.engines.size(); ++at) {
    if (fleet.known_incarnation[at] != 0) live.push_back(at);
  }
  return live;
}

std::uint64_t RootOf(const TraceRequest& request) {
  return request.blocks.empty() ? 0 : request.blocks.front().low;
}

class Kumquat : public Policy {
 public:
  Kumquat(Fleet& fleet, const Deployment& deployment, PlacementOptions options,
          Duration tell_interval)
      : fleet_(fleet),
        end_(2 * deployment.length),
        tell_interval_(tell_interval),
        index_(kIndexEntries),
        dice_(static_cast<std::uint64_t>(deployment.engines)) {
    options.routers = deployment.routers;
    for (int router = 0; router < deployment.routers; ++router) {
      routers_.emplace_back(options, [this] { return dice_.Bits(); });
    }
    if (tell_interval_ == Duration::zero()) return;
    for (std::size_t router = 0; router < routers_.size(); ++router) {
      const Duration offset = kTellOffset * static_cast<int>(router);
      fleet.time.After(offset, [this, router] { TellPeers(router); });
    }
  }

  Pick Choose(int router, const TraceRequest& request) override {
    const auto candidates = Candidates(request);
    const PlacementRequest asked{.prompt_tokens = request.prompt_tokens,
                                 .request_class = request.request_class,
                                 .prefix_hash_seed = RootOf(request)};
    PlacementPolicy& policy = routers_[static_cast<std::size_t>(router)];
    const auto choice = *policy.Choose(candidates, asked, fleet_.time.now());
    const Candidate& chosen = candidates[choice.index];
    Pick pick{.engine = LiveEngines(fleet_)[choice.index],
              .believed_pieces = chosen.cached_tokens / kPieceTokens,
              .import_pieces = static_cast<std::size_t>(choice.import_tokens / kPieceTokens),
              .dispatch = policy.Dispatched(chosen, asked, choice, fleet_.time.now())};
    fleet_.time.After(kNoteDelay,
                      [this, &request, at = pick.engine, incarnation = chosen.incarnation] {
                        if (request.request_class == RequestClass::kDraft) return;
                        index_.Expect(fleet_.engines[at]->id(), incarnation, request.blocks);
                      });
    return pick;
  }

  void OnFirstToken(std::size_t engine, const Job& job) override {
    routers_[static_cast<std::size_t>(job.router)].FirstToken(job.dispatch, fleet_.time.now());
    index_.Computed(IdOf(engine), fleet_.known_incarnation[engine], job.request->blocks);
  }

  void OnEnd(std::size_t engine, const Job& job, std::int64_t cached_pieces) override {
    routers_[static_cast<std::size_t>(job.router)].Finished(job.dispatch, fleet_.time.now());
    index_.Correct(IdOf(engine), fleet_.known_incarnation[engine], job.believed_pieces,
                   cached_pieces);
  }

  void OnFailed(std::size_t engine, const Job& job) override {
    routers_[static_cast<std::size_t>(job.router)].Failed(job.dispatch, fleet_.time.now());
    index_.Retract(IdOf(engine), fleet_.known_incarnation[engine], job.request->blocks);
  }

  void OnReport(std::size_t engine, std::int64_t incarnation, const BackendLoad& load,
                Instant measured_at) override {
    for (PlacementPolicy& router : routers_) {
      router.Reported(IdOf(engine), incarnation, load, measured_at);
    }
  }

  void OnIncarnation(std::size_t engine) override {
    index_.Observe(IdOf(engine), fleet_.known_incarnation[engine]);
  }

  void OnEvents(const CacheEventBatch& batch) override { index_.Apply(batch); }
  void OnContents(const CacheContents& contents) override { index_.Replace(contents); }
  std::vector<std::string> NeedsResync() const override { return index_.needs_resync(); }

 private:
  static constexpr Duration kNoteDelay = std::chrono::milliseconds(1);
  static constexpr Duration kTellOffset = std::chrono::milliseconds(7);

  const std::string& IdOf(std::size_t engine) const { return fleet_.engines[engine]->id(); }

  void TellPeers(std::size_t router) {
    auto tell = [this, router, loads = routers_[router].TakeSentLoads(fleet_.time.now())] {
      for (std::size_t peer = 0; peer < routers_.size(); ++peer) {
        if (peer == router) continue;
        routers_[peer].PeerSent(std::to_string(router), loads, fleet_.time.now());
      }
    };
    fleet_.time.After(kNoteDelay, std::move(tell));
    if (fleet_.time.now() > end_) return;
    fleet_.time.After(tell_interval_, [this, router] { TellPeers(router); });
  }

  std::vector<Candidate> Candidates(const TraceRequest& request) {
    const auto beliefs = index_.Lookup(request.blocks);
    const auto importable = static_cast<std::int64_t>(fleet_.ImportablePieces(request));
    std::vector<Candidate> candidates;
    for (const std::size_t at : LiveEngines(fleet_)) {
      const Engine& engine = *fleet_.engines[at];
      Candidate candidate;
      candidate.backend_id = engine.id();
      candidate.incarnation = fleet_.known_incarnation[at];
      candidate.concurrent_requests = static_cast<std::int64_t>(engine.limits().slots);
      candidate.prefill_ms_per_1k_tokens = engine.limits().prefill_ms_per_1k;
      candidate.import_ms_per_1k_tokens = engine.limits().import_ms_per_1k;
      candidate.importable_tokens = importable * kPieceTokens;
      for (const PrefixBelief& belief : beliefs) {
        if (belief.backend_id != engine.id()) continue;
        if (belief.incarnation != candidate.incarnation) continue;
        candidate.cached_tokens = belief.pieces * kPieceTokens;
      }
      candidates.push_back(candidate);
    }
    return candidates;
  }

  Fleet& fleet_;
  Instant end_;
  Duration tell_interval_;
  PrefixIndex index_;
  Dice dice_;
  std::vector<PlacementPolicy> routers_;
};

// What the baselines share: the last reports, and random choices.
class Baseline : public Policy {
 public:
  Baseline(Fleet& fleet, const Deployment& deployment)
      : fleet_(fleet),
        dice_(static_cast<std::uint64_t>(deployment.routers)),
        load_(fleet.engines.size()) {}

  void OnReport(std::size_t engine, std::int64_t /*incarnation*/, const BackendLoad& load,
                Instant /*measured_at*/) override {
    load_[engine] = load;
  }

 protected:
  // Waiting tokens first, then requests, then chance.
  std::size_t LeastLoaded(const std::vector<std::size_t>& engines) {
    const auto key = [&](std::size_t engine) {
      const BackendLoad& load = load_[engine];
      return std::tuple(load.queued_tokens, load.running_requests + load.queued_requests,
                        dice_.Bits());
    };
    std::size_t best = engines.front();
    auto best_key = key(best);
    for (const std::size_t engine : engines) {
      const auto other = key(engine);
      if (other >= best_key) continue;
      best = engine;
      best_key = other;
    }
    return best;
  }

  Fleet& fleet_;
  Dice dice_;
  std::vector<BackendLoad> load_;
};

class RoundRobin : public Baseline {
 public:
  RoundRobin(Fleet& fleet, const Deployment& deployment) : Baseline(fleet, deployment) {
    for (int router = 0; router < deployment.routers; ++router) next_.push_back(dice_.Bits() >> 1U);
  }

  Pick Choose(int router, const TraceRequest& /*request*/) override {
    const auto live = LiveEngines(fleet_);
    return {.engine = live[++next_[static_cast<std::size_t>(router)] % live.size()]};
  }

 private:
  std::vector<std::uint64_t> next_;
};

class LeastLoad : public Baseline {
 public:
  using Baseline::Baseline;

  Pick Choose(int /*router*/, const TraceRequest& /*request*/) override {
    return {.engine = LeastLoaded(LiveEngines(fleet_))};
  }
};

class TwoChoices : public Baseline {
 public:
  using Baseline::Baseline;

  Pick Choose(int /*router*/, const TraceRequest& /*request*/) override {
    const auto live = LiveEngines(fleet_);
    return {.engine =
                LeastLoaded({live[dice_.Bits() % live.size()], live[dice_.Bits() % live.size()]})};
  }
};

class BoundedHashing : public Baseline {
 public:
  BoundedHashing(Fleet& fleet, const Deployment& deployment) : Baseline(fleet, deployment) {
    own_.assign(static_cast<std::size_t>(deployment.routers),
                std::vector<int>(fleet.engines.size(), 0));
  }

  Pick Choose(int router, const TraceRequest& request) override {
    auto& own = own_[static_cast<std::size_t>(router)];
    const auto live = LiveEngines(fleet_);
    int total = 1;
    for (const std::size_t engine : live) total += own[engine];
    const double bound = kLoadBound * total / static_cast<double>(live.size());
    std::size_t best = live.front();
    std::uint64_t best_score = 0;
    for (const std::size_t engine : live) {
      if (own[engine] + 1 > std::max(1.0, std::ceil(bound))) continue;
      const std::uint64_t score = Score(engine, request);
      if (score < best_score) continue;
      best = engine;
      best_score = score;
    }
    ++own[best];
    return {.engine = best};
  }

  void OnEnd(std::size_t engine, const Job& job, std::int64_t /*cached_pieces*/) override {
    --own_[static_cast<std::size_t>(job.router)][engine];
  }
  void OnFailed(std::size_t engine, const Job& job) override {
    --own_[static_cast<std::size_t>(job.router)][engine];
  }

 private:
  std::uint64_t Score(std::size_t engine, const TraceRequest& request) const {
    const auto& id = fleet_.engines[engine]->id();
    const std::size_t at = std::min(kHashedPieces, request.blocks.size()) - 1;
    return XXH3_64bits_withSeed(id.data(), id.size(), request.blocks[at].low);
  }

  std::vector<std::vector<int>> own_;
};

class Clairvoyant : public Policy {
 public:
  explicit Clairvoyant(Fleet& fleet) : fleet_(fleet) {}

  Pick Choose(int /*router*/, const TraceRequest& request) override {
    std::vector<Scored> all;
    for (const std::size_t at : LiveEngines(fleet_)) {
      if (fleet_.engines[at]->is_up()) all.push_back(Score(at, request));
    }
    if (all.empty()) return {.engine = LiveEngines(fleet_).front()};
    const auto best = std::min_element(
        all.begin(), all.end(),
        [](const auto& left, const auto& right) { return left.score_us < right.score_us; });
    const double limit = best->score_us + kTieUs;
    std::erase_if(all, [&](const Scored& scored) { return scored.score_us > limit; });
    const auto by_hash = [](const auto& left, const auto& right) { return left.hash < right.hash; };
    if (all.front().is_cold) return std::max_element(all.begin(), all.end(), by_hash)->pick;
    return all[dice_.Bits() % all.size()].pick;
  }

 private:
  struct Scored {
    Pick pick;
    double score_us = 0;
    bool is_cold = false;
    std::uint64_t hash = 0;
  };

  Scored Score(std::size_t at, const TraceRequest& request) const {
    const Engine& engine = *fleet_.engines[at];
    const TrueState truth = engine.Truth(request);
    const auto importable = static_cast<std::int64_t>(fleet_.ImportablePieces(request));
    const auto imported = std::max<std::int64_t>(0, importable - truth.cached_pieces);
    const auto missing = request.prompt_tokens - (truth.cached_pieces + imported) * kPieceTokens;
    const double prefill_us =
        static_cast<double>(missing) * engine.limits().prefill_ms_per_1k +
        static_cast<double>(imported * kPieceTokens) * engine.limits().import_ms_per_1k;
    Scored scored;
    scored.pick.engine = at;
    scored.pick.import_pieces = imported > 0 ? static_cast<std::size_t>(importable) : 0;
    scored.score_us = static_cast<double>(truth.wait.count()) + prefill_us;
    scored.is_cold = truth.cached_pieces == 0;
    scored.hash = XXH3_64bits_withSeed(engine.id().data(), engine.id().size(), RootOf(request));
    return scored;
  }

  Fleet& fleet_;
  Dice dice_{1};
};

}  // namespace

std::unique_ptr<Policy> MakeKumquat(Fleet& fleet, const Deployment& deployment,
                                    const PlacementOptions& options, Duration tell_interval) {
  return std::make_unique<Kumquat>(fleet, deployment, options, tell_interval);
}

std::unique_ptr<Policy> MakeRoundRobin(Fleet& fleet, const Deployment& deployment) {
  return std::make_unique<RoundRobin>(fleet, deployment);
}

std::unique_ptr<Policy> MakeLeastLoad(Fleet& fleet, const Deployment& deployment) {
  return std::make_unique<LeastLoad>(fleet, deployment);
}

std::unique_ptr<Policy> MakeTwoChoices(Fleet& fleet, const Deployment& deployment) {
  return std::make_unique<TwoChoices>(fleet, deployment);
}

std::unique_ptr<Policy> MakeBoundedHashing(Fleet& fleet, const Deployment& deployment) {
  return std::make_unique<BoundedHashing>(fleet, deployment);
}

std::unique_ptr<Policy> MakeClairvoyant(Fleet& fleet, const Deployment& /*deployment*/) {
  return std::make_unique<Clairvoyant>(fleet);
}

}  // namespace kumquat::bench

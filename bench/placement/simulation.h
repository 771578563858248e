// Runs one trace against fake engines under one policy, with late reports, lost events and faults.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "placement/engine.h"
#include "placement/trace.h"

namespace kumquat::bench {

// What goes wrong during a run.
struct Conditions {
  std::string_view name;
  double event_loss = 0;
  Duration load_lag = std::chrono::milliseconds(100);
  bool shifts = false;
  bool crashes = false;
  // Whether there is a store of kept cache to import from.
  bool has_store = false;
};

// What was measured for one class of requests.
struct ClassResult {
  std::int64_t prompt_tokens = 0;
  // Prompt tokens that were cached or imported.
  std::int64_t hit_tokens = 0;
  // Prompt tokens that were computed although some engine had computed them before.
  std::int64_t recomputed_tokens = 0;
  std::vector<double> first_token_ms;

  void Add(const ClassResult& other);
  double HitRate() const;
  double FirstTokenMs(double quantile) const;
};

// By RequestClass.
using Result = std::array<ClassResult, 2>;

// The engines as all policies see them: the routers' list of live engines is the same for all.
struct Fleet {
  VirtualTime time;
  std::vector<std::unique_ptr<Engine>> engines;
  // The incarnation that routers know; 0 while they take the engine for dead.
  std::vector<std::int64_t> known_incarnation;
  BlockSet store;

  std::size_t ImportablePieces(const TraceRequest& request) const;
};

// A policy's decision.
struct Pick {
  std::size_t engine = 0;
  std::int64_t believed_pieces = 0;
  std::size_t import_pieces = 0;
  std::uint64_t dispatch = 0;
};

// A placement policy of all routers together. At least one engine is live in each choice.
class Policy {
 public:
  virtual ~Policy() = default;
  virtual Pick Choose(int router, const TraceRequest& request) = 0;
  virtual void OnFirstToken(std::size_t /*engine*/, const Job& /*job*/) {}
  virtual void OnEnd(std::size_t /*engine*/, const Job& /*job*/, std::int64_t /*cached_pieces*/) {}
  virtual void OnFailed(std::size_t /*engine*/, const Job& /*job*/) {}
  virtual void OnReport(std::size_t /*engine*/, std::int64_t /*incarnation*/,
                        const BackendLoad& /*load*/, Instant /*measured_at*/) {}
  virtual void OnIncarnation(std::size_t /*engine*/) {}
  virtual void OnEvents(const CacheEventBatch& /*batch*/) {}
  virtual void OnContents(const CacheContents& /*contents*/) {}
  virtual std::vector<std::string> NeedsResync() const { return {}; }
};

using MakePolicy = std::function<std::unique_ptr<Policy>(Fleet&, const Deployment&)>;

// Runs the trace to its end.
Result Simulate(const Deployment& deployment, const Conditions& conditions, std::uint64_t seed,
                const MakePolicy& make_policy);

}  // namespace kumquat::bench

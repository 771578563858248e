// Under which scope the memory of runs is cached, over drawn histories of configurations and moves.
#include "coordination/forwarding/run_cache_scope.h"

#include <doctest/doctest.h>

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "coordination/forwarding/route_index.h"

namespace kumquat {
namespace {

constexpr int kHistories = 500;
constexpr int kSteps = 200;
constexpr int kOrganisations = 4;
constexpr int kEngines = 3;
constexpr int kParts = 3;

// Each cached part has all organisations whose requests may have made it.
using Makers = std::set<int>;

struct Run {
  int organisation = 0;
  RunCacheScope scope;
  std::map<int, Makers> memory;
};

class CacheHistory {
 public:
  explicit CacheHistory(unsigned seed) : generator_(seed) { Configure(); }

  void Step() {
    switch (Draw(5)) {
      case 0:
        return Configure();
      case 1:
      case 2:
        return Begin();
      default:
        return Move();
    }
  }

  int uses_of_others() const { return uses_of_others_; }

 private:
  int Draw(int bound) { return static_cast<int>(generator_() % static_cast<unsigned>(bound)); }

  std::string ScopeInForce(int organisation) const {
    return RouteIndex(table_).CacheScopeOf(std::to_string(organisation));
  }
  bool IsIsolated(int organisation) const { return table_.organisations[organisation].is_isolated; }

  void Configure() {
    table_.organisations.clear();
    for (int i = 0; i < kOrganisations; ++i) {
      RoutedOrganisation organisation;
      organisation.name = std::to_string(i);
      organisation.is_isolated = Draw(3) == 0;
      table_.organisations.push_back(organisation);
    }
  }

  // Reads a part at an engine, from its cache if it is there.
  Makers Read(int engine, const Run& run, int part) {
    auto& cached = caches_[engine][run.scope.name()];
    const auto [found, is_new] = cached.try_emplace(part, Makers{run.organisation});
    if (is_new) return found->second;
    for (const int maker : found->second) {
      if (maker == run.organisation) continue;
      ++uses_of_others_;
      CHECK_FALSE(IsIsolated(maker));
      CHECK_FALSE(IsIsolated(run.organisation));
    }
    return found->second;
  }

  void Begin() {
    Run run{Draw(kOrganisations), RunCacheScope([this] { return generator_(); }), {}};
    run.scope.Begin(ScopeInForce(run.organisation));
    const int engine = Draw(kEngines);
    const int read = 1 + Draw(kParts);
    for (int part = 0; part < read; ++part) run.memory[part] = Read(engine, run, part);
    runs_.push_back(std::move(run));
  }

  // The engine caches the memory, and reads parts that it lacks.
  void Move() {
    if (runs_.empty()) return;
    Run& run = runs_[Draw(static_cast<int>(runs_.size()))];
    run.scope.GoOn(ScopeInForce(run.organisation));
    const int engine = Draw(kEngines);
    auto& cached = caches_[engine][run.scope.name()];
    for (const auto& [part, makers] : run.memory) {
      cached[part].insert(makers.begin(), makers.end());
    }
    for (int part = 0; part < kParts; ++part) {
      if (!run.memory.contains(part)) run.memory[part] = Read(engine, run, part);
    }
  }

  std::mt19937_64 generator_;
  RoutingTable table_;
  std::vector<Run> runs_;
  // Of each engine, by scope and part.
  std::map<int, std::map<std::string, std::map<int, Makers>>> caches_;
  int uses_of_others_ = 0;
};

}  // namespace

// Guards against memory that was computed under one configuration and cached under another.
TEST_CASE("However runs move and organisations are isolated, no cached part crosses a border") {
  int uses = 0;
  for (unsigned seed = 1; seed <= kHistories; ++seed) {
    CAPTURE(seed);
    CacheHistory history(seed);
    for (int step = 0; step < kSteps; ++step) history.Step();
    uses += history.uses_of_others();
  }
  // Organisations that may share do so.
  CHECK(uses > kHistories);
}

TEST_CASE("A run whose scope is still in force goes on under it") {
  RunCacheScope scope([] { return 7; });
  scope.Begin("shared");
  scope.GoOn("shared");
  CHECK(scope.name() == "shared");
}

TEST_CASE("A run that lost its scope keeps one of its own, until it begins anew") {
  std::mt19937_64 generator(1);
  RunCacheScope scope([&] { return generator(); });
  scope.Begin("shared");
  scope.GoOn("other");
  const std::string alone = scope.name();
  CHECK(alone != "shared");
  CHECK(alone != "other");
  scope.GoOn("shared");
  CHECK(scope.name() == alone);
  scope.Begin("shared");
  CHECK(scope.name() == "shared");
}

}  // namespace kumquat

// Tests StrikeTable with poison requests and bystanders (innocent requests that run on the same
// engines) in a simulated fleet of engines and routers.
#include "coordination/admission/strike_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>

#include "property.h"
#include "virtual_world.h"

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t kRouters = 3;
constexpr std::size_t kEngines = 12;
constexpr int kMaxAttempts = 4;
constexpr int kMaxSends = 4;

// Simulates engines and routers. A request runs on an engine for a while; a poison request kills
// the engine soon after its start. All requests that were running there get a strike and are
// retried. The caller of a failed poison request sends it again, through a random router. Routers
// exchange their strikes within 100 ms.
class Fleet {
 public:
  Fleet(std::uint64_t seed, bool with_table) : world_(seed), with_table_(with_table) {
    for (std::size_t i = 0; i < kRouters; ++i) {
      tables_.push_back(
          std::make_unique<StrikeTable>(StrikeTableOptions(), [i](const std::string& backend) {
            return static_cast<std::size_t>(std::stoi(backend)) % kRouters == i;
          }));
    }
  }

  // Sends `requests` requests, one every 20 ms; every `poison_every`th of them is poison.
  void Run(int requests, int poison_every) {
    for (int i = 0; i < requests; ++i) {
      const bool poison = i % poison_every == poison_every / 2;
      world_.After(milliseconds(20) * i, [this, i, poison] {
        Send({fmt::format("q{}", i), poison, 0, 0});
      });
    }
    Gossip();
    world_.Advance(milliseconds(20) * requests + seconds(60), [] {});
  }

  std::map<std::string, int> deaths;
  std::set<std::string> bystanders_condemned;
  std::set<std::string> bystanders_answered;
  std::set<std::string> bystanders_given_up;

 private:
  struct Request {
    std::string digest;
    bool poison;
    int sends;
    int attempts;
  };

  struct Execution {
    std::uint64_t id;
    std::size_t router;
    Request request;
    bool is_isolated;
    // Instant::max() for a poison request, which never gets a token.
    Instant first_token_at;
  };

  struct Engine {
    std::int64_t incarnation = 1;
    bool up = true;
    std::vector<Execution> running;
  };

  void Send(Request request) {
    ++request.sends;
    request.attempts = 0;
    Place(world_.Below(kRouters), request);
  }

  void Place(std::size_t router, const Request& request) {
    StrikeTable& table = *tables_[router];
    if (with_table_ &&
        table.StandingOf(request.digest, world_.now()) == RequestStanding::kCondemned) {
      if (!request.poison) bystanders_condemned.insert(request.digest);
      ResendLater(request);
      return;
    }
    if (request.attempts >= kMaxAttempts) {
      if (!request.poison) bystanders_given_up.insert(request.digest);
      ResendLater(request);
      return;
    }
    std::vector<std::size_t> choices;
    for (std::size_t i = 0; i < kEngines; ++i) {
      if (!engines_[i].up) continue;
      if (with_table_ && !table.MayPlace(request.digest, std::to_string(i), world_.now())) continue;
      choices.push_back(i);
    }
    if (choices.empty()) {
      world_.After(milliseconds(50), [=, this] { Place(router, request); });
      return;
    }
    Start(router, request, choices[world_.Below(choices.size())]);
  }

  void Start(std::size_t router, Request request, std::size_t engine) {
    ++request.attempts;
    const std::uint64_t id = ++next_id_;
    const bool is_isolated =
        tables_[router]->StandingOf(request.digest, world_.now()) == RequestStanding::kSuspect;
    const Instant first_token_at =
        request.poison ? Instant::max()
                       : world_.now() + world_.Between(milliseconds(10), milliseconds(100));
    engines_[engine].running.push_back({id, router, request, is_isolated, first_token_at});
    tables_[router]->OnStarted(request.digest, std::to_string(engine));
    const std::int64_t incarnation = engines_[engine].incarnation;
    const Duration time = request.poison ? world_.Between(milliseconds(20), milliseconds(200))
                                         : world_.Between(milliseconds(100), milliseconds(2000));
    world_.After(time, [=, this] {
      if (engines_[engine].incarnation != incarnation || !engines_[engine].up) return;
      if (request.poison) {
        ++deaths[request.digest];
        KillEngine(engine);
        return;
      }
      std::erase_if(engines_[engine].running, [id](const Execution& run) { return run.id == id; });
      tables_[router]->OnStopped(request.digest, std::to_string(engine));
      tables_[router]->OnSuccess(request.digest, world_.now());
      bystanders_answered.insert(request.digest);
    });
  }

  void KillEngine(std::size_t index) {
    Engine& engine = engines_[index];
    engine.up = false;
    const std::vector<Execution> victims = std::move(engine.running);
    engine.running.clear();
    for (const Execution& run : victims) {
      StrikeTable& table = *tables_[run.router];
      table.OnStopped(run.request.digest, std::to_string(index));
      table.AddStrike(run.request.digest,
                      {std::to_string(index), engine.incarnation, run.is_isolated,
                       world_.now() >= run.first_token_at},
                      world_.now());
      world_.After(milliseconds(20), [=, this] { Place(run.router, run.request); });
    }
    world_.After(seconds(2), [this, index] {
      ++engines_[index].incarnation;
      engines_[index].up = true;
    });
  }

  void ResendLater(const Request& request) {
    if (!request.poison || request.sends >= kMaxSends) return;
    world_.After(seconds(1), [=, this] { Send(request); });
  }

  void Gossip() {
    const Instant since = world_.now() - milliseconds(200);
    for (const auto& from : tables_) {
      const auto entries = from->ChangedSince(since, world_.now());
      for (const auto& to : tables_) {
        for (const StrikeEntry& entry : entries) to->Merge(entry, world_.now());
      }
    }
    world_.After(milliseconds(50), [this] { Gossip(); });
  }

  VirtualWorld world_;
  bool with_table_;
  std::vector<std::unique_ptr<StrikeTable>> tables_;
  std::array<Engine, kEngines> engines_;
  std::uint64_t next_id_ = 0;
};

int Sum(const std::map<std::string, int>& counts) {
  int sum = 0;
  for (const auto& [name, count] : counts) sum += count;
  return sum;
}

}  // namespace

TEST_CASE("A single poison request kills at most two engines, and every bystander is answered") {
  int deaths = 0;
  std::size_t poison = 0;
  CheckProperty("poison and bystanders", [&] {
    Fleet fleet(*rc::gen::arbitrary<std::uint64_t>(), true);
    // A single poison request among 400.
    fleet.Run(400, 400);
    for (const auto& [digest, count] : fleet.deaths) RC_ASSERT(count <= 2);
    RC_ASSERT(fleet.bystanders_condemned.empty());
    RC_ASSERT(fleet.bystanders_given_up.empty());
    RC_ASSERT(fleet.bystanders_answered.size() == 399U);
    deaths += Sum(fleet.deaths);
    poison += fleet.deaths.size();
  });
  int deaths_without_table = 0;
  std::size_t given_up_without_table = 0;
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    Fleet fleet(seed, false);
    fleet.Run(400, 400);
    deaths_without_table += Sum(fleet.deaths);
    given_up_without_table += fleet.bystanders_given_up.size();
  }
  MESSAGE("engines lost for each poison request: "
          << static_cast<double>(deaths_without_table) / 20
          << " without the table (bystanders given up: " << given_up_without_table
          << " in 20 runs), " << static_cast<double>(deaths) / static_cast<double>(poison)
          << " with it");
}

TEST_CASE(
    "A request with two strikes, none isolated, is a suspect; an isolated third one condemns it, "
    "and a success instead makes it clean") {
  StrikeTable table;
  const Instant now = seconds(1);
  table.AddStrike("request-1", {"engine-1", 1, false}, now);
  CHECK(table.AddStrike("request-1", {"engine-2", 1, false}, now) == RequestStanding::kSuspect);
  CHECK(!table.MayPlace("request-1", "engine-2", now));
  CHECK(table.MayPlace("request-1", "engine-3", now));
  StrikeTable table_with_isolated_strike = table;
  CHECK(table_with_isolated_strike.AddStrike("request-1", {"engine-3", 1, true}, now) ==
        RequestStanding::kCondemned);
  table.OnSuccess("request-1", now);
  CHECK(table.StandingOf("request-1", now) == RequestStanding::kClean);
}

// Reproduces a failure in router_storm_test: the engines of innocent chats were killed one after
// the other, the second time while the chat was an isolated suspect.
TEST_CASE("A request that made progress is condemned after four deaths instead of two") {
  const Instant now = seconds(1);
  StrikeTable table;
  table.AddStrike("innocent", {"engine-1", 1, false, true}, now);
  CHECK(table.AddStrike("innocent", {"engine-2", 1, true, true}, now) == RequestStanding::kSuspect);
  CHECK(table.AddStrike("innocent", {"engine-3", 1, true, true}, now) == RequestStanding::kSuspect);
  CHECK(table.AddStrike("innocent", {"engine-4", 1, true, true}, now) ==
        RequestStanding::kCondemned);

  StrikeTable poison;
  poison.AddStrike("poison", {"engine-1", 1, false, false}, now);
  CHECK(poison.AddStrike("poison", {"engine-2", 1, true, false}, now) ==
        RequestStanding::kCondemned);
}

// Reproduces a failure in router_storm_test: a request got 9 tokens from one engine, and the next
// engine was killed before the request's first token there.
TEST_CASE(
    "Progress on one dead engine raises the limit to four deaths, even without it on the next") {
  const Instant now = seconds(1);
  StrikeTable table;
  table.AddStrike("innocent", {"engine-1", 1, false, true}, now);
  CHECK(table.AddStrike("innocent", {"engine-2", 1, true, false}, now) ==
        RequestStanding::kSuspect);
  CHECK(table.AddStrike("innocent", {"engine-3", 1, true, false}, now) ==
        RequestStanding::kSuspect);
  CHECK(table.AddStrike("innocent", {"engine-4", 1, true, false}, now) ==
        RequestStanding::kCondemned);
}

// Reproduces a failure in router_storm_test: the first run of a request on an engine was given
// up before its first token because the engine sent nothing, and the engine was killed after 31
// tokens of the second run.
TEST_CASE(
    "A strike takes isolation from the last run on the incarnation and progress from any run") {
  const std::vector<Strike> runs = {{"engine-1", 7, false, false},
                                    {"engine-3", 5, true, false},
                                    {"engine-3", 5, false, true},
                                    {"engine-3", 6, true, false}};
  CHECK(StrikeFromLostRuns("engine-3", 5, runs) == Strike{"engine-3", 5, false, true});
  CHECK(StrikeFromLostRuns("engine-1", 7, runs) == Strike{"engine-1", 7, false, false});
  CHECK(StrikeFromLostRuns("engine-2", 1, runs) == Strike{"engine-2", 1, false, false});
}

TEST_CASE("A request with a strike from every engine may run on them again, up to four deaths") {
  const Instant now = seconds(1);
  const std::vector<std::string> engines = {"engine-1", "engine-2", "engine-3"};
  StrikeTable table;
  table.AddStrike("innocent", {"engine-1", 1, false, true}, now);
  table.AddStrike("innocent", {"engine-2", 1, true, true}, now);
  CHECK_FALSE(table.MayPlace("innocent", "engine-1", now, engines));
  CHECK(table.MayPlace("innocent", "engine-3", now, engines));
  table.AddStrike("innocent", {"engine-3", 1, true, true}, now);
  for (const std::string& engine : engines) CHECK(table.MayPlace("innocent", engine, now, engines));
  CHECK(table.AddStrike("innocent", {"engine-1", 2, true, true}, now) ==
        RequestStanding::kCondemned);
}

TEST_CASE("Each of several poison requests kills at most two engines") {
  int deaths = 0;
  std::size_t poison = 0;
  std::size_t condemned = 0;
  std::size_t bystanders = 0;
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    Fleet fleet(seed, true);
    fleet.Run(400, 25);
    for (const auto& [digest, count] : fleet.deaths) CHECK(count <= 2);
    deaths += Sum(fleet.deaths);
    poison += fleet.deaths.size();
    condemned += fleet.bystanders_condemned.size();
    bystanders += 384;
  }
  MESSAGE("a poison request each 500 ms: "
          << static_cast<double>(deaths) / static_cast<double>(poison)
          << " engines lost for each, bystanders condemned " << condemned << " of " << bystanders);
}

TEST_CASE(
    "Merging entries in reverse order gives the same table, the oldest entries above the maximum "
    "number and those above the maximum age are dropped, and no suspect is placed where another "
    "one runs") {
  CheckProperty("merging in reverse order", [] {
    const auto picks = *rc::gen::container<std::vector<int>>(30, rc::gen::inRange(0, 60));
    StrikeTable forward;
    StrikeTable backward;
    std::vector<StrikeEntry> entries;
    entries.reserve(picks.size());
    for (const int pick : picks) {
      entries.push_back({fmt::format("d{}", pick % 3),
                         {{fmt::format("e{}", pick % 4), pick % 2, pick % 5 == 0}},
                         pick / 30,
                         Duration(0)});
    }
    for (const StrikeEntry& entry : entries) forward.Merge(entry, seconds(1));
    std::reverse(entries.begin(), entries.end());
    for (const StrikeEntry& entry : entries) backward.Merge(entry, seconds(1));
    for (const StrikeEntry& entry : entries) RC_ASSERT(!backward.Merge(entry, seconds(1)));
    RC_ASSERT(forward.ChangedSince(seconds(0), seconds(1)) ==
              backward.ChangedSince(seconds(0), seconds(1)));
  });

  StrikeTable table({3, minutes(1)}, {});
  for (int i = 0; i < 9; ++i) {
    table.AddStrike(fmt::format("d{}", i), {"e", 1}, seconds(i));
    CHECK(table.size() <= 3);
  }
  CHECK(table.StandingOf("d8", seconds(9)) == RequestStanding::kSuspect);
  CHECK(table.StandingOf("d0", seconds(9)) == RequestStanding::kClean);
  CHECK(table.StandingOf("d8", seconds(70)) == RequestStanding::kClean);
  CHECK_FALSE(table.MayPlace("d8", "e", seconds(9)));
  CHECK(table.MayPlace("d8", "f", seconds(9)));
  table.OnStarted("d7", "f");
  CHECK_FALSE(table.MayPlace("d8", "f", seconds(9)));
  table.OnSuccess("d7", seconds(9));
  CHECK(table.MayPlace("d8", "f", seconds(9)));
}

}  // namespace kumquat

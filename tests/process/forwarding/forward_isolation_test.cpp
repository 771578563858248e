// Organisations that are isolated and no longer isolated while engines run: whose cached parts
// their requests may find.
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "process/forwarding/crash_bench.h"

namespace kumquat {
namespace {

// A configuration is in force everywhere after this long.
constexpr std::chrono::milliseconds kInForceTime{2000};
constexpr const char* kModel = "llm";

HttpHeaders PromptHeaders(ForwardBench& bench, std::string* id, const std::string& key) {
  HttpHeaders headers = bench.HeadersWithKey(id, key);
  headers.insert(headers.end(), {{"Kumquatcross-Model", kModel},
                                 {"Kumquatcross-Token-Count", "900,10"},
                                 {"Kumquatcross-Prompt-Prefix", "shared:800," + *id + ":100"}});
  return headers;
}

std::string SaltOfRequest(const std::vector<HttpRequest>& runs, const std::string& id) {
  for (const HttpRequest& run : runs) {
    if (run.Header("Kumquatcross-Request-Id") == id) {
      return std::string(run.Header("Kumquatcross-Cache-Salt"));
    }
  }
  return {};
}

// One engine, and requests of two organisations with the same shared part.
class IsolationBench {
 public:
  IsolationBench() {
    bench_.ServeByEngines(kModel);
    server_.SetWeights(kModel, 1);
    Configure(false);
    bench_.WaitForStatus(0, "/long/stream", 200);
  }

  void Configure(bool is_isolated) {
    bench_.SetIsolated(is_isolated);
    bench_.PutConfiguration(++version_);
    CrashBench::Wait(kInForceTime);
  }

  // Returns the salt under which the engine runs a request with this key.
  std::string SaltOf(int router, const std::string& key) {
    std::string id;
    const HttpHeaders headers = PromptHeaders(bench_, &id, key);
    const auto call =
        bench_.caller().Run(bench_.router_endpoint(router), "POST", "/long/stream", headers);
    CHECK(call->status == 200);
    return SaltOfRequest(server_.runs(), id);
  }

  void RestartRouter(int router) {
    bench_.router(router).Kill();
    bench_.router(router).Start();
    CHECK(SpinUntil([&] { return bench_.IsReady(router); }));
    bench_.WaitForStatus(router, "/long/stream", 200);
  }

 private:
  ForwardBench bench_;
  StandInServer server_{"s1", "desk", bench_.control()};
  int version_ = 1;
};

// Guards against parts that an organisation left in the cache before it was isolated, and that the
// requests of others find afterwards.
TEST_CASE("While an organisation is isolated, no request finds cached parts across its border") {
  IsolationBench bench;
  const std::string clerk_key = "clerk-key";
  const std::string owner_key = ForwardBench::kOtherKey;
  // Whose requests ever ran under a salt.
  std::map<std::string, std::set<std::string>> makers;
  for (const bool is_isolated : {false, true, false, true}) {
    bench.Configure(is_isolated);
    // Knows the newest configuration only, the other router all of them.
    bench.RestartRouter(1);
    std::set<std::string> owner_salts;
    for (int router = 0; router < ForwardBench::kRouters; ++router) {
      const std::string clerk_salt = bench.SaltOf(router, clerk_key);
      const std::string owner_salt = bench.SaltOf(router, owner_key);
      makers[clerk_salt].insert(clerk_key);
      makers[owner_salt].insert(owner_key);
      owner_salts.insert(owner_salt);
      CHECK((clerk_salt == owner_salt) == !is_isolated);
      if (!is_isolated) continue;
      CHECK(makers[clerk_salt] == std::set{clerk_key});
      CHECK(makers[owner_salt] == std::set{owner_key});
    }
    CHECK(owner_salts.size() == 1);
  }
}

// Engines that move their runs when new weights are named.
class MovedIsolationBench {
 public:
  MovedIsolationBench() : bench_(ForwardBench::kReplicas, 1, std::chrono::seconds(10)) {
    bench_.ServeByEngines(kModel);
    bench_.KeepStreamRoute("/draft/", std::chrono::seconds(20));
    bench_.PutConfiguration(2);
    bench_.PutWeightsVersion(kModel, 1);
    for (int i = 0; i < kEngines; ++i) {
      auto engine =
          std::make_unique<StandInServer>(fmt::format("e{}", i + 1), "desk", bench_.control());
      engine->SetMode(StandInServer::Mode::kWorksAsAsked);
      engine->SetSlots(kStreams);
      engine->SetWeights(kModel, 1);
      engine->ActAsEngine();
      engines_.push_back(std::move(engine));
    }
    bench_.WaitForStatus(0, "/once/look", 200);
  }

  ForwardBench& bench() { return bench_; }

  // Starts a stream and returns its id.
  std::string Start(const std::string& key, std::chrono::milliseconds length) {
    std::string id;
    const HttpHeaders headers = PromptHeaders(bench_, &id, key);
    calls_.push_back(caller_.Start(bench_.router_endpoint(0), "POST", "/draft/stream", headers,
                                   StandInServer::AskedWork{length}.ToBody()));
    return id;
  }

  void WaitForEnd() {
    CHECK(SpinUntil([&] {
      return std::all_of(calls_.begin(), calls_.end(),
                         [](const auto& call) { return call->done(); });
    }));
  }

  std::string SaltAtBegin(const std::string& id) const {
    return FindSalt(id, &StandInServer::runs);
  }
  // Returns an empty text if the run wasn't moved.
  std::string SaltAfterMove(const std::string& id) const {
    return FindSalt(id, &StandInServer::continued_runs);
  }

  static constexpr int kStreams = 24;

 private:
  static constexpr int kEngines = 4;

  std::string FindSalt(const std::string& id,
                       const std::vector<HttpRequest>& (StandInServer::*runs)() const) const {
    for (const auto& engine : engines_) {
      std::string salt = SaltOfRequest((engine.get()->*runs)(), id);
      if (!salt.empty()) return salt;
    }
    return {};
  }

  ForwardBench bench_;
  TestCaller caller_;
  std::vector<std::unique_ptr<StandInServer>> engines_;
  std::vector<std::unique_ptr<TestCall>> calls_;
};

// Guards against moved runs whose memory, with the parts of an organisation that has been isolated
// since, is cached at the next engine where requests of others find it.
TEST_CASE("Runs that are moved after an organisation was isolated share their memory with none") {
  MovedIsolationBench bench;
  std::set<std::string> moved;
  for (int i = 0; i < MovedIsolationBench::kStreams; ++i) {
    const std::string key = i % 2 == 0 ? "clerk-key" : ForwardBench::kOtherKey;
    moved.insert(bench.Start(key, std::chrono::seconds(10)));
  }
  CrashBench::Wait(std::chrono::milliseconds(500));
  bench.bench().SetIsolated(true);
  bench.bench().PutConfiguration(3);
  CrashBench::Wait(kInForceTime);
  bench.bench().PutWeightsVersion(kModel, 2);
  CrashBench::Wait(std::chrono::milliseconds(4000));
  std::set<std::string> others;
  for (int i = 0; i < MovedIsolationBench::kStreams; ++i) {
    others.insert(bench.Start(i % 2 == 0 ? "clerk-key" : ForwardBench::kOtherKey,
                              std::chrono::milliseconds(200)));
  }
  bench.WaitForEnd();
  std::map<std::string, std::set<std::string>> users;
  for (const std::string& id : moved) {
    const std::string salt = bench.SaltAfterMove(id);
    if (!salt.empty()) users[salt].insert(id);
  }
  // Without moves the case checks nothing.
  CHECK(!users.empty());
  for (const auto& [salt, ids] : users) CHECK(ids.size() == 1);
  for (const std::string& id : moved) CHECK(!users.contains(bench.SaltAtBegin(id)));
  for (const std::string& id : others) CHECK(!users.contains(bench.SaltAtBegin(id)));
}

// Guards against prompts without a model, which an engine would cache for all organisations.
TEST_CASE("A request to an engine that names no model shares no cached parts") {
  MovedIsolationBench bench;
  std::set<std::string> salts;
  for (int i = 0; i < 2; ++i) {
    std::string id;
    HttpHeaders headers = bench.bench().Headers(&id);
    headers.emplace_back("Kumquatcross-Prompt-Prefix", "shared:800");
    const auto call = bench.bench().caller().Run(bench.bench().router_endpoint(0), "POST",
                                                 "/again/look", headers);
    CHECK(call->status == 200);
    salts.insert(bench.SaltAtBegin(id));
  }
  CHECK(salts.size() == 2);
  CHECK(!salts.contains(""));
}

}  // namespace
}  // namespace kumquat

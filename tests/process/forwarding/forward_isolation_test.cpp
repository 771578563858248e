// Organisations that are isolated and no longer isolated while engines run: whose cached parts
// their requests may find.
#include <map>
#include <set>
#include <string>

#include "process/forwarding/crash_bench.h"

namespace kumquat {
namespace {

// A configuration is in force everywhere after this long.
constexpr std::chrono::milliseconds kInForceTime{2000};
constexpr const char* kModel = "llm";

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
    HttpHeaders headers = bench_.HeadersWithKey(&id, key);
    headers.insert(headers.end(), {{"Kumquatcross-Model", kModel},
                                   {"Kumquatcross-Token-Count", "900,10"},
                                   {"Kumquatcross-Prompt-Prefix", "shared:800," + id + ":100"}});
    const auto call =
        bench_.caller().Run(bench_.router_endpoint(router), "POST", "/long/stream", headers);
    CHECK(call->status == 200);
    for (const HttpRequest& run : server_.runs()) {
      if (run.Header("Kumquatcross-Request-Id") == id) {
        return std::string(run.Header("Kumquatcross-Cache-Salt"));
      }
    }
    return {};
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

}  // namespace
}  // namespace kumquat

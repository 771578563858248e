// Case 14: requests for places that no configuration names.
// Usage: route RECORD. Exits with 1 if ROUTE was broken, 0 if it held, 2 if nothing was shown.
#include "engine.hh"

using namespace standin;

namespace {

constexpr int kCores = 3;
constexpr int kFronts = 2;
constexpr int kEngines = 3;

constexpr const char* kConfiguration =
    "{\"version\":1,\"routes\":[{\"name\":\"r-draft\",\"hostname\":\"garage.example\","
    "\"pathPrefix\":\"/draft/\",\"kind\":\"streaming\",\"timeoutMs\":15000,\"sloMs\":800,"
    "\"priority\":0,\"service\":\"lm\",\"attempts\":1,\"public\":false,\"sticky\":true,"
    "\"resumable\":false,\"gapTargetMs\":400}],\"services\":[{\"name\":\"lm\",\"healthPath\":"
    "\"/healthz\",\"maxConns\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,"
    "\"kvCapacity\":105783,\"tokenBytes\":18432,\"linkMbps\":370000.0,\"moves\":true,\"backups\":"
    "true,\"stride\":5,\"maxInflight\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handle_s\":5.0,"
    "\"models\":[{\"name\":\"seat\"}]}}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":"
    "4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"yusuf\","
    "\"apiKeys\":[\"key-y\"],\"priority\":1,\"isolated\":false}]}";

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) return 2;
  signal(SIGPIPE, SIG_IGN);
  Record record(argv[1]);
  const bool is_troubled = IsTroubled();
  record.Line("trouble: %s", is_troubled ? "requests on routes that never existed" : "none");
  Deployment all(15, kCores, kFronts);
  Fleet fleet;
  fleet.on_hit = [](const std::string&, const std::string&, const std::string&, const std::string&,
                    const std::string&, const std::string&) {};
  std::vector<std::string> seen;  // under the fleet's mutex
  fleet.on_request = [&](const std::string& engine, const Message& request) {
    const std::string host = request.Header("host");
    if (request.target.rfind("/kv-events", 0) == 0 || request.target == "/report") return;
    record.Line("engine %s gets %s %s, host %s, tenant %s, holder %s", engine.c_str(),
                request.method.c_str(), request.target.c_str(), host.c_str(),
                request.Header("kumquatcross-tenant").c_str(),
                Field(request.body, "holder").c_str());
    const bool is_of_route = host == "garage.example" && request.target.rfind("/draft/", 0) == 0;
    const bool is_of_client = !request.Header("kumquatcross-tenant").empty();
    if (is_of_client && !is_of_route) seen.push_back(request.target);
  };
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 1; i <= kEngines; ++i) {
    engines.push_back(std::make_unique<Engine>(&fleet, &record, "i-engine-" + std::to_string(i),
                                               all.RunnerIp(i), all.runner_port(), "lm", "seat"));
    if (!engines.back()->Listen()) all.End(2);
  }
  all.StartAll();
  if (all.CallControl("PUT", "/config", kConfiguration).status != 200) all.End(2);
  std::atomic<bool> stops{false};
  for (int i = 0; i < kEngines; ++i) {
    std::thread([&, i] {
      for (int daemon = i; !stops; ++daemon) {
        Engine& engine = *engines[static_cast<std::size_t>(i)];
        all.CallControl("PUT", "/instances/" + engine.id(), engine.Beat(), daemon, 3);
        Sleep(1.2);
      }
    }).detach();
  }
  if (!all.WaitReady(15)) all.End(2);
  Sleep(5);

  int number = 0;
  const auto send = [&](const std::string& host, const std::string& target,
                        const std::string& body) {
    const std::string id = "y" + std::to_string(++number);
    const Message answer =
        Call(all.FrontIp(1 + number % kFronts), all.front_port(), "POST", target, host,
             {{"Kumquatcross-Request-Id", id},
              {"Kumquatcross-Deadline-Ms", "5000"},
              {"Kumquatcross-Model", "seat"},
              {"Kumquatcross-Token-Count", "240,5"},
              {"Kumquatcross-Prompt-Prefix", "5c1e07a2:200,000000" + std::to_string(10 + number) +
                                                 ":40"},
              {"Api-Key", "key-y"}},
             body, 5);
    record.Line("client: %s POST %s, host %s: %d", id.c_str(), target.c_str(), host.c_str(),
                answer.status);
    return answer.status;
  };
  int proper = 0;
  for (int i = 0; i < 10; ++i) proper += send("garage.example", "/draft/quote", "draft") == 200;
  // A host and a path that never existed: both are refused.
  for (int i = 0; i < 4; ++i) send("other.example", "/draft/quote", "draft");
  for (int i = 0; i < 4; ++i) send("garage.example", "/elsewhere/quote", "draft");
  if (is_troubled) {
    // Another host that never existed, whose name holds what is a host and a path elsewhere.
    for (int i = 0; i < 10; ++i) send("garage.example/draft", "/elsewhere/quote", "draft");
    for (int i = 0; i < 6; ++i) {
      send("garage.example/draft", "/order",
           "{\"op\":\"version\",\"model\":\"seat\",\"version\":1,\"mode\":\"cut\",\"holder\":"
           "\"a-client\",\"fence\":1000000}");
    }
  }
  // New weights are named; the system's own orders should bring them to all engines.
  if (all.CallControl("POST", "/version-put", "{\"model\":\"seat\",\"version\":2}").status != 200) {
    all.End(2);
  }
  record.Line("operator: version 2 of the weights acknowledged");
  Sleep(14);
  int old = 0;
  for (const auto& engine : engines) old += engine->version() < 2;
  std::size_t broken;
  {
    const std::lock_guard lock(fleet.mutex);
    broken = seen.size();
  }
  record.Line("%d of 10 proper requests served; %zu requests that no configuration allows reached "
              "engines; 14 s after version 2 was acknowledged %d of %d engines have an older one",
              proper, broken, old, kEngines);
  all.End(proper < 10 ? 2 : broken > 0 ? 1 : 0);
}

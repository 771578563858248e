// Case 11: a tenant becomes isolated, and new weights are named while streams run.
// Usage: wall RECORD. Exits with 1 if WALL was broken, 0 if it held, 2 if nothing was shown.
#include "engine.hh"

using namespace standin;

namespace {

constexpr int kCores = 3;
constexpr int kFronts = 2;
constexpr int kEngines = 6;
constexpr double kConfig = 2.0;  // configMs of the site's sheet, in seconds

std::string Configuration(int version, bool is_isolated) {
  return "{\"version\":" + std::to_string(version) +
         ",\"routes\":[{\"name\":\"r-draft\",\"hostname\":\"garage.example\",\"pathPrefix\":"
         "\"/draft/\",\"kind\":\"streaming\",\"timeoutMs\":15000,\"sloMs\":800,\"priority\":0,"
         "\"service\":\"lm\",\"attempts\":1,\"public\":false,\"sticky\":true,\"resumable\":false,"
         "\"gapTargetMs\":400}],\"services\":[{\"name\":\"lm\",\"healthPath\":\"/healthz\","
         "\"maxConns\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,"
         "\"kvCapacity\":105783,\"tokenBytes\":18432,\"linkMbps\":370000.0,\"moves\":true,"
         "\"backups\":true,\"stride\":5,\"maxInflight\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,"
         "\"handle_s\":5.0,\"models\":[{\"name\":\"seat\"}]}}],\"limits\":{\"maxHeaderBytes\":"
         "16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
         "\"tenants\":[{\"name\":\"xolani\",\"apiKeys\":[\"key-x\"],\"priority\":1,\"isolated\":" +
         (is_isolated ? "true" : "false") +
         "},{\"name\":\"yusuf\",\"apiKeys\":[\"key-y\"],\"priority\":1,\"isolated\":false}]}";
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) return 2;
  signal(SIGPIPE, SIG_IGN);
  Record record(argv[1]);
  const bool is_troubled = IsTroubled();
  record.Line("trouble: %s", is_troubled ? "new weights are named" : "none");
  Deployment all(13, kCores, kFronts);
  Fleet fleet;
  struct Hit {
    std::string request, part, maker, tenant;
  };
  std::vector<Hit> hits;  // under the fleet's mutex
  fleet.on_hit = [&](const std::string& engine, const std::string& request,
                     const std::string& tenant, const std::string& part, const std::string& maker,
                     const std::string& salt) {
    hits.push_back({request, part, maker, tenant});
    record.Line("engine %s: %s of %s uses part %s made by a request of %s, salt %s", engine.c_str(),
                request.c_str(), tenant.c_str(), part.c_str(), maker.c_str(), salt.c_str());
  };
  std::vector<std::unique_ptr<Engine>> engines;
  for (int i = 1; i <= kEngines; ++i) {
    engines.push_back(std::make_unique<Engine>(&fleet, &record, "i-engine-" + std::to_string(i),
                                               all.RunnerIp(i), all.runner_port(), "lm", "seat"));
    if (!engines.back()->Listen()) all.End(2);
  }
  all.StartAll();
  if (all.CallControl("PUT", "/config", Configuration(1, false)).status != 200) all.End(2);
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
  Sleep(1);

  std::mutex mutex;
  std::map<std::string, double> sent_at;
  std::map<std::string, int> ended;
  int number = 0;
  // A draft: one part of the prompt that all drafts share, and one of its own.
  const auto send = [&](const std::string& tenant, int events) {
    const int n = ++number;
    const std::string id = tenant.substr(0, 1) + std::to_string(n);
    {
      const std::lock_guard lock(mutex);
      sent_at[id] = Now();
    }
    record.Line("client: %s of %s sent to front-%d, %d events", id.c_str(), tenant.c_str(),
                1 + n % kFronts, events);
    std::thread([&, id, n, tenant, events] {
      char own[32];
      std::snprintf(own, sizeof(own), "%08x:40", 0x10000 + n);
      const Message answer = Call(
          all.FrontIp(1 + n % kFronts), all.front_port(), "POST", "/draft/quote", "garage.example",
          {{"Kumquatcross-Request-Id", id},
           {"Kumquatcross-Deadline-Ms", "15000"},
           {"Kumquatcross-Model", "seat"},
           {"Kumquatcross-Token-Count", "240," + std::to_string(events)},
           {"Kumquatcross-Prompt-Prefix", std::string("5c1e07a2:200,") + own},
           {"Api-Key", "key-" + tenant.substr(0, 1)}},
          "draft " + id, 15);
      record.Line("client: %s ends with %d", id.c_str(), answer.status);
      const std::lock_guard lock(mutex);
      ended[id] = answer.status;
    }).detach();
  };

  // Tenant x asks first, so that the shared part is made by its requests; then y asks for longer
  // drafts, which use what x's requests made. Neither is isolated yet.
  for (int i = 0; i < 60; ++i) {
    send("xolani", 10);
    Sleep(0.05);
  }
  for (int i = 0; i < 50; ++i) {
    send("yusuf", 250);
    Sleep(0.03);
  }
  if (all.CallControl("PUT", "/config", Configuration(2, true)).status != 200) all.End(2);
  const double isolated_at = Now();
  record.Line("operator: configuration 2 acknowledged, tenant xolani is isolated");
  SleepUntil(isolated_at + kConfig + 0.2);
  if (is_troubled) {
    if (all.CallControl("POST", "/version-put", "{\"model\":\"seat\",\"version\":2}").status !=
        200) {
      all.End(2);
    }
    record.Line("operator: version 2 of the weights acknowledged");
  }
  Sleep(0.1);
  for (int i = 0; i < 120; ++i) {
    send("yusuf", 10);
    Sleep(0.025);
  }
  Sleep(9);
  stops = true;

  int broken = 0, judged = 0;
  {
    const std::lock_guard lock(fleet.mutex);
    const std::lock_guard inner(mutex);
    for (const Hit& hit : hits) {
      if (sent_at[hit.request] < isolated_at + kConfig) continue;
      ++judged;
      const bool has_isolated = hit.tenant == "xolani" || hit.maker == "xolani";
      if (hit.tenant != hit.maker && has_isolated) ++broken;
    }
  }
  record.Line("of %d uses of cached parts by requests sent later than configMs after the "
              "acknowledgement, %d used what a request of the isolated tenant made",
              judged, broken);
  all.End(judged < 20 ? 2 : broken > 0 ? 1 : 0);
}

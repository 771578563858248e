// Case 12: model runners crash in quick succession; no request is to blame.
// Usage: crash RECORD. Exits with 1 if DENIED was broken, 0 if it held, 2 if nothing was shown.
#include "engine.hh"

using namespace standin;

namespace {

constexpr int kCores = 3;
constexpr int kFronts = 3;
constexpr int kEngines = 8;
constexpr int kPreambles = 4;
constexpr double kGap = 0.04;  // seconds from one crash to the next

constexpr const char* kConfiguration =
    "{\"version\":1,\"routes\":[{\"name\":\"r-spec\",\"hostname\":\"garage.example\","
    "\"pathPrefix\":\"/spec/\",\"kind\":\"streaming\",\"timeoutMs\":5000,\"sloMs\":500,"
    "\"priority\":1,\"service\":\"lm\",\"attempts\":2,\"public\":false,\"sticky\":true,"
    "\"resumable\":true,\"gapTargetMs\":400}],\"services\":[{\"name\":\"lm\",\"healthPath\":"
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
  record.Line("trouble: %s", is_troubled ? "runners crash one after the other" : "none");
  Deployment all(17, kCores, kFronts);
  Fleet fleet;
  fleet.on_hit = [](const std::string&, const std::string&, const std::string&, const std::string&,
                    const std::string&, const std::string&) {};
  std::atomic<bool> stops{false};
  std::atomic<int> incarnations{0};
  std::atomic<int> crashed_until[kEngines + 1] = {};
  // A place where one runner after the other lives; after a crash a new one comes a second later.
  const auto live = [&](int place) {
    while (!stops) {
      auto* engine = new Engine(&fleet, &record, "i-engine-" + std::to_string(++incarnations),
                                all.RunnerIp(place), all.runner_port(), "lm", "seat");
      engine->SetReading(0.12);
      for (int tries = 0; !engine->Listen() && tries < 100; ++tries) Sleep(0.02);
      const int before = crashed_until[place];
      for (int daemon = place; !stops && crashed_until[place] == before; ++daemon) {
        all.CallControl("PUT", "/instances/" + engine->id(), engine->Beat(), daemon, 1);
        for (int i = 0; i < 1200 && !stops && crashed_until[place] == before; ++i) Sleep(0.001);
      }
      engine->Crash();
      if (!stops) record.Line("engine %s crashes", engine->id().c_str());
      Sleep(1);
    }
  };
  all.StartAll();
  if (all.CallControl("PUT", "/config", kConfiguration).status != 200) all.End(2);
  for (int i = 1; i <= kEngines; ++i) std::thread(live, i).detach();
  if (!all.WaitReady(15)) all.End(2);
  Sleep(4);

  std::mutex mutex;
  std::map<int, int> ends;
  int sent = 0;
  std::thread([&] {
    for (int n = 0; !stops; ++n) {
      {
        const std::lock_guard lock(mutex);
        ++sent;
      }
      std::thread([&, n] {
        char prefix[80];
        std::snprintf(prefix, sizeof(prefix), "5c1e07a%d:2520,%08x:400", n % kPreambles,
                      0x20000 + n);
        const std::string id = "s" + std::to_string(n);
        record.Line("client: %s (preamble %d) sent to front-%d", id.c_str(), n % kPreambles,
                    1 + n % kFronts);
        const Message answer =
            Call(all.FrontIp(1 + n % kFronts), all.front_port(), "POST",
                 "/spec/" + std::to_string(n), "garage.example",
                 {{"Kumquatcross-Request-Id", id},
                  {"Kumquatcross-Deadline-Ms", "5000"},
                  {"Kumquatcross-Model", "seat"},
                  {"Kumquatcross-Token-Count", "2920,10"},
                  {"Kumquatcross-Prompt-Prefix", prefix},
                  {"Api-Key", "key-y"}},
                 "spec " + id, 5);
        record.Line("client: %s (preamble %d) ends with %d", id.c_str(), n % kPreambles,
                    answer.status);
        const std::lock_guard lock(mutex);
        ++ends[answer.status];
      }).detach();
      Sleep(0.025);
    }
  }).detach();
  Sleep(5);
  for (int storm = 0; storm < 3; ++storm) {
    const double begun = Now();
    for (int place = 1; is_troubled && place <= kEngines; ++place) {
      SleepUntil(begun + (place - 1) * kGap);
      ++crashed_until[place];
    }
    SleepUntil(begun + 8);
  }
  stops = true;
  Sleep(5.5);
  const std::lock_guard lock(mutex);
  const int denied = ends[422];
  record.Line("of %d proper requests %d ended with 200 and %d with 422; %d may end with a 4xx", sent,
              ends[200], denied, 5 + sent / 500);
  all.End(ends[200] < sent / 4 && denied == 0 ? 2 : denied > 5 + sent / 500 ? 1 : 0);
}

// The operator isolates a tenant by a new version of the configuration. Before that the tenant's
// requests made cached parts; after it another tenant's request with the same part must not use
// them.
#include "model_runner.hh"

using namespace standin;

namespace {

constexpr int kConfigMs = 2000;  // bounds.configMs
const std::string kPart = "5c1e07a2:800";

std::string Configuration(int version, bool is_isolated) {
  const std::string isolated = is_isolated ? "true" : "false";
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"r-1","hostname":"jepu9.example","pathPrefix":"/lepu270/",)"
         R"("kind":"streaming","timeoutMs":5000,"sloMs":500,"priority":1,"service":"huvo11a",)"
         R"("attempts":2,"public":false,"sticky":true,"resumable":true,"gapTargetMs":400}],)"
         R"("services":[{"name":"huvo11a","healthPath":"/healthz","maxConns":360,"protocol":"h1",)"
         R"("tls":false,"engine":{"slots":64,"kvCapacity":116883,"tokenBytes":18432,)"
         R"("linkMbps":370000.0,"moves":false,"backups":false,"stride":5,"maxInflight":12,)"
         R"("pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{"name":"daka510000"}]}}],)"
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
         R"("idleTimeoutMs":15000},"tenants":[{"name":"owner","apiKeys":["key-of-owner-1"],)"
         R"("priority":1,"isolated":)" +
         isolated +
         R"(},{"name":"other",)"
         R"("apiKeys":["key-of-other-1"],"priority":1,"isolated":false}]})";
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  const bool trouble = std::string(argv[4]) != "0";
  Record::Get().Open(argv[3]);
  Begin();
  Fleet fleet(argv[1], argv[2], 5, 3);
  fleet.Start();
  // Without the trouble the tenant is isolated from the start.
  if (!fleet.Put(Configuration(1, !trouble))) return 2;
  std::vector<std::unique_ptr<ModelRunner>> runners;
  for (int i = 0; i < 2; ++i) {
    runners.push_back(std::make_unique<ModelRunner>(&fleet, "i-7f3a91c" + std::to_string(i),
                                                    "huvo11a", "daka510000",
                                                    "zone-" + std::to_string(i), fleet.runner(i)));
    if (!runners.back()->Start()) return 2;
  }
  if (!fleet.WaitReady()) return 2;
  SleepMs(4000);
  int served = 0;
  int number = 0;
  const auto ask = [&](const std::string& tenant, int router) {
    const std::string id = tenant + "-" + std::to_string(++number);
    const auto until = Clock::now() + std::chrono::seconds(5);
    const int descriptor = Dial(fleet.front(router), until);
    if (descriptor < 0) return;
    const std::string fields = "Kumquatcross-Request-Id: " + id +
                               "\r\nKumquatcross-Model: daka510000\r\n"
                               "Kumquatcross-Token-Count: 810,80\r\n"
                               "Kumquatcross-Prompt-Prefix: " +
                               kPart + ",9" + std::to_string(1000 + number) + ":10\r\n" +
                               "Kumquatcross-Deadline-Ms: 5000\r\nApi-Key: key-of-" + tenant +
                               "-1\r\n";
    std::string buffer;
    Answer answer;
    if (SendAll(descriptor, RequestBytes("POST", "/lepu270/2f", "jepu9.example", fields, "{}"),
                until)) {
      answer = ReadAnswer(descriptor, &buffer, until);
    }
    close(descriptor);
    Record::Get().Line("client: %s of tenant %s: %d", id.c_str(), tenant.c_str(), answer.status);
    if (answer.status == 200) ++served;
  };
  for (int i = 0; i < 6; ++i) ask("owner", i % 3);
  SleepMs(1000);
  if (trouble) {
    if (!fleet.Put(Configuration(2, true))) return 2;
    Record::Get().Line("version 2, by which tenant owner is isolated, is acknowledged");
  }
  // Well past the time by which every router must obey the version.
  SleepMs(2 * kConfigMs + 1000);
  const int first_after = number + 1;
  for (int i = 0; i < 6; ++i) ask("other", i % 3);
  SleepMs(200);
  int breaks = 0;
  for (const auto& runner : runners) {
    for (const CacheUse& use : runner->uses()) {
      const int asked = std::atoi(use.request.substr(use.request.find('-') + 1).c_str());
      const bool is_other = use.tenant != use.maker.tenant;
      const bool is_walled = use.tenant == "owner" || use.maker.tenant == "owner";
      if (asked >= first_after && is_other && is_walled) ++breaks;
    }
  }
  for (auto& runner : runners) runner->Stop();
  fleet.End();
  Record::Get().Line("%d of 12 requests served; %d uses of an isolated tenant's cache by another",
                     served, breaks);
  if (served < 10) return 2;
  Record::Get().Line("%s", breaks ? "BROKEN" : "HELD");
  std::fflush(nullptr);
  _exit(breaks ? 1 : 0);
}

// A tenant's requests leave a shared part of their prompts in the KV cache of a model server. A new
// configuration isolates the tenant. Looks whether requests of another tenant use that part later on.
#include "kit.hh"

using namespace kit;

namespace {

constexpr char kModel[] = "draft-model";
constexpr char kIsolated[] = "clerks";
constexpr char kOther[] = "owners";
constexpr char kPart[] = "a1b2c3d4";

// The leading parts that the server keeps, by salt and id, with the tenant whose request made them.
std::mutex cache_mutex;
std::map<std::pair<std::string, std::string>, std::string> cache;
std::atomic<int> uses{0};
std::atomic<int> runs{0};
std::atomic<bool> is_isolated{false};

std::string Json(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

bool Handle(Runner& runner, const Channel& channel, const Request& request) {
  const std::string models = std::string("[{\"name\":\"") + kModel + "\",\"version\":1,\"adapters\":[]}]";
  if (request.target.rfind("/kv-events", 0) == 0) {
    SleepMs(800);
    return channel.Send(Json("{\"bootEpoch\":7,\"next\":1,\"lost\":false,\"events\":[]}"));
  }
  if (request.target == "/report") {
    return channel.Send(Json("{\"stage\":\"both\",\"models\":" + models +
                             ",\"busy\":false,\"seq\":0,\"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":90000,"
                             "\"handles\":0}"));
  }
  const std::string tenant = request.Header("Kumquatcross-Tenant");
  const std::string salt = request.Header("Kumquatcross-Cache-Salt");
  ++runs;
  RecordDetail("run by " + runner.id() + " " + request.Header("Kumquatcross-Request-Id") + " of " + tenant + ", salt '" +
               salt + "'");
  {
    const std::lock_guard lock(cache_mutex);
    const auto [held, is_new] = cache.try_emplace({salt, kPart}, tenant);
    if (!is_new && held->second != tenant && is_isolated) {
      if (++uses <= 3) {
        Record("a request of %s uses the part %s that a request of %s made, salt '%s'", tenant.c_str(), kPart,
               held->second.c_str(), salt.c_str());
      }
    }
  }
  const std::string event = "id: 1\ndata: token\n\n";
  return channel.Send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nKumquatcross-Request-Id: " +
                      request.Header("Kumquatcross-Request-Id") + "\r\nKumquatcross-Server-Stamp: " + runner.stamp() +
                      "\r\nKumquatcross-Weight-Versions: 1\r\nContent-Length: " + std::to_string(event.size()) +
                      "\r\n\r\n" + event);
}

std::string Config(int version, bool isolated) {
  return "{\"version\":" + std::to_string(version) +
         ",\"routes\":[{\"name\":\"r-draft\",\"hostname\":\"desk.example\",\"pathPrefix\":\"/draft/\",\"kind\":"
         "\"streaming\",\"timeoutMs\":5000,\"sloMs\":500,\"priority\":1,\"service\":\"drafts\",\"attempts\":2,"
         "\"public\":false,\"sticky\":true,\"resumable\":true,\"gapTargetMs\":400}],\"services\":[{\"name\":\"drafts\","
         "\"healthPath\":\"/healthz\",\"maxConns\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,"
         "\"kvCapacity\":116883,\"tokenBytes\":18432,\"linkMbps\":370000.0,\"moves\":true,\"backups\":true,\"stride\":5,"
         "\"maxInflight\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"" +
         kModel +
         "\"}]}}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
         "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"" +
         kIsolated + "\",\"apiKeys\":[\"key-of-" + kIsolated + "\"],\"priority\":1,\"isolated\":" +
         (isolated ? "true" : "false") + "},{\"name\":\"" + kOther + "\",\"apiKeys\":[\"key-of-" + kOther +
         "\"],\"priority\":1,\"isolated\":false}]}";
}

int Send(Deployment& deployment, const char* tenant, int count) {
  int answered = 0;
  for (int i = 0; i < count; ++i) {
    const std::string id = NewId();
    const Answer answer = Call(deployment.Front(i % 3), "POST", "/draft/1",
                               {{"Host", "desk.example"},
                                {"Kumquatcross-Request-Id", id},
                                {"Kumquatcross-Deadline-Ms", "5000"},
                                {"Kumquatcross-Model", kModel},
                                {"Kumquatcross-Token-Count", "900,10"},
                                {"Kumquatcross-Prompt-Prefix", std::string(kPart) + ":800," + id + ":100"},
                                {"Api-Key", std::string("key-of-") + tenant}},
                               "draft", 5000);
    answered += answer.status == 200 && answer.whole ? 1 : 0;
    SleepMs(20);
  }
  return answered;
}

}  // namespace

int main() {
  OpenRecord();
  Deployment deployment(Options{});
  deployment.StartAll();
  const int port = FreePort({"127.81.3.1"});
  std::vector<Address> control;
  for (int i = 0; i < deployment.options().controls; ++i) control.push_back(deployment.ControlApi(i));
  Runner server("server-0", "drafts", Address{"127.81.3.1", port}, control, Handle);
  server.SetModels(std::string("[{\"name\":\"") + kModel + "\",\"version\":1,\"adapters\":[]}]");
  server.slots = 64;
  server.Start();
  // Without the disruption the tenant is isolated from the start.
  if (!deployment.PutConfig(Config(7, !Trouble())) || !deployment.WaitReady()) {
    Record("the system did not come up");
    return 2;
  }
  is_isolated = !Trouble();
  SleepMs(4000);
  Record("%d of 20 requests of %s answered", Send(deployment, kIsolated, 20), kIsolated);
  if (Trouble()) {
    const bool acked = deployment.PutConfig(Config(9, true));
    Record("version 9, in which %s is isolated, is %s", kIsolated, acked ? "acknowledged" : "not acknowledged");
    if (!acked) return 2;
  }
  SleepMs(5000);
  is_isolated = true;
  const int others = Send(deployment, kOther, 20);
  Record("%d of 20 requests of %s answered", others, kOther);
  Record("%d runs; %d requests used what a request of another tenant had made", runs.load(), uses.load());
  if (others < 10) {
    Record("the case could not run");
    return 2;
  }
  Record(uses > 0 ? "WALL is broken" : "the rule held");
  return uses > 0 ? 1 : 0;
}

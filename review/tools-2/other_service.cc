// Heartbeats of another writer: it lists two of the model servers, at their addresses, under ids of its
// own and a service that no configuration names. Then new weights are named. Looks which servers
// have them when the time for that is long over.
#include "kit.hh"

using namespace kit;

namespace {

constexpr int kServers = 6;
constexpr int kListed = 2;
constexpr int kVersionMs = 10000;
constexpr int kVersionAllMs = 14000;
constexpr int kLoadMs = 830;
constexpr char kKey[] = "ctnfzs989anu6wsjnban";
constexpr char kModel[] = "daka510000";

struct Engine {
  int version = 1;
  int orders = 0;
  bool busy = false;
  int runs = 0;
};
std::mutex engines_mutex;
std::map<std::string, Engine> engines;

std::string Json(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Answer\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

int NumberIn(const std::string& body, const std::string& key) {
  const auto at = body.find("\"" + key + "\":");
  return at == std::string::npos ? -1 : std::atoi(body.c_str() + at + key.size() + 3);
}

std::string Models(int version) {
  return std::string("[{\"name\":\"") + kModel + "\",\"version\":" + std::to_string(version) + ",\"adapters\":[]}]";
}

bool HandleOrder(Runner& runner, const Channel& channel, const Request& request) {
  const int version = NumberIn(request.body, "version");
  std::unique_lock lock(engines_mutex);
  Engine& engine = engines[runner.id()];
  Record("%s is ordered to load version %d", runner.id().c_str(), version);
  if (engine.busy || NumberIn(request.body, "expected") != engine.orders) return channel.Send(Json(409, "{}"));
  if (engine.version == version) return channel.Send(Json(200, "{}"));
  ++engine.orders;
  engine.busy = true;
  lock.unlock();
  std::thread([&runner, version] {
    SleepMs(kLoadMs);
    const std::lock_guard done(engines_mutex);
    engines[runner.id()].version = version;
    engines[runner.id()].busy = false;
    runner.SetModels(Models(version));
  }).detach();
  return channel.Send(Json(202, "{}"));
}

bool Handle(Runner& runner, const Channel& channel, const Request& request) {
  if (request.target == "/order") return HandleOrder(runner, channel, request);
  if (request.target.rfind("/kv-events", 0) == 0) {
    SleepMs(800);
    return channel.Send(Json(200, "{\"bootEpoch\":7,\"next\":1,\"lost\":false,\"events\":[]}"));
  }
  const std::lock_guard lock(engines_mutex);
  Engine& engine = engines[runner.id()];
  if (request.target == "/report") {
    return channel.Send(Json(200, "{\"stage\":\"both\",\"models\":" + Models(engine.version) + ",\"busy\":" +
                                      (engine.busy ? "true" : "false") + ",\"seq\":" + std::to_string(engine.orders) +
                                      ",\"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":90000,\"handles\":0}"));
  }
  const std::string expected = request.Header("Kumquatcross-Expect-Version");
  if (!expected.empty() && std::atoi(expected.c_str()) != engine.version) {
    return channel.Send("HTTP/1.1 421 Misdirected\r\nKumquatcross-Weight-Versions: " + std::to_string(engine.version) +
                        "\r\nKumquatcross-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
  }
  if (engine.busy) {
    return channel.Send("HTTP/1.1 503 Busy\r\nKumquatcross-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
  }
  ++engine.runs;
  const std::string event = "id: 1\ndata: token\n\n";
  return channel.Send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nKumquatcross-Request-Id: " +
                      request.Header("Kumquatcross-Request-Id") + "\r\nKumquatcross-Server-Stamp: " + runner.stamp() +
                      "\r\nKumquatcross-Weight-Versions: " + std::to_string(engine.version) + "\r\nContent-Length: " +
                      std::to_string(event.size()) + "\r\n\r\n" + event);
}

}  // namespace

int main() {
  OpenRecord();
  Deployment deployment(Options{});
  deployment.StartAll();
  std::vector<std::string> ips;
  for (int i = 0; i < kServers; ++i) ips.push_back("127.81.3." + std::to_string(i + 1));
  const int port = FreePort(ips);
  std::vector<Address> control;
  for (int i = 0; i < deployment.options().controls; ++i) control.push_back(deployment.ControlApi(i));
  std::vector<std::unique_ptr<Runner>> servers;
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<Runner>("i-7f3a91c" + std::to_string(i), "huvo11a", Address{ips[i], port},
                                               control, Handle));
    servers.back()->SetModels(Models(1));
    servers.back()->slots = 64;
    engines[servers.back()->id()] = Engine{};
    servers.back()->Start();
  }
  const std::string config =
      std::string("{\"version\":7,\"routes\":[{\"name\":\"r-draft\",\"hostname\":\"jepu9.example\",\"pathPrefix\":"
                  "\"/draft/\",\"kind\":\"streaming\",\"timeoutMs\":5000,\"sloMs\":500,\"priority\":1,\"service\":"
                  "\"huvo11a\",\"attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"gapTargetMs\":400}],"
                  "\"services\":[{\"name\":\"huvo11a\",\"healthPath\":\"/healthz\",\"maxConns\":360,\"protocol\":\"h1\","
                  "\"tls\":false,\"engine\":{\"slots\":64,\"kvCapacity\":116883,\"tokenBytes\":18432,\"linkMbps\":"
                  "370000.0,\"moves\":true,\"backups\":true,\"stride\":5,\"maxInflight\":12,\"pinMs\":4000.0,\"holdMs\":"
                  "2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"") +
      kModel +
      "\"}]}}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
      "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"sese880\",\"apiKeys\":[\"ctnfzs989anu6wsjnban\"],"
      "\"priority\":1,\"isolated\":false}]}";
  if (!deployment.PutConfig(config) || !deployment.WaitReady()) {
    Record("the system did not come up");
    return 2;
  }
  SleepMs(4000);

  std::atomic<bool> ends{false};
  std::atomic<int> answered{0};
  std::atomic<int> failed{0};
  std::thread caller([&] {
    for (int i = 0; !ends; ++i) {
      const std::string id = NewId();
      const Answer answer = Call(deployment.Front(i % 3), "POST", "/draft/1",
                                 {{"Host", "jepu9.example"},
                                  {"Kumquatcross-Request-Id", id},
                                  {"Kumquatcross-Deadline-Ms", "5000"},
                                  {"Kumquatcross-Model", kModel},
                                  {"Kumquatcross-Token-Count", "900,10"},
                                  {"Kumquatcross-Prompt-Prefix", "5c1e07a2:800," + id + ":100"},
                                  {"Api-Key", kKey}},
                                 "draft", 5000);
      ++(answer.status == 200 && answer.whole ? answered : failed);
      SleepMs(15);
    }
  });
  std::thread writer([&] {
    const std::int64_t born = UnixMs();
    for (int seq = 1; !ends && Trouble(); ++seq) {
      for (int i = 0; i < kListed; ++i) {
        const std::string body = "{\"service\":\"prometheus-scrape\",\"addr\":\"" + servers[i]->address().Text() +
                                 "\",\"zone\":\"zone-0\",\"version\":\"v1\",\"slots\":1,\"state\":\"ready\","
                                 "\"coldLeftMs\":0,\"born\":" + std::to_string(born) + ",\"seq\":" +
                                 std::to_string(seq) + "}";
        const Answer answer = Call(control[seq % 5], "PUT", "/instances/scrape-" + std::to_string(i),
                                   {{"Content-Type", "application/json"}}, body, 1000);
        if (seq == 1) {
          Record("the other writer lists %s as of service prometheus-scrape: answered %d",
                 servers[i]->address().Text().c_str(), answer.status);
        }
      }
      SleepMs(1200);
    }
  });
  SleepMs(6000);
  const bool named =
      deployment.Operator("POST", "/version-put", std::string("{\"model\":\"") + kModel + "\",\"version\":2}", 5000);
  Record("version 2 is %s", named ? "acknowledged" : "not acknowledged");
  SleepMs(std::max(kVersionAllMs, kVersionMs * 3 / 2) + 6000);
  ends = true;
  caller.join();
  writer.join();
  SleepMs(1000);
  int older = 0;
  {
    const std::lock_guard lock(engines_mutex);
    for (const auto& [id, engine] : engines) {
      Record("%s has version %d, got %d orders, ran %d requests", id.c_str(), engine.version, engine.orders,
             engine.runs);
      older += engine.version < 2 ? 1 : 0;
    }
  }
  Record("clients: %d answered, %d failed", answered.load(), failed.load());
  if (!named || answered < 100) {
    Record("the case could not run");
    return 2;
  }
  const bool broken = older > 1 && older * 10 > kServers;
  Record("%d of %d servers have an older version %d ms after the acknowledgement", older, kServers,
         std::max(kVersionAllMs, kVersionMs * 3 / 2) + 6000);
  Record(broken ? "VERSION is broken" : "the rule held");
  return broken ? 1 : 0;
}

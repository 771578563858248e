// Heartbeats of another writer, whose ids end with a line end that the path encodes. Compares each
// request that a server runs with what its client sent.
#include "kit.hh"

using namespace kit;

namespace {

constexpr int kServers = 4;
constexpr char kKey[] = "clerks-key-1";
constexpr char kTenant[] = "clerks";

std::mutex sent_mutex;
std::map<std::string, std::string> sent;  // bodies by request id
std::atomic<int> sound_runs{0};
std::atomic<int> changed_runs{0};
std::atomic<int> answered{0};
std::atomic<int> wrong{0};
std::atomic<int> failed{0};

bool Handle(Runner& runner, const Channel& channel, const Request& request) {
  if (request.target == "/healthz") {
    channel.Send("HTTP/1.1 200 OK\r\nKumquatcross-Instance-Id: " + runner.id() + "\r\nContent-Length: 0\r\n\r\n");
    return true;
  }
  const std::string id = request.Header("Kumquatcross-Request-Id");
  if (id.empty() || request.method.empty()) {
    channel.Send("HTTP/1.1 400 Bad Request\r\nKumquatcross-Not-Run: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    return false;
  }
  const std::string expected = request.Header("Kumquatcross-Expect-Instance");
  if (!expected.empty() && expected != runner.id()) {
    channel.Send("HTTP/1.1 421 Misdirected\r\nKumquatcross-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    return true;
  }
  std::string wanted;
  {
    const std::lock_guard lock(sent_mutex);
    wanted = sent[id];
  }
  const bool is_same = request.body == wanted && request.Header("Kumquatcross-Tenant") == kTenant;
  ++(is_same ? sound_runs : changed_runs);
  if (!is_same && changed_runs <= 5) {
    Record("server %s runs %s of tenant '%s' with %zu bytes of body; the client sent %zu, and its tenant is %s",
           runner.id().c_str(), id.c_str(), request.Header("Kumquatcross-Tenant").c_str(), request.body.size(),
           wanted.size(), kTenant);
  }
  SleepMs(20);
  return channel.Send(runner.Success(request, "booked: " + request.body));
}

Headers HeadersOf(const std::string& id) {
  return {{"Host", "desk.example"},
          {"Kumquatcross-Request-Id", id},
          {"Kumquatcross-Deadline-Ms", "2500"},
          {"Api-Key", kKey}};
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
    servers.push_back(std::make_unique<Runner>("server-" + std::to_string(i), "bookings", Address{ips[i], port},
                                               control, Handle));
    servers.back()->Start();
  }
  const std::string config =
      "{\"version\":7,\"routes\":[{\"name\":\"r-book\",\"hostname\":\"desk.example\",\"pathPrefix\":\"/book/\","
      "\"kind\":\"non_idempotent\",\"timeoutMs\":2500,\"sloMs\":150,\"priority\":2,\"service\":\"bookings\","
      "\"attempts\":1,\"public\":false,\"sticky\":false,\"resumable\":false}],\"services\":[{\"name\":\"bookings\","
      "\"healthPath\":\"/healthz\",\"maxConns\":96,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
      "\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
      "\"tenants\":[{\"name\":\"clerks\",\"apiKeys\":[\"clerks-key-1\"],\"priority\":1,\"isolated\":false}]}";
  if (!deployment.PutConfig(config) || !deployment.WaitReady()) {
    Record("the system did not come up");
    return 2;
  }
  SleepMs(4000);

  std::atomic<bool> ends{false};
  std::vector<std::thread> callers;
  for (int c = 0; c < 4; ++c) {
    callers.emplace_back([&, c] {
      for (int i = 0; !ends; ++i) {
        const std::string id = NewId();
        const std::string body = "bay " + std::to_string(c * 100000 + i);
        {
          const std::lock_guard lock(sent_mutex);
          sent[id] = body;
        }
        const Answer answer =
            Call(deployment.Front((c + i) % 3), "POST", "/book/" + std::to_string(c), HeadersOf(id), body, 2500);
        if (answer.status == 200 && answer.whole) {
          ++answered;
          if (answer.body != "booked: " + body && ++wrong <= 3) {
            Record("the client of %s gets 200 with '%s'; it sent '%s'", id.c_str(), answer.body.c_str(), body.c_str());
          }
        } else {
          ++failed;
        }
        SleepMs(50);
      }
    });
  }
  SleepMs(3000);
  Record("before: %d sound runs, %d changed runs", sound_runs.load(), changed_runs.load());
  // The other writer registers one of the servers under an id with a line end, every 1.2 s.
  if (Trouble()) {
    const std::int64_t born = UnixMs();
    for (int seq = 1; seq <= 10; ++seq) {
      const std::string body = "{\"service\":\"bookings\",\"addr\":\"" + servers[0]->address().Text() +
                               "\",\"zone\":\"zone-0\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
                               "\"coldLeftMs\":0,\"born\":" + std::to_string(born) + ",\"seq\":" +
                               std::to_string(seq) + "}";
      const Answer answer = Call(control[seq % 5], "PUT", "/instances/" + servers[0]->id() + "%0D%0A",
                                 {{"Content-Type", "application/json"}}, body, 1000);
      Record("the other writer's heartbeat of %s%%0D%%0A is answered %d", servers[0]->id().c_str(), answer.status);
      SleepMs(1200);
    }
  } else {
    SleepMs(12000);
  }
  ends = true;
  for (std::thread& caller : callers) caller.join();
  Record("clients: %d answered, %d of these with what another body gives, %d failed", answered.load(), wrong.load(),
         failed.load());
  Record("servers: %d sound runs, %d runs with a changed body or tenant", sound_runs.load(), changed_runs.load());
  if (sound_runs < 100) {
    Record("the case could not run");
    return 2;
  }
  Record(changed_runs > 0 ? "UNASKED is broken" : "the rule held");
  return changed_runs > 0 ? 1 : 0;
}

// A request crashes each server that runs it, and its client leaves before that. It comes again every
// few seconds. Counts how often the request reaches servers later than contactMs after its third
// crash.
#include "kit.hh"

using namespace kit;

namespace {

constexpr int kContactMs = 3000;
constexpr int kServers = 10;
constexpr int kMostRetries = 3;
// The deadly request runs for so long before it crashes its server; its client leaves before that.
constexpr int kRunsForMs = 100;
constexpr int kLeavesAfterMs = 75;
constexpr char kKey[] = "clerks-key-1";

std::mutex arrivals_mutex;
std::vector<double> arrivals;
std::atomic<int> sound_ok{0};
std::atomic<int> sound_failed{0};

bool Handle(Runner& runner, const Channel& channel, const Request& request) {
  if (request.target == "/healthz") {
    channel.Send("HTTP/1.1 200 OK\r\nKumquatcross-Instance-Id: " + runner.id() + "\r\nContent-Length: 0\r\n\r\n");
    return true;
  }
  if (request.body == "deadly") {
    {
      const std::lock_guard lock(arrivals_mutex);
      arrivals.push_back(NowMs());
    }
    Record("server %s begins the deadly request %s", runner.id().c_str(),
           request.Header("Kumquatcross-Request-Id").c_str());
    SleepMs(kRunsForMs);
    Record("server %s crashes", runner.id().c_str());
    runner.Crash(2000);
    return false;
  }
  SleepMs(20);
  return channel.Send(runner.Success(request, "done"));
}

Headers HeadersOf(const std::string& id) {
  return {{"Host", "desk.example"},
          {"Kumquatcross-Request-Id", id},
          {"Kumquatcross-Deadline-Ms", "2500"},
          {"Api-Key", kKey}};
}

// Sends the deadly request. With the disruption the client leaves half its objective later; without it,
// it waits for the answer, and repeats the request once at another daemon.
void SendDeadly(Deployment& deployment, int round) {
  for (int attempt = 0; attempt < 2; ++attempt) {
    const int router = (round + attempt) % 3;
    const std::string id = NewId();
    Record("the client sends the deadly request %s to front-%d", id.c_str(), router);
    if (Trouble()) {
      const int fd = ConnectTo(deployment.Front(router), 1000);
      if (fd < 0 || !SendAll(fd, RequestText("POST", "/cards/9/x", HeadersOf(id), "deadly"))) {
        Record("the client could not send it");
      }
      const Answer answer = ReadAnswer(fd, NowMs() + kLeavesAfterMs);
      if (fd >= 0) close(fd);
      if (answer.status == 0) Record("the client leaves");
      if (answer.status != 0) Record("the client gets %d", answer.status);
      return;
    }
    const Answer answer = Call(deployment.Front(router), "POST", "/cards/9/x", HeadersOf(id), "deadly", 2500);
    Record("the client gets %d", answer.status);
    if (answer.status >= 400 && answer.status < 500 && answer.status != 429 && answer.status != 408) return;
  }
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
      "{\"version\":7,\"routes\":[{\"name\":\"r-cards\",\"hostname\":\"desk.example\",\"pathPrefix\":\"/cards/\","
      "\"kind\":\"idempotent\",\"timeoutMs\":2500,\"sloMs\":150,\"priority\":2,\"service\":\"bookings\","
      "\"attempts\":2,\"public\":false,\"sticky\":false,\"resumable\":false}],\"services\":[{\"name\":\"bookings\","
      "\"healthPath\":\"/healthz\",\"maxConns\":96,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
      "\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
      "\"tenants\":[{\"name\":\"clerks\",\"apiKeys\":[\"clerks-key-1\"],\"priority\":1,\"isolated\":false}]}";
  if (!deployment.PutConfig(config) || !deployment.WaitReady()) {
    Record("the system did not come up");
    return 2;
  }
  SleepMs(5000);

  // Sound callers, 60 requests a second over all routers.
  std::atomic<bool> ends{false};
  std::vector<std::thread> callers;
  for (int c = 0; c < 6; ++c) {
    callers.emplace_back([&, c] {
      for (int i = 0; !ends; ++i) {
        const Answer answer = Call(deployment.Front((c + i) % 3), "POST", "/cards/" + std::to_string(c) + "/x",
                                   HeadersOf(NewId()), "card " + std::to_string(c * 100000 + i), 2500);
        ++(answer.status == 200 ? sound_ok : sound_failed);
        SleepMs(75);
      }
    });
  }
  SleepMs(5000);
  for (int round = 0; round < 9; ++round) {
    SendDeadly(deployment, round);
    SleepMs(4000);
  }
  ends = true;
  for (std::thread& caller : callers) caller.join();
  Record("sound requests: %d answered, %d failed", sound_ok.load(), sound_failed.load());
  int late = 0;
  const std::lock_guard lock(arrivals_mutex);
  if (arrivals.size() < 3 || sound_ok < 500) {
    Record("the case could not run");
    return 2;
  }
  const double third = arrivals[2] + kRunsForMs;
  for (const double arrival : arrivals) late += arrival > third + kContactMs ? 1 : 0;
  Record("third crash at %.1f ms; %zu arrivals in all; %d arrivals later than %d ms after the third crash", third,
         arrivals.size(), late, kContactMs);
  const bool broken = late > kMostRetries;
  Record(broken ? "BUDGET is broken" : "the rule held");
  return broken ? 1 : 0;
}

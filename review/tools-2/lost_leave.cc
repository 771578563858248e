// Servers that never report that they drain: each says DELETE first, goes on serving for some
// seconds, and exits. The control process that has acknowledged the DELETE is killed right after.
// Counts the requests that reach the server later than drainMs after that acknowledgement, while
// all machines are in touch again.
#include "kit.hh"

using namespace kit;

namespace {

constexpr int kContactMs = 3000;
constexpr int kDrainMs = 2000;
// How long a server goes on serving after its DELETE was acknowledged.
constexpr int kServesOnMs = 9000;
constexpr int kRestartsAfterMs = 500;
// So that what is counted was also taken from its client while all machines were in touch.
constexpr int kMarginMs = 500;
constexpr int kLeaving = 6;
constexpr int kStaying = 4;
constexpr char kKey[] = "clerks-key-1";

std::mutex arrivals_mutex;
std::map<std::string, std::vector<double>> arrivals;
std::atomic<int> sound_ok{0};
std::atomic<int> sound_failed{0};

bool Handle(Runner& runner, const Channel& channel, const Request& request) {
  if (request.target == "/healthz") {
    channel.Send("HTTP/1.1 200 OK\r\nKumquatcross-Instance-Id: " + runner.id() + "\r\nContent-Length: 0\r\n\r\n");
    return true;
  }
  {
    const std::lock_guard lock(arrivals_mutex);
    arrivals[runner.id()].push_back(NowMs());
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

// Sends the DELETE of the server on one connection; returns whether it was acknowledged. The
// process is killed as soon as the acknowledgement is read.
bool LeaveAndKill(const Address& control, const std::string& id, Process* victim, double* acked_at) {
  const int fd = ConnectTo(control, 1000);
  if (fd < 0) return false;
  const std::string text = RequestText("DELETE", "/instances/" + id, {{"Host", control.Text()}}, "");
  char buffer[4096];
  ssize_t count = -1;
  if (SendAll(fd, text)) count = recv(fd, buffer, sizeof(buffer), 0);
  *acked_at = NowMs();
  const bool acked = count >= 12 && std::memcmp(buffer, "HTTP/1.1 200", 12) == 0;
  if (acked && victim) {
    victim->Signal(SIGKILL);
    Record("killed within %.3f ms of the acknowledgement", NowMs() - *acked_at);
  }
  close(fd);
  return acked;
}

}  // namespace

int main() {
  OpenRecord();
  Deployment deployment(Options{});
  deployment.StartAll();
  std::vector<std::string> ips;
  for (int i = 0; i < kLeaving + kStaying; ++i) ips.push_back("127.81.3." + std::to_string(i + 1));
  const int port = FreePort(ips);
  std::vector<Address> control;
  for (int i = 0; i < deployment.options().controls; ++i) control.push_back(deployment.ControlApi(i));
  std::vector<std::unique_ptr<Runner>> servers;
  for (int i = 0; i < kLeaving + kStaying; ++i) {
    servers.push_back(std::make_unique<Runner>("server-" + std::to_string(100 + i), "bookings", Address{ips[i], port},
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

  // Sound callers over all routers.
  std::atomic<bool> ends{false};
  std::vector<std::thread> callers;
  for (int c = 0; c < 8; ++c) {
    callers.emplace_back([&, c] {
      for (int i = 0; !ends; ++i) {
        const Answer answer = Call(deployment.Front((c + i) % 3), "POST", "/cards/" + std::to_string(c) + "/x",
                                   HeadersOf(NewId()), "card " + std::to_string(c * 100000 + i), 2500);
        ++(answer.status == 200 ? sound_ok : sound_failed);
        SleepMs(20);
      }
    });
  }
  SleepMs(2000);
  int broken_cases = 0;
  int late_arrivals = 0;
  int acknowledged = 0;
  for (int i = 0; i < kLeaving; ++i) {
    Runner& server = *servers[i];
    const int victim = i % deployment.options().controls;
    server.silent_beats = true;
    SleepMs(300);
    double acked_at = 0;
    const bool acked = LeaveAndKill(deployment.ControlApi(victim), server.id(),
                                    Trouble() ? &deployment.control(victim) : nullptr, &acked_at);
    double calm_since = acked_at;
    if (Trouble()) {
      deployment.control(victim).Kill();
      SleepMs(kRestartsAfterMs);
      deployment.StartControl(victim, false);
      calm_since = NowMs() + kContactMs + kMarginMs;
    }
    Record("core-%d %s the DELETE of %s%s", victim, acked ? "acknowledged" : "did not acknowledge", server.id().c_str(),
           Trouble() ? ", was killed and started again" : "");
    acknowledged += acked ? 1 : 0;
    SleepMs(acked_at + kServesOnMs - NowMs());
    int late = 0;
    double last = 0;
    {
      const std::lock_guard lock(arrivals_mutex);
      for (const double at : arrivals[server.id()]) {
        const bool counts = at > acked_at + kDrainMs && at > calm_since;
        late += counts ? 1 : 0;
        last = std::max(last, at);
      }
    }
    Record("%s got its last request %.0f ms after the acknowledgement; %d later than drainMs, with all in touch",
           server.id().c_str(), last - acked_at, late);
    if (acked && late > 0) ++broken_cases;
    if (acked) late_arrivals += late;
    server.Crash(1e9);  // It exits.
  }
  ends = true;
  for (std::thread& caller : callers) caller.join();
  Record("sound requests: %d answered, %d failed", sound_ok.load(), sound_failed.load());
  Record("%d of %d DELETEs acknowledged; %d of these were lost, with %d late requests", acknowledged, kLeaving,
         broken_cases, late_arrivals);
  if (acknowledged == 0 || sound_ok < 500) {
    Record("the case could not run");
    return 2;
  }
  Record(broken_cases > 0 ? "DRAIN is broken" : "the rule held");
  return broken_cases > 0 ? 1 : 0;
}

// Heartbeats of another writer in which a field is missing and another has the wrong type. Counts the
// requests that run at a server of a service to which no configuration sends them.
#include "kit.hh"

using namespace kit;

namespace {

constexpr int kBooking = 3;
constexpr int kOther = 3;
constexpr char kKey[] = "clerks-key-1";

std::atomic<int> own_runs{0};
std::atomic<int> foreign_runs{0};
std::atomic<int> answered{0};
std::atomic<int> foreign_answers{0};
std::atomic<int> failed{0};

// A server of bookings answers "booked", one of the other service "looked up".
Runner::Handler ServerOf(const std::string& path, const std::string& answer) {
  return [path, answer](Runner& runner, const Channel& channel, const Request& request) {
    if (request.target == "/healthz") {
      return channel.Send("HTTP/1.1 200 OK\r\nKumquatcross-Instance-Id: " + runner.id() +
                          "\r\nContent-Length: 0\r\n\r\n");
    }
    const std::string expected = request.Header("Kumquatcross-Expect-Instance");
    if (!expected.empty() && expected != runner.id()) {
      return channel.Send("HTTP/1.1 421 Misdirected\r\nKumquatcross-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    }
    const bool is_own = request.target.rfind(path, 0) == 0;
    ++(is_own ? own_runs : foreign_runs);
    if (!is_own && foreign_runs <= 3) {
      Record("server %s of the other service runs %s, request %s", runner.id().c_str(), request.target.c_str(),
             request.Header("Kumquatcross-Request-Id").c_str());
    }
    SleepMs(20);
    return channel.Send(runner.Success(request, answer));
  };
}

std::string RouteTo(const std::string& path, const std::string& kind, const std::string& service) {
  return "{\"name\":\"r-" + service + "\",\"hostname\":\"desk.example\",\"pathPrefix\":\"" + path + "\",\"kind\":\"" +
         kind + "\",\"timeoutMs\":2500,\"sloMs\":150,\"priority\":2,\"service\":\"" + service +
         "\",\"attempts\":1,\"public\":false,\"sticky\":false,\"resumable\":false}";
}

std::string Service(const std::string& name) {
  return "{\"name\":\"" + name + "\",\"healthPath\":\"/healthz\",\"maxConns\":96,\"protocol\":\"h1\",\"tls\":false}";
}

}  // namespace

int main() {
  OpenRecord();
  Deployment deployment(Options{});
  deployment.StartAll();
  std::vector<std::string> ips;
  for (int i = 0; i < kBooking + kOther; ++i) ips.push_back("127.81.3." + std::to_string(i + 1));
  const int port = FreePort(ips);
  std::vector<Address> control;
  for (int i = 0; i < deployment.options().controls; ++i) control.push_back(deployment.ControlApi(i));
  std::vector<std::unique_ptr<Runner>> servers;
  for (int i = 0; i < kBooking + kOther; ++i) {
    const bool books = i < kBooking;
    servers.push_back(std::make_unique<Runner>("server-" + std::to_string(i), books ? "bookings" : "lookups",
                                               Address{ips[i], port}, control,
                                               books ? ServerOf("/book/", "booked") : ServerOf("/look/", "looked up")));
    servers.back()->Start();
  }
  const std::string config =
      "{\"version\":7,\"routes\":[" + RouteTo("/book/", "non_idempotent", "bookings") + "," +
      RouteTo("/look/", "idempotent", "lookups") + "],\"services\":[" + Service("bookings") + "," + Service("lookups") +
      "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
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
        const Headers headers = {{"Host", "desk.example"},
                                 {"Kumquatcross-Request-Id", id},
                                 {"Kumquatcross-Deadline-Ms", "2500"},
                                 {"Api-Key", kKey}};
        const Answer answer =
            Call(deployment.Front((c + i) % 3), "POST", "/book/" + std::to_string(c), headers, "bay", 2500);
        if (answer.status == 200 && answer.whole) {
          ++answered;
          if (answer.body != "booked") ++foreign_answers;
        } else {
          ++failed;
        }
        SleepMs(50);
      }
    });
  }
  SleepMs(3000);
  Record("before: %d runs at servers of bookings, %d at others", own_runs.load(), foreign_runs.load());
  if (Trouble()) {
    const Runner& listed = *servers[kBooking];
    const std::int64_t born = UnixMs();
    for (int seq = 1; seq <= 8; ++seq) {
      // No "version"; "coldLeftMs" isn't a number.
      const std::string body = "{\"service\":\"bookings\",\"addr\":\"" + listed.address().Text() +
                               "\",\"zone\":\"zone-0\",\"slots\":6,\"state\":\"ready\",\"coldLeftMs\":\"none\","
                               "\"born\":" + std::to_string(born) + ",\"seq\":" + std::to_string(seq) + "}";
      const Answer answer = Call(control[seq % 5], "PUT", "/instances/" + listed.id(),
                                 {{"Content-Type", "application/json"}}, body, 1000);
      Record("the other writer's heartbeat of %s is answered %d", listed.id().c_str(), answer.status);
      SleepMs(1200);
    }
  } else {
    SleepMs(9600);
  }
  ends = true;
  for (std::thread& caller : callers) caller.join();
  Record("clients: %d bookings answered, %d of these by the other service, %d failed", answered.load(),
         foreign_answers.load(), failed.load());
  Record("bookings: %d run at servers of bookings, %d at servers of the other service", own_runs.load(),
         foreign_runs.load());
  if (own_runs < 100) {
    Record("the case could not run");
    return 2;
  }
  Record(foreign_runs > 0 ? "ROUTE is broken" : "the rule held");
  return foreign_runs > 0 ? 1 : 0;
}

// Case 13: a server's departure is acknowledged, and then all processes are killed and started again.
// Usage: departure RECORD. Exits with 1 if DRAIN was broken, 0 if it held, 2 if nothing was shown.
#include "common.hh"

using namespace standin;

namespace {

constexpr int kCores = 5;
constexpr int kFronts = 3;
constexpr int kRunners = 3;
// The bounds of the site's sheet, in seconds.
constexpr double kDrain = 2.0;
constexpr double kContact = 3.0;
// "Twice that, if a final fault took most of the core" (RULES.md, Stable).
constexpr double kInTouchAfter = 2 * kContact;
constexpr const char* kKey = "key-of-the-garage";
constexpr const char* kHost = "garage.example";

struct Runner {
  std::string id;
  std::int64_t born = 0;
  std::atomic<std::int64_t> seq{0};
  std::atomic<bool> beats{true};
  std::unique_ptr<Server> server;
};

std::string Beat(const Runner& runner, std::int64_t seq) {
  return "{\"service\":\"workshop\",\"addr\":\"" + runner.server->ip() + ":" +
         std::to_string(runner.server->port()) +
         "\",\"zone\":\"khomas-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
         "\"coldLeftMs\":0,\"born\":" +
         std::to_string(runner.born) + ",\"seq\":" + std::to_string(seq) + "}";
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) return 2;
  signal(SIGPIPE, SIG_IGN);
  Record record(argv[1]);
  const bool is_troubled = IsTroubled();
  record.Line("trouble: %s", is_troubled ? "all processes are killed at once" : "none");
  Deployment all(14, kCores, kFronts);
  std::mutex mutex;
  struct Arrival {
    std::string runner, request;
    double at;
  };
  std::vector<Arrival> arrivals;

  std::vector<std::unique_ptr<Runner>> runners;
  for (int i = 1; i <= kRunners; ++i) {
    auto runner = std::make_unique<Runner>();
    runner->id = "i-runner-" + std::to_string(i);
    runner->born = UnixMillis() - 1000 + i;
    Runner* self = runner.get();
    runner->server = std::make_unique<Server>(
        all.RunnerIp(i), all.runner_port(), [&, self](int fd, const Message& request) {
          const std::string id = request.Header("kumquatcross-request-id");
          Headers headers = {{"Kumquatcross-Request-Id", id}};
          if (request.Header("kumquatcross-expect-instance") != self->id) {
            return SendAll(fd, AnswerText(421, headers, ""));
          }
          {
            const std::lock_guard lock(mutex);
            arrivals.push_back({self->id, id, Now()});
          }
          record.Line("runner %s runs %s", self->id.c_str(), id.c_str());
          Sleep(0.03);
          headers.emplace_back("Kumquatcross-Server-Stamp", "stamp." + self->id);
          return SendAll(fd, AnswerText(200, headers, "booked " + id));
        });
    if (!runner->server->Listen()) all.End(2);
    runners.push_back(std::move(runner));
  }
  all.StartAll();
  const std::string configuration =
      "{\"version\":1,\"routes\":[{\"name\":\"r-book\",\"hostname\":\"garage.example\","
      "\"pathPrefix\":\"/book/\",\"kind\":\"non_idempotent\",\"timeoutMs\":1200,\"sloMs\":150,"
      "\"priority\":2,\"service\":\"workshop\",\"attempts\":1,\"public\":false,\"sticky\":false,"
      "\"resumable\":false}],\"services\":[{\"name\":\"workshop\",\"healthPath\":\"/healthz\","
      "\"maxConns\":100,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
      "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{"
      "\"name\":\"garage\",\"apiKeys\":[\"key-of-the-garage\"],\"priority\":1,\"isolated\":"
      "false}]}";
  if (all.CallControl("PUT", "/config", configuration).status != 200) all.End(2);
  record.Line("operator: configuration 1 acknowledged");

  std::atomic<bool> stops{false};
  std::vector<std::thread> threads;
  for (int i = 0; i < kRunners; ++i) {
    threads.emplace_back([&, i] {
      Runner& runner = *runners[static_cast<std::size_t>(i)];
      int daemon = i;
      while (!stops) {
        if (runner.beats) {
          const std::int64_t seq = ++runner.seq;
          all.CallControl("PUT", "/instances/" + runner.id, Beat(runner, seq), daemon++, 3);
        }
        Sleep(1.2);
      }
    });
  }
  if (!all.WaitReady(15)) all.End(2);
  record.Line("all routers are ready");

  // Clients: a booking each 40 ms, each on a connection of its own, at the routers in turn.
  std::map<std::string, double> sent_at;
  std::map<std::string, int> answered;
  threads.emplace_back([&] {
    for (int n = 0; !stops; ++n) {
      const std::string id = "b" + std::to_string(n);
      {
        const std::lock_guard lock(mutex);
        sent_at[id] = Now();
      }
      record.Line("client: %s sent to front-%d", id.c_str(), 1 + n % kFronts);
      std::thread([&, id, n] {
        const Message answer =
            Call(all.FrontIp(1 + n % kFronts), all.front_port(), "POST", "/book/bay", kHost,
                 {{"Kumquatcross-Request-Id", id},
                  {"Kumquatcross-Deadline-Ms", "2500"},
                  {"Api-Key", kKey}},
                 "bay=" + id, 2.5);
        record.Line("client: %s at front-%d ends with %d", id.c_str(), 1 + n % kFronts,
                    answer.status);
        const std::lock_guard lock(mutex);
        answered[id] = answer.status;
      }).detach();
      Sleep(0.04);
    }
  });
  Sleep(6);  // longer than contactMs since the start

  // Runner 3 sends a heartbeat that is held up on its way, and then leaves by a DELETE. It goes on
  // serving for some seconds, as the page says.
  Runner& leaver = *runners[2];
  leaver.beats = false;
  Sleep(1.3);
  const std::string late_beat = Beat(leaver, ++leaver.seq);
  const double beat_sent = Now();
  record.Line("runner %s sends a heartbeat (ready, seq %lld), which is held up", leaver.id.c_str(),
              static_cast<long long>(leaver.seq.load()));
  const Message gone = all.CallControl("DELETE", "/instances/" + leaver.id, "", 1, 5);
  const double acknowledged = Now();
  if (gone.status != 200) all.End(2);
  record.Line("control acknowledges that %s is gone", leaver.id.c_str());

  SleepUntil(acknowledged + 0.3);
  if (is_troubled) {
    for (Child& child : all.cores) child.Kill();
    for (Child& child : all.fronts) child.Kill();
    record.Line("all processes of the system are killed");
    all.EndBootstrap();
    Sleep(0.6);
    all.StartAll();
    record.Line("all processes of the system are started again");
  }
  const double calm_from = Now();
  SleepUntil(acknowledged + 2.6);
  const Message late = Call(all.CoreIp(1), all.control_port(), "PUT", "/instances/" + leaver.id,
                            "control", {{"Content-Type", "application/json"}}, late_beat, 1.0);
  record.Line("the held up heartbeat arrives %.1f s late: %d", Now() - beat_sent, late.status);
  if (!all.WaitReady(5)) all.End(2);
  const double judged_from =
      std::max(acknowledged + kDrain, calm_from + (is_troubled ? kInTouchAfter : 0)) + 0.5;
  SleepUntil(judged_from + 3);
  record.Line("runner %s exits", leaver.id.c_str());
  leaver.server->Crash();
  Sleep(1.5);
  stops = true;
  Sleep(3);

  int broken = 0, judged = 0, lost = 0;
  {
    const std::lock_guard lock(mutex);
    for (const Arrival& arrival : arrivals) {
      if (sent_at[arrival.request] < judged_from) continue;
      ++judged;
      if (arrival.runner != leaver.id) continue;
      ++broken;
      if (answered[arrival.request] != 200) ++lost;
    }
  }
  record.Line("of %d requests that were sent later than %.1f s after the acknowledgement, by "
              "machines in touch, %d reached the server that is gone; %d of them got no answer",
              judged, judged_from - acknowledged, broken, lost);
  all.End(judged < 20 ? 2 : broken > 0 ? 1 : 0);
}

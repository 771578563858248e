// Case 15: a request that crashes the servers which run it is repeated by a client that doesn't wait.
// Usage: poison RECORD. Exits with 1 if BUDGET was broken, 0 if it held, 2 if nothing was shown.
#include "common.hh"

using namespace standin;

namespace {

constexpr int kCores = 5;
constexpr int kFronts = 4;
constexpr int kRunners = 10;
constexpr double kContact = 3.0;  // contactMs of the site's sheet, in seconds
constexpr double kBackAfter = 3.0;
constexpr const char* kHost = "garage.example";

constexpr const char* kConfiguration =
    "{\"version\":1,\"routes\":[{\"name\":\"r-card\",\"hostname\":\"garage.example\","
    "\"pathPrefix\":\"/card/\",\"kind\":\"idempotent\",\"timeoutMs\":1200,\"sloMs\":150,"
    "\"priority\":2,\"service\":\"workshop\",\"attempts\":2,\"public\":false,\"sticky\":false,"
    "\"resumable\":false},{\"name\":\"r-book\",\"hostname\":\"garage.example\",\"pathPrefix\":"
    "\"/book/\",\"kind\":\"non_idempotent\",\"timeoutMs\":1200,\"sloMs\":150,\"priority\":2,"
    "\"service\":\"workshop\",\"attempts\":1,\"public\":false,\"sticky\":false,\"resumable\":"
    "false}],\"services\":[{\"name\":\"workshop\",\"healthPath\":\"/healthz\",\"maxConns\":100,"
    "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":"
    "4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"garage\","
    "\"apiKeys\":[\"key-of-the-garage\"],\"priority\":1,\"isolated\":false}]}";

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) return 2;
  signal(SIGPIPE, SIG_IGN);
  Record record(argv[1]);
  const bool is_troubled = IsTroubled();
  record.Line("trouble: %s", is_troubled ? "the client repeats at once"
                                           : "none; the client waits before it repeats");
  Deployment all(16, kCores, kFronts);
  std::mutex mutex;
  std::vector<double> crashes;
  std::vector<std::pair<std::string, double>> reached;  // the deadly requests
  std::atomic<bool> stops{false};
  std::atomic<int> incarnations{0};

  // A place where one runner after the other lives: after each crash a new one, some seconds later.
  const auto live = [&](int place) {
    while (!stops) {
      const std::string id = "i-runner-" + std::to_string(++incarnations);
      const std::int64_t born = UnixMillis();
      auto crashed = std::make_shared<std::atomic<bool>>(false);
      auto* server = new Server(
          all.RunnerIp(place), all.runner_port(),
          [&, id, crashed](int fd, const Message& request) {
            const std::string name = request.Header("kumquatcross-request-id");
            Headers headers = {{"Kumquatcross-Request-Id", name}};
            if (request.Header("kumquatcross-expect-instance") != id) {
              return SendAll(fd, AnswerText(421, headers, ""));
            }
            if (request.target == "/card/deadly") {
              record.Line("runner %s begins %s and crashes", id.c_str(), name.c_str());
              {
                const std::lock_guard lock(mutex);
                if (!crashed->exchange(true)) crashes.push_back(Now());
                reached.emplace_back(name, Now());
              }
              Sleep(0.1);
              return false;
            }
            record.Line("runner %s runs %s", id.c_str(), name.c_str());
            Sleep(0.06);
            headers.emplace_back("Kumquatcross-Server-Stamp", "stamp." + id);
            return !*crashed && SendAll(fd, AnswerText(200, headers, "done " + name));
          });
      for (int tries = 0; !server->Listen() && tries < 50; ++tries) Sleep(0.05);
      for (int seq = 1, daemon = place; !*crashed && !stops; ++seq) {
        all.CallControl("PUT", "/instances/" + id,
                        "{\"service\":\"workshop\",\"addr\":\"" + server->ip() + ":" +
                            std::to_string(server->port()) +
                            "\",\"zone\":\"khomas-a\",\"version\":\"v1\",\"slots\":6,\"state\":"
                            "\"ready\",\"coldLeftMs\":0,\"born\":" +
                            std::to_string(born) + ",\"seq\":" + std::to_string(seq) + "}",
                        daemon++, 3);
        for (int i = 0; i < 600 && !*crashed && !stops; ++i) Sleep(0.002);
      }
      server->Crash();
      for (int i = 0; i < 30 && !stops; ++i) Sleep(kBackAfter / 30);
    }
  };
  all.StartAll();
  if (all.CallControl("PUT", "/config", kConfiguration).status != 200) all.End(2);
  for (int i = 1; i <= kRunners; ++i) std::thread(live, i).detach();
  if (!all.WaitReady(15)) all.End(2);
  Sleep(4);

  std::atomic<int> lost{0}, booked{0};
  std::thread([&] {
    for (int n = 0; !stops; ++n) {
      std::thread([&, n] {
        const std::string id = "b" + std::to_string(n);
        record.Line("client: booking %s sent to front-%d", id.c_str(), 1 + n % kFronts);
        const Message answer = Call(all.FrontIp(1 + n % kFronts), all.front_port(), "POST",
                                    "/book/bay", kHost,
                                    {{"Kumquatcross-Request-Id", id},
                                     {"Kumquatcross-Deadline-Ms", "2500"},
                                     {"Api-Key", "key-of-the-garage"}},
                                    "bay=" + id, 2.5);
        record.Line("client: booking %s ends with %d", id.c_str(), answer.status);
        (answer.status == 200 ? booked : lost)++;
      }).detach();
      Sleep(0.02);
    }
  }).detach();
  std::map<std::string, double> deadly_sent;  // under `mutex`
  std::atomic<int> number{0};
  const auto send_deadly = [&](int front) {
    const std::string id = "d" + std::to_string(++number);
    {
      const std::lock_guard lock(mutex);
      deadly_sent[id] = Now();
    }
    record.Line("client: deadly %s sent to front-%d", id.c_str(), front);
    const Message answer = Call(all.FrontIp(front), all.front_port(), "GET", "/card/deadly", kHost,
                                {{"Kumquatcross-Request-Id", id},
                                 {"Kumquatcross-Deadline-Ms", "2500"},
                                 {"Api-Key", "key-of-the-garage"}},
                                "", 2.5);
    record.Line("client: deadly %s at front-%d ends with %d", id.c_str(), front, answer.status);
  };
  // The request comes again and again, with more than contactMs in between. Each time its client
  // sends it once and repeats it three times, at another machine each time.
  const int lost_before = lost;
  for (int round = 0; round < 5; ++round) {
    const double begun = Now();
    for (int front = 1; front <= kFronts; ++front) {
      send_deadly(front);
      if (!is_troubled) Sleep(0.5);
    }
    SleepUntil(begun + kBackAfter + 2);
  }
  stops = true;
  Sleep(3);
  double third = 0;
  std::set<std::string> late;
  int crashed_late = 0;
  {
    const std::lock_guard lock(mutex);
    std::sort(crashes.begin(), crashes.end());
    if (crashes.size() >= 3) third = crashes[2];
    for (const auto& [id, at] : reached) {
      if (third > 0 && deadly_sent[id] > third + kContact) late.insert(id);
    }
    for (const double at : crashes) crashed_late += third > 0 && at > third + kContact;
  }
  record.Line("%zu requests of this content that were sent later than contactMs after it had crashed "
              "the third server reached servers, and crashed %d more of %d; %d bookings of others "
              "were lost in all, %d served",
              late.size(), crashed_late, kRunners, lost - lost_before, booked.load());
  all.End(third == 0 ? 2 : late.size() > 3 ? 1 : 0);
}

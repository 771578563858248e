// Clerks read job cards; for one card, which many of them read, the service answers 500 each time.
// Runners crash, one at a time and each many seconds after the one before. The system must go on to
// pass reads of that card to the runners: no crash was its doing, as every runner has answered it.
#include "fleet.hh"

using namespace standin;

namespace {

constexpr int kRunners = 3;
constexpr int kRouters = 3;
constexpr int kHot = 8;        // clients of the one card: a third of the class, hot_key at 0.35
constexpr int kCold = 16;      // clients of other cards
constexpr int kWorkMs = 200;   // the longest of jobcard-read is 220
constexpr int kCrashes = 5;
constexpr int kDownMs = 3000;  // srv_crash, for_s = 3
constexpr int kContactMs = 3000;
constexpr int kPauseMs = 1750;  // 24 reads in some 2 s: the 12.7 a second of the class

const std::string kConfiguration =
    R"({"version":1,"routes":[{"name":"r-1","hostname":"jepu9.example","pathPrefix":"/kafi81/",)"
    R"("kind":"idempotent","timeoutMs":1200,"sloMs":150,"priority":2,"service":"kafi81c",)"
    R"("attempts":2,"public":false,"sticky":false,"resumable":false}],)"
    R"("services":[{"name":"kafi81c","healthPath":"/healthz","maxConns":100,"protocol":"h1",)"
    R"("tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
    R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"sese880",)"
    R"("apiKeys":["ctnfzs989anu6wsjnban"],"priority":1,"isolated":false}]})";

// A runner; each start is a new incarnation under the same id.
struct Runner {
  std::string id;
  Address address;
  std::unique_ptr<Server> server;
  std::unique_ptr<Beats> beats;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  const bool trouble = std::string(argv[4]) != "0";
  Record::Get().Open(argv[3]);
  Begin();
  Fleet fleet(argv[1], argv[2], 5, kRouters);
  fleet.Start();
  if (!fleet.Put(kConfiguration)) return 2;
  std::vector<Runner> runners(kRunners);
  std::vector<std::unique_ptr<Server>> ended;  // kept, as threads may still use them
  const auto start = [&](Runner& runner, int i) {
    RunnerName name;
    name.id = runner.id;
    name.service = "kafi81c";
    name.zone = "zone-" + std::to_string(i);
    name.slots = 12;
    if (runner.server) ended.push_back(std::move(runner.server));
    runner.server = std::make_unique<Server>();
    Server* const server = runner.server.get();
    const auto serve = [server, id_of = runner.id](Connection& connection) {
      Message request;
      while (connection.ReadRequest(&request)) {
        const std::string id = request.Field("kumquatcross-request-id");
        const std::string echo = "Kumquatcross-Request-Id: " + id + "\r\n";
        if (request.Field("kumquatcross-expect-instance") != id_of) {
          if (!connection.Write("HTTP/1.1 421 Misdirected Request\r\n" + echo +
                                "Content-Length: 0\r\n\r\n")) {
            return;
          }
          continue;
        }
        Record::Get().Line("runner %s runs %s: %s", id_of.c_str(), id.c_str(),
                           request.first_line.c_str());
        for (int worked = 0; worked < kWorkMs; worked += 5) {
          if (server->stopped()) return;
          SleepMs(5);
        }
        const bool fails = request.first_line.find("/card-1 ") != std::string::npos;
        const std::string body = fails ? "this card can't be shown" : "job card of " + id;
        const std::string status = fails ? "500 Internal Server Error" : "200 OK";
        if (!connection.Write("HTTP/1.1 " + status + "\r\n" + echo + "Kumquatcross-Server-Stamp: " + id_of +
                              "." + id + "\r\nKeep-Alive: timeout=5\r\nContent-Length: " +
                              std::to_string(body.size()) + "\r\n\r\n" + body)) {
          return;
        }
      }
    };
    if (!server->Start(runner.address, serve)) return false;
    runner.beats = std::make_unique<Beats>(&fleet, name, runner.address);
    runner.beats->Start();
    return true;
  };
  for (int i = 0; i < kRunners; ++i) {
    runners[i].id = "i-7f3a91c" + std::to_string(i);
    runners[i].address = fleet.runner(i);
    if (!start(runners[i], i)) return 2;
  }
  if (!fleet.WaitReady()) return 2;
  SleepMs(4000);
  std::mutex mutex;
  int sent = 0;
  std::map<int, int> answers;
  int denied = 0;
  int served_late = 0;
  // One round: all clients ask at once.
  const auto round = [&](int number, bool is_late) {
    std::vector<std::thread> clients;
    for (int i = 0; i < kHot + kCold; ++i) {
      clients.emplace_back([&, i] {
        const std::string id = "9c" + std::to_string(100000 + number * 100 + i);
        const std::string card =
            i < kHot ? "card-1" : "card-" + std::to_string(1000 + number * 100 + i);
        const auto until = Clock::now() + std::chrono::milliseconds(2500);
        Answer answer;
        const int descriptor = Dial(fleet.front(i % kRouters), until);
        if (descriptor >= 0) {
          std::string buffer;
          const std::string fields = "Kumquatcross-Request-Id: " + id +
                                     "\r\nKumquatcross-Deadline-Ms: 2500\r\n"
                                     "Api-Key: ctnfzs989anu6wsjnban\r\n";
          if (SendAll(descriptor,
                      RequestBytes("GET", "/kafi81/" + card, "jepu9.example", fields, ""), until)) {
            answer = ReadAnswer(descriptor, &buffer, until);
          }
          close(descriptor);
        }
        const bool is_own = answer.message.Field("kumquatcross-server-stamp").empty();
        const int status = answer.status;
        const std::lock_guard lock(mutex);
        ++sent;
        ++answers[status];
        if (is_late && status == 200) ++served_late;
        const bool is_denial =
            status >= 300 && status < 500 && status != 408 && status != 421 && status != 429;
        if (is_denial && is_own) ++denied;
        Record::Get().Line("client: %s, %s: %d%s", id.c_str(), card.c_str(), status,
                           is_denial && is_own ? ", of the system's own" : "");
      });
    }
    for (std::thread& one : clients) one.join();
  };
  int number = 0;
  const auto rounds = [&](int count, bool is_late) {
    for (int i = 0; i < count; ++i) {
      round(++number, is_late);
      SleepMs(kPauseMs);
    }
  };
  rounds(3, false);
  for (int crashes = 0; crashes < kCrashes; ++crashes) {
    const int i = 0;  // one runner, each time under the same id as a new incarnation
    std::thread crash([&, i] {
      if (!trouble) return;
      SleepMs(40);
      runners[i].beats->Halt();
      runners[i].server->Crash();
      Record::Get().Line("runner %s crashes", runners[i].id.c_str());
      SleepMs(kDownMs);
      runners[i].beats.reset();
      if (start(runners[i], i)) Record::Get().Line("runner %s is back", runners[i].id.c_str());
    });
    rounds(3, false);
    crash.join();
  }
  rounds(10, true);
  for (Runner& runner : runners) runner.beats->Stop();
  for (const auto& [status, count] : answers) {
    Record::Get().Line("answers %d: %d", status, count);
  }
  const int allowed = 5 + sent / 500;
  Record::Get().Line("%d requests, %d denied by the system though proper; allowed are %d", sent,
                     denied, allowed);
  fleet.End();
  const bool ran = served_late >= 20;
  Record::Get().Line("%s", !ran ? "could not run" : denied > allowed ? "BROKEN" : "HELD");
  std::fflush(nullptr);
  _exit(!ran ? 2 : denied > allowed ? 1 : 0);
}

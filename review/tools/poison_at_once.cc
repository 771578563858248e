// A job card crashes each runner that begins to read it. Three clerks open it at the same moment, and
// again every six seconds. Once it has crashed three runners it may reach only three more.
#include "fleet.hh"

using namespace standin;

namespace {

constexpr int kRunners = 6;
constexpr int kRouters = 3;
constexpr int kClerks = 3;      // who open the card at once, each through another router
constexpr int kOthers = 12;     // who read other cards
constexpr int kWorkMs = 30;     // the mean of jobcard-read
constexpr int kCrashesMs = 10;  // the crash comes this long after the run has begun
constexpr int kDownMs = 3000;   // srv_crash, for_s = 3
constexpr int kContactMs = 3000;
constexpr int kEveryMs = 6000;
constexpr int kRounds = 6;

const std::string kConfiguration =
    R"({"version":1,"routes":[{"name":"r-1","hostname":"jepu9.example","pathPrefix":"/kafi81/",)"
    R"("kind":"idempotent","timeoutMs":1200,"sloMs":150,"priority":2,"service":"kafi81c",)"
    R"("attempts":2,"public":false,"sticky":false,"resumable":false}],)"
    R"("services":[{"name":"kafi81c","healthPath":"/healthz","maxConns":100,"protocol":"h1",)"
    R"("tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
    R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"sese880",)"
    R"("apiKeys":["ctnfzs989anu6wsjnban"],"priority":1,"isolated":false}]})";

std::mutex g_mutex;
std::vector<double> g_arrivals;  // of the card at runners
std::vector<double> g_crashes;

// A runner; each start is a new incarnation with a new id, at the same address.
class Runner {
 public:
  Runner(Fleet* fleet, int number, bool crashes)
      : fleet_(fleet), number_(number), crashes_(crashes) {}
  bool Start() {
    RunnerName name;
    name.id = "i-7f3a" + std::to_string(number_) + std::to_string(100 + ++starts_);
    name.service = "kafi81c";
    name.zone = "zone-" + std::to_string(number_ % 3);
    name.slots = 6;
    server_ = std::make_shared<Server>();
    is_down_ = false;
    const auto serve = [this, server = server_.get(), id = name.id](Connection& connection) {
      Serve(connection, server, id);
    };
    if (!server_->Start(fleet_->runner(number_), serve)) return false;
    beats_ = std::make_unique<Beats>(fleet_, name, fleet_->runner(number_));
    beats_->Start();
    Record::Get().Line("runner %s starts", name.id.c_str());
    return true;
  }
  // Starts it again where it has been down for long enough.
  void Tend() {
    if (!is_down_ || Seconds() < back_at_) return;
    beats_.reset();
    ended_.push_back(server_);
    Start();
  }
  void Stop() {
    if (beats_) beats_->Stop();
  }

 private:
  void Serve(Connection& connection, Server* server, const std::string& own_id) {
    Message request;
    while (connection.ReadRequest(&request)) {
      const std::string id = request.Field("kumquatcross-request-id");
      const std::string echo = "Kumquatcross-Request-Id: " + id + "\r\n";
      if (request.Field("kumquatcross-expect-instance") != own_id) {
        if (!connection.Write("HTTP/1.1 421 Misdirected Request\r\n" + echo +
                              "Content-Length: 0\r\n\r\n")) {
          return;
        }
        continue;
      }
      Record::Get().Line("runner %s runs %s: %s", own_id.c_str(), id.c_str(),
                         request.first_line.c_str());
      if (crashes_ && request.first_line.find("/card-1 ") != std::string::npos) {
        {
          const std::lock_guard lock(g_mutex);
          g_arrivals.push_back(Seconds());
        }
        SleepMs(kCrashesMs);
        if (is_down_.exchange(true)) return;
        back_at_ = Seconds() + kDownMs / 1000.0;
        beats_->Halt();
        server->Crash();
        const std::lock_guard lock(g_mutex);
        g_crashes.push_back(Seconds());
        Record::Get().Line("runner %s crashes", own_id.c_str());
        return;
      }
      SleepMs(kWorkMs);
      if (server->stopped()) return;
      const std::string body = "job card of " + id;
      if (!connection.Write("HTTP/1.1 200 OK\r\n" + echo + "Kumquatcross-Server-Stamp: " + own_id +
                            "." + id + "\r\nKeep-Alive: timeout=5\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
    }
  }

  Fleet* fleet_;
  int number_;
  bool crashes_;
  int starts_ = 0;
  std::atomic<bool> is_down_ = false;
  std::atomic<double> back_at_ = 0;
  std::shared_ptr<Server> server_;
  std::vector<std::shared_ptr<Server>> ended_;
  std::unique_ptr<Beats> beats_;
};

int Read(const Address& front, const std::string& id, const std::string& card) {
  const auto until = Clock::now() + std::chrono::milliseconds(2500);
  Answer answer;
  const int descriptor = Dial(front, until);
  if (descriptor >= 0) {
    std::string buffer;
    const std::string fields = "Kumquatcross-Request-Id: " + id +
                               "\r\nKumquatcross-Deadline-Ms: 2500\r\n"
                               "Api-Key: ctnfzs989anu6wsjnban\r\n";
    const std::string bytes =
        RequestBytes("GET", "/kafi81/" + card, "jepu9.example", fields, "");
    if (SendAll(descriptor, bytes, until)) answer = ReadAnswer(descriptor, &buffer, until);
    close(descriptor);
  }
  Record::Get().Line("client: %s, %s: %d", id.c_str(), card.c_str(), answer.status);
  return answer.status;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  const bool trouble = std::string(argv[4]) != "0";
  Record::Get().Open(argv[3]);
  Begin();
  Fleet fleet(argv[1], argv[2], 5, kRouters);
  fleet.Start();
  if (!fleet.Put(kConfiguration)) return 2;
  std::vector<std::unique_ptr<Runner>> runners;
  for (int i = 0; i < kRunners; ++i) {
    runners.push_back(std::make_unique<Runner>(&fleet, i, trouble));
    if (!runners.back()->Start()) return 2;
  }
  if (!fleet.WaitReady()) return 2;
  SleepMs(4000);
  std::atomic<bool> ends = false;
  std::atomic<int> number = 0;
  std::atomic<int> served = 0;
  std::vector<std::thread> others;
  for (int i = 0; i < kOthers; ++i) {
    others.emplace_back([&, i] {
      SleepMs(i * 90);
      while (!ends) {
        const int one = ++number;
        const std::string id = "9c" + std::to_string(100000 + one);
        if (Read(fleet.front(i % kRouters), id, "card-" + std::to_string(1000 + one)) == 200) {
          ++served;
        }
        SleepMs(900);
      }
    });
  }
  SleepMs(5000);
  for (int round = 0; round < kRounds; ++round) {
    std::vector<std::thread> clerks;
    for (int i = 0; i < kClerks; ++i) {
      const std::string id = "5e" + std::to_string(100000 + round * 10 + i);
      clerks.emplace_back([&, i, id] { Read(fleet.front(i), id, "card-1"); });
    }
    for (std::thread& one : clerks) one.join();
    for (int waited = 0; waited < kEveryMs; waited += 20) {
      for (auto& runner : runners) runner->Tend();
      SleepMs(20);
    }
  }
  ends = true;
  for (std::thread& one : others) one.join();
  int late = 0;
  const std::lock_guard lock(g_mutex);
  if (g_crashes.size() >= 3) {
    const double from = g_crashes[2] + kContactMs / 1000.0;
    for (const double at : g_arrivals) late += at > from ? 1 : 0;
  }
  for (auto& runner : runners) runner->Stop();
  Record::Get().Line(
      "the card reached runners %zu times and crashed %zu; %d times later than contactMs after the "
      "third crash, three are allowed; other cards served: %d",
      g_arrivals.size(), g_crashes.size(), late, served.load());
  fleet.End();
  const bool ran = served >= 100;
  Record::Get().Line("%s", !ran ? "could not run" : late > 3 ? "BROKEN" : "HELD");
  std::fflush(nullptr);
  _exit(!ran ? 2 : late > 3 ? 1 : 0);
}

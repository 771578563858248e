// A draft crashes each runner that runs it, soon after its third event. It is asked for again every six
// seconds. Once it has crashed three runners it may reach only three more.
#include "fleet.hh"

using namespace standin;

namespace {

constexpr int kRunners = 6;
constexpr int kRouters = 3;
constexpr int kEvents = 8;      // of a stream
constexpr int kCrashAfter = 3;  // events of the draft that crashes its runner
constexpr int kOthers = 12;     // who ask for other drafts
constexpr int kEventMs = 20;    // between two events
constexpr int kDownMs = 3000;   // srv_crash, for_s = 3
constexpr int kContactMs = 3000;
constexpr int kEveryMs = 6000;
constexpr int kRounds = 8;

const std::string kConfiguration =
    R"({"version":1,"routes":[{"name":"r-1","hostname":"jepu9.example","pathPrefix":"/kafi81/",)"
    R"("kind":"streaming","timeoutMs":5000,"sloMs":500,"priority":1,"service":"kafi81c",)"
    R"("attempts":2,"public":false,"sticky":false,"resumable":true,"gapTargetMs":400}],)"
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
      const bool is_bad = request.first_line.find("/draft-1 ") != std::string::npos;
      if (is_bad) {
        const std::lock_guard lock(g_mutex);
        g_arrivals.push_back(Seconds());
      }
      if (!connection.Write("HTTP/1.1 200 OK\r\n" + echo + "Kumquatcross-Server-Stamp: " + own_id +
                            "." + id + "\r\nContent-Type: text/event-stream\r\n" +
                            "Transfer-Encoding: chunked\r\n\r\n")) {
        return;
      }
      const int after = std::atoi(request.Field("last-event-id").c_str());
      for (int event = after + 1; event <= kEvents; ++event) {
        SleepMs(kEventMs);
        if (server->stopped()) return;
        if (is_bad && crashes_ && event > after + kCrashAfter) {
          if (is_down_.exchange(true)) return;
          back_at_ = Seconds() + kDownMs / 1000.0;
          beats_->Halt();
          server->Crash();
          const std::lock_guard lock(g_mutex);
          g_crashes.push_back(Seconds());
          Record::Get().Line("runner %s crashes", own_id.c_str());
          return;
        }
        const std::string text =
            "id: " + std::to_string(event) + "\ndata: of " + request.first_line + "\n\n";
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
        if (!connection.Write(size + text + "\r\n")) return;
      }
      if (!connection.Write("0\r\n\r\n")) return;
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

int Read(const Address& front, const std::string& id, const std::string& draft) {
  const auto until = Clock::now() + std::chrono::milliseconds(5000);
  Answer answer;
  const int descriptor = Dial(front, until);
  if (descriptor >= 0) {
    std::string buffer;
    const std::string fields = "Kumquatcross-Request-Id: " + id +
                               "\r\nKumquatcross-Deadline-Ms: 5000\r\n"
                               "Api-Key: ctnfzs989anu6wsjnban\r\n";
    const std::string bytes =
        RequestBytes("POST", "/kafi81/" + draft, "jepu9.example", fields, "a prompt");
    if (SendAll(descriptor, bytes, until)) answer = ReadAnswer(descriptor, &buffer, until);
    close(descriptor);
  }
  Record::Get().Line("client: %s, %s: %d", id.c_str(), draft.c_str(), answer.status);
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
        if (Read(fleet.front(i % kRouters), id, "draft-" + std::to_string(1000 + one)) == 200) {
          ++served;
        }
        SleepMs(900);
      }
    });
  }
  SleepMs(5000);
  for (int round = 0; round < kRounds; ++round) {
    Read(fleet.front(round % kRouters), "5e" + std::to_string(100000 + round), "draft-1");
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
      "the draft reached runners %zu times and crashed %zu; %d times later than contactMs after the "
      "third crash, three are allowed; other drafts served: %d",
      g_arrivals.size(), g_crashes.size(), late, served.load());
  fleet.End();
  const bool ran = served >= 100;
  Record::Get().Line("%s", !ran ? "could not run" : late > 3 ? "BROKEN" : "HELD");
  std::fflush(nullptr);
  _exit(!ran ? 2 : late > 3 ? 1 : 0);
}

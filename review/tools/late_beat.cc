// A runner leaves, which a daemon acknowledges. All daemons lose their processes right after that, and
// a heartbeat that the runner sent before it left arrives late. Nobody may send the runner requests.
#include "fleet.hh"

using namespace standin;

namespace {

constexpr int kControls = 5;
constexpr int kRouters = 3;
constexpr int kRunners = 3;
constexpr int kClients = 12;
constexpr int kWorkMs = 30;
constexpr int kDrainMs = 2000;
constexpr int kContactMs = 3000;
constexpr int kDownMs = 1000;       // herd_kill, for_s = 1
constexpr int kLateMs = 3000;       // how late the heartbeat arrives
constexpr int kServesOnMs = 12000;  // how long the runner serves after the acknowledgement

const std::string kConfiguration =
    R"({"version":1,"routes":[{"name":"r-1","hostname":"jepu9.example","pathPrefix":"/kafi81/",)"
    R"("kind":"non_idempotent","timeoutMs":1200,"sloMs":150,"priority":2,"service":"kafi81c",)"
    R"("attempts":1,"public":false,"sticky":false,"resumable":false}],)"
    R"("services":[{"name":"kafi81c","healthPath":"/healthz","maxConns":100,"protocol":"h1",)"
    R"("tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
    R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"sese880",)"
    R"("apiKeys":["ctnfzs989anu6wsjnban"],"priority":1,"isolated":false}]})";

std::mutex g_mutex;
std::vector<double> g_runs_at_leaver;

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  const bool trouble = std::string(argv[4]) != "0";
  Record::Get().Open(argv[3]);
  Begin();
  Fleet fleet(argv[1], argv[2], kControls, kRouters);
  fleet.Start();
  if (!fleet.Put(kConfiguration)) return 2;
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::unique_ptr<Beats>> beats;
  for (int i = 0; i < kRunners; ++i) {
    RunnerName name;
    name.id = "i-7f3a91c" + std::to_string(i);
    name.service = "kafi81c";
    name.zone = "zone-" + std::to_string(i);
    name.slots = 6;
    servers.push_back(std::make_unique<Server>());
    Server* const server = servers.back().get();
    const auto serve = [server, i, own_id = name.id](Connection& connection) {
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
        Record::Get().Line("runner %s runs %s", own_id.c_str(), id.c_str());
        if (i == 0) {
          const std::lock_guard lock(g_mutex);
          g_runs_at_leaver.push_back(Seconds());
        }
        SleepMs(kWorkMs);
        if (server->stopped()) return;
        if (!connection.Write("HTTP/1.1 200 OK\r\n" + echo + "Kumquatcross-Server-Stamp: " +
                              own_id + "." + id + "\r\nContent-Length: 2\r\n\r\nok")) {
          return;
        }
      }
    };
    if (!servers.back()->Start(fleet.runner(i), serve)) return 2;
    beats.push_back(std::make_unique<Beats>(&fleet, name, fleet.runner(i)));
    beats.back()->Start();
  }
  if (!fleet.WaitReady()) return 2;
  SleepMs(4000);
  std::atomic<bool> ends = false;
  std::atomic<int> number = 0;
  std::atomic<int> served = 0;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      SleepMs(i * 30);
      while (!ends) {
        const std::string id = "9c" + std::to_string(100000 + ++number);
        const auto until = Clock::now() + std::chrono::milliseconds(2500);
        Answer answer;
        const int descriptor = Dial(fleet.front(i % kRouters), until);
        if (descriptor >= 0) {
          std::string buffer;
          const std::string fields = "Kumquatcross-Request-Id: " + id +
                                     "\r\nKumquatcross-Deadline-Ms: 2500\r\n"
                                     "Api-Key: ctnfzs989anu6wsjnban\r\n";
          const std::string bytes =
              RequestBytes("POST", "/kafi81/book", "jepu9.example", fields, "a booking");
          if (SendAll(descriptor, bytes, until)) answer = ReadAnswer(descriptor, &buffer, until);
          close(descriptor);
        }
        Record::Get().Line("client: %s: %d", id.c_str(), answer.status);
        if (answer.status == 200) ++served;
        SleepMs(350);
      }
    });
  }
  SleepMs(4000);
  // The heartbeat is sent now and arrives later; then the runner leaves.
  Record::Get().Line("runner %s sends a heartbeat that will be late", "i-7f3a91c0");
  const double sent_at = Seconds();
  beats[0]->Stop();
  SleepMs(200);
  if (!beats[0]->Leave()) return 2;
  const double acknowledged_at = Seconds();
  Record::Get().Line("runner i-7f3a91c0 leaves, which is acknowledged; it serves on");
  double back_at = acknowledged_at;
  if (trouble) {
    SleepMs(100);
    for (int i = 0; i < kControls; ++i) fleet.control(i).End();
    for (int i = 0; i < kRouters; ++i) fleet.router(i).End();
    Record::Get().Line("all processes of the system are killed");
    SleepMs(kDownMs);
    for (int i = 0; i < kControls; ++i) fleet.control(i).Start();
    for (int i = 0; i < kRouters; ++i) fleet.router(i).Start();
    back_at = Seconds();
  }
  while (Seconds() < sent_at + kLateMs / 1000.0) SleepMs(5);
  Record::Get().Line("the late heartbeat of i-7f3a91c0 arrives: acknowledged %s",
                     beats[0]->Say("ready") ? "yes" : "no");
  while (Seconds() < acknowledged_at + kServesOnMs / 1000.0) SleepMs(20);
  servers[0]->Crash();
  Record::Get().Line("runner i-7f3a91c0 exits");
  SleepMs(2000);
  ends = true;
  for (std::thread& one : clients) one.join();
  int late = 0;
  {
    const std::lock_guard lock(g_mutex);
    const double from =
        std::max(acknowledged_at + kDrainMs / 1000.0, back_at + 2 * kContactMs / 1000.0);
    for (const double at : g_runs_at_leaver) late += at > from ? 1 : 0;
    Record::Get().Line(
        "requests that reached the leaver later than drainMs after the acknowledgement, sent by "
        "machines that had run for twice contactMs: %d; requests served in all: %d",
        late, served.load());
  }
  for (auto& one : beats) one->Stop();
  fleet.End();
  const bool ran = served >= 100;
  Record::Get().Line("%s", !ran ? "could not run" : late > 0 ? "BROKEN" : "HELD");
  std::fflush(nullptr);
  _exit(!ran ? 2 : late > 0 ? 1 : 0);
}

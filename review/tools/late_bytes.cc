// A faulty runner sends additional bytes after a complete answer, so late that they come at the
// point where the next answer on the connection is expected. The bytes belong to no request.
#include "fleet.hh"

using namespace standin;

namespace {

const std::string kConfiguration =
    R"({"version":1,"routes":[{"name":"r-1","hostname":"jepu9.example","pathPrefix":"/kafi81/",)"
    R"("kind":"idempotent","timeoutMs":2500,"sloMs":150,"priority":2,"service":"kafi81c",)"
    R"("attempts":2,"public":false,"sticky":false,"resumable":false}],)"
    R"("services":[{"name":"kafi81c","healthPath":"/healthz","maxConns":96,"protocol":"h1",)"
    R"("tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
    R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"sese880",)"
    R"("apiKeys":["ctnfzs989anu6wsjnban"],"priority":1,"isolated":false}]})";
constexpr int kRequests = 600;
// One of the three runners is faulty (garble, share = 0.6 at the most), and one of this many of its
// answers has additional bytes after it (x = 0.03 at the most).
constexpr int kEvery = 34;

struct Run {
  std::string runner;
  int status = 200;
  std::string body;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  const bool trouble = std::string(argv[4]) != "0";
  Record::Get().Open(argv[3]);
  Begin();
  Fleet fleet(argv[1], argv[2], 5, 3);
  fleet.Start();
  if (!fleet.Put(kConfiguration)) return 2;
  std::mutex mutex;
  std::map<std::string, std::vector<Run>> runs;
  std::atomic<int> answered = 0;
  std::atomic<int> added = 0;
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::unique_ptr<Beats>> beats;
  for (int i = 0; i < 3; ++i) {
    RunnerName name;
    name.id = "i-7f3a91c" + std::to_string(i);
    name.service = "kafi81c";
    name.zone = "zone-" + std::to_string(i);
    name.slots = 6;
    servers.push_back(std::make_unique<Server>());
    const auto serve = [&, runner = name.id, is_faulty = i == 0](Connection& connection) {
      Message request;
      bool owes_bytes = false;
      while (connection.ReadRequest(&request)) {
        const std::string id = request.Field("kumquatcross-request-id");
        const std::string expected = request.Field("kumquatcross-expect-instance");
        const std::string echo = "Kumquatcross-Request-Id: " + id + "\r\n";
        if (expected != runner) {
          if (!connection.Write("HTTP/1.1 421 Misdirected Request\r\n" + echo +
                                "Content-Length: 0\r\n\r\n")) {
            return;
          }
          continue;
        }
        if (owes_bytes) {
          // What was to come after the answer before this one.
          owes_bytes = false;
          ++added;
          Record::Get().Line("runner %s: additional bytes, late, while %s waits", runner.c_str(),
                             id.c_str());
          const std::string junk = "the job card of somebody else";
          connection.Write(
              "HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain\r\n"
              "Content-Length: " +
              std::to_string(junk.size()) + "\r\n\r\n" + junk);
        }
        SleepMs(5);
        const std::string body = "job card of " + id;
        {
          const std::lock_guard lock(mutex);
          runs[id].push_back({runner, 200, body});
        }
        Record::Get().Line("runner %s runs %s: 200", runner.c_str(), id.c_str());
        if (!connection.Write("HTTP/1.1 200 OK\r\n" + echo + "Kumquatcross-Server-Stamp: " +
                              runner + "." + id + "\r\nKeep-Alive: timeout=5\r\nContent-Length: " +
                              std::to_string(body.size()) + "\r\n\r\n" + body)) {
          return;
        }
        owes_bytes = trouble && is_faulty && ++answered % kEvery == 0;
      }
    };
    if (!servers.back()->Start(fleet.runner(i), serve)) return 2;
    beats.push_back(std::make_unique<Beats>(&fleet, name, fleet.runner(i)));
    beats.back()->Start();
  }
  if (!fleet.WaitReady()) return 2;
  SleepMs(4000);
  int served = 0;
  int foreign = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "9c41d07be2a3" + std::to_string(1000 + i);
    const auto until = Clock::now() + std::chrono::milliseconds(2500);
    const int descriptor = Dial(fleet.front(i % 3), until);
    if (descriptor < 0) continue;
    const std::string fields = "Kumquatcross-Request-Id: " + id +
                               "\r\nKumquatcross-Deadline-Ms: 2500\r\n"
                               "Api-Key: ctnfzs989anu6wsjnban\r\n";
    std::string buffer;
    Answer answer;
    if (SendAll(descriptor, RequestBytes("GET", "/kafi81/2f", "jepu9.example", fields, ""),
                until)) {
      answer = ReadAnswer(descriptor, &buffer, until);
    }
    close(descriptor);
    Record::Get().Line("client: %s: %d, stamp '%s', body '%s'", id.c_str(), answer.status,
                       answer.message.Field("kumquatcross-server-stamp").c_str(),
                       answer.message.body.c_str());
    if (answer.status == 200) ++served;
    // The bytes of no request were given to this one.
    const bool is_junk = answer.message.body.find("somebody else") != std::string::npos;
    const bool is_another = answer.status == 200 && answer.message.body != "job card of " + id;
    if (is_junk || is_another) ++foreign;
  }
  for (auto& one : beats) one->Stop();
  for (auto& one : servers) one->Stop();
  fleet.End();
  Record::Get().Line("%d of %d served; additional bytes sent %d times; given to clients %d times",
                     served, kRequests, added.load(), foreign);
  const bool ran = served >= kRequests / 2 && (!trouble || added > 0);
  Record::Get().Line("%s", !ran ? "could not run" : foreign ? "BROKEN" : "HELD");
  std::fflush(nullptr);
  _exit(!ran ? 2 : foreign ? 1 : 0);
}

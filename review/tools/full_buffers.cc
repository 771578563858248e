// Users send bookings, some of them long: a quarter of maxBodyBytes. For three seconds 1.7 times as
// many come. Well after that, a router that runs and says it is ready must answer the usual ones.
#include "fleet.hh"

using namespace standin;

namespace {

constexpr int kTimeoutMs = 3000;   // the route's timeoutMs
constexpr int kDeadlineMs = 5000;  // how long a client waits
constexpr int kLateMs = 500;       // by the rule, an answer is late half a second past timeoutMs
constexpr int kWorkMs = 200;
constexpr int kShortUsers = 8;
constexpr int kUsualUsers = 6;
constexpr int kLongUsers = 16;
constexpr int kContactMs = 3000;
constexpr int kBurstMs = 3000;                // burst, for_s = 3
constexpr double kBurst = 1.7;                // burst, x = 1.7
constexpr std::size_t kLongBody = 1'048'576;  // a quarter of maxBodyBytes
constexpr std::size_t kUsualBody = 100'000;
constexpr std::size_t kShortBody = 600;
// A long request goes out at 8 Mbit/s, in pieces of 8 KB.
constexpr std::size_t kPiece = 8192;
constexpr int kPieceMs = 8;

const std::string kConfiguration =
    R"({"version":1,"routes":[{"name":"r-1","hostname":"jepu9.example","pathPrefix":"/kafi81/",)"
    R"("kind":"non_idempotent","timeoutMs":3000,"sloMs":150,"priority":2,"service":"kafi81c",)"
    R"("attempts":1,"public":false,"sticky":false,"resumable":false}],)"
    R"("services":[{"name":"kafi81c","healthPath":"/healthz","maxConns":100,"protocol":"h1",)"
    R"("tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
    R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"sese880",)"
    R"("apiKeys":["ctnfzs989anu6wsjnban"],"priority":1,"isolated":false}]})";

struct Sent {
  std::string id;
  double at = 0;
  double sent_whole_at = -1;
  double ended_at = 0;
  int status = 0;
};

std::mutex g_mutex;
std::vector<Sent> g_sent;
std::atomic<int> g_number = 0;

// One booking on a new connection; returns its status, or -1.
int Book(const Address& front, const char* what, std::size_t body_bytes) {
  Sent sent;
  sent.id = std::string(what) + "-" + std::to_string(++g_number);
  sent.at = Seconds();
  const auto until = Clock::now() + std::chrono::milliseconds(kDeadlineMs);
  const int descriptor = Dial(front, until);
  sent.status = -1;
  if (descriptor >= 0) {
    const std::string fields = "Kumquatcross-Request-Id: " + sent.id +
                               "\r\nKumquatcross-Deadline-Ms: " + std::to_string(kDeadlineMs) +
                               "\r\nApi-Key: ctnfzs989anu6wsjnban\r\n";
    const std::string bytes = RequestBytes("POST", "/kafi81/book", "jepu9.example", fields,
                                           std::string(body_bytes, 'b'));
    bool is_sent = true;
    if (body_bytes == kLongBody) {
      for (std::size_t at = 0; is_sent && at < bytes.size(); at += kPiece) {
        is_sent = SendAll(descriptor, bytes.substr(at, kPiece), until);
        SleepMs(kPieceMs);
      }
    } else {
      is_sent = SendAll(descriptor, bytes, until);
    }
    if (is_sent) {
      sent.sent_whole_at = Seconds();
      std::string buffer;
      sent.status = ReadAnswer(descriptor, &buffer, until).status;
    }
    close(descriptor);
  }
  sent.ended_at = Seconds();
  Record::Get().Line("client: %s of %zu bytes, sent whole %s, ended after %.0f ms with %d",
                     sent.id.c_str(), body_bytes, sent.sent_whole_at >= 0 ? "yes" : "no",
                     (sent.ended_at - sent.at) * 1000, sent.status);
  const std::lock_guard lock(g_mutex);
  g_sent.push_back(sent);
  return sent.status;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  const bool trouble = std::string(argv[4]) != "0";
  Record::Get().Open(argv[3]);
  Begin();
  Fleet fleet(argv[1], argv[2], 3, 1);
  fleet.Start();
  if (!fleet.Put(kConfiguration)) return 2;
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::unique_ptr<Beats>> beats;
  for (int i = 0; i < 3; ++i) {
    RunnerName name;
    name.id = "i-" + std::to_string(i);
    name.service = "kafi81c";
    name.zone = "zone-" + std::to_string(i);
    name.slots = 64;
    servers.push_back(std::make_unique<Server>());
    const auto serve = [id_of = name.id](Connection& connection) {
      Message request;
      while (connection.ReadRequest(&request)) {
        const std::string id = request.Field("kumquatcross-request-id");
        if (request.Field("kumquatcross-expect-instance") != id_of) {
          if (!connection.Write("HTTP/1.1 421 Misdirected Request\r\nKumquatcross-Request-Id: " +
                                id + "\r\nContent-Length: 0\r\n\r\n")) {
            return;
          }
          continue;
        }
        Record::Get().Line("runner %s runs %s, %zu bytes", id_of.c_str(), id.c_str(),
                           request.body.size());
        SleepMs(kWorkMs);
        if (!connection.Write("HTTP/1.1 200 OK\r\nKumquatcross-Request-Id: " + id +
                              "\r\nKumquatcross-Server-Stamp: " + id_of +
                              ".1\r\nContent-Length: 2\r\n\r\nok")) {
          return;
        }
      }
    };
    if (!servers.back()->Start(fleet.runner(i), serve)) return 2;
    beats.push_back(std::make_unique<Beats>(&fleet, name, fleet.runner(i)));
    beats.back()->Start();
  }
  if (!fleet.WaitReady()) return 2;
  SleepMs(1000);

  // Each user asks again soon after an answer.
  std::atomic<bool> ends = false;
  std::atomic<bool> burst_ends = false;
  std::vector<std::thread> users;
  const auto come = [&](std::atomic<bool>* over, int first, int last, const char* what,
                        std::size_t bytes) {
    for (int i = first; i < last; ++i) {
      users.emplace_back([&, over, i, what, bytes] {
        SleepMs(i * 53 % 1000);
        while (!*over) {
          Book(fleet.front(0), what, bytes);
          SleepMs(50);
        }
      });
    }
  };
  const auto all_come = [&](std::atomic<bool>* over, double from, double to) {
    const auto count = [](int usual, double x) { return static_cast<int>(usual * x); };
    come(over, count(kShortUsers, from), count(kShortUsers, to), "short", kShortBody);
    come(over, count(kUsualUsers, from), count(kUsualUsers, to), "usual", kUsualBody);
    come(over, count(kLongUsers, from), count(kLongUsers, to), "long", kLongBody);
  };
  const double begun = Seconds();
  all_come(&ends, 0, 1);
  SleepMs(8000);
  if (trouble) {
    Record::Get().Line("many users come at once");
    all_come(&burst_ends, 1, kBurst);
  }
  SleepMs(kBurstMs);
  burst_ends = true;
  if (trouble) Record::Get().Line("they come no more");
  SleepMs(kDeadlineMs);
  const double judged_from = Seconds() + kContactMs / 1000.0;
  SleepMs(kContactMs + 20'000);
  const double judged_until = Seconds() - kDeadlineMs / 1000.0;
  ends = true;
  for (std::thread& one : users) one.join();

  int asked = 0, at_timeout = 0, past = 0, never_read = 0;
  for (const Sent& sent : g_sent) {
    if (sent.at < judged_from || sent.at > judged_until) continue;
    ++asked;
    const double lasted = sent.status == -1 ? 1e9 : (sent.ended_at - sent.at) * 1000;
    if (lasted < kTimeoutMs) continue;
    if (sent.sent_whole_at < 0) {
      ++never_read;
      continue;
    }
    ++at_timeout;
    if (lasted > kTimeoutMs + kLateMs) ++past;
  }
  const bool is_broken = past >= 8 && 2 * past > at_timeout;
  const bool runs = fleet.router(0).Runs();
  const int ready = Call(fleet.ready(0), "GET", "/readyz", "", 1000).status;
  Record::Get().Line(
      "from %.1f s to %.1f s: %d requests; sent whole and unanswered at timeoutMs: %d, of these "
      "still so half a second later: %d; requests that could not be sent whole: %d; router runs: %s, "
      "/readyz: %d, memory %.0f MB",
      judged_from - begun, judged_until - begun, asked, at_timeout, past, never_read,
      runs ? "yes" : "no", ready, fleet.router(0).MemoryMb());
  for (auto& one : beats) one->Stop();
  fleet.End();
  Record::Get().Line("%s", asked < 50 ? "could not run" : is_broken ? "BROKEN" : "HELD");
  std::fflush(nullptr);
  _exit(asked < 50 ? 2 : is_broken ? 1 : 0);
}

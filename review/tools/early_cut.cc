// A change of the configuration moves a route to slower runners, whose streams still end in time,
// and routers get SIGHUP since their settings file has changed. A router cuts streams before the
// caller's deadline and the route's timeout.
#include <algorithm>

#include "fleet.hh"

using namespace standin;

namespace {

constexpr int kRouters = 7;
constexpr int kSignalled = 2;  // hup: share 0.3 at the most
constexpr int kRequestsEach = 20;
constexpr int kConfigMs = 2000;   // bounds.configMs
constexpr double kTimeoutS = 15;  // the route's timeoutMs, and the caller's deadline
// From the start of a run to its last event, at the runners of the first and of the second service.
constexpr double kFastAnswerS = 9;
constexpr double kSlowAnswerS = 14.6;
constexpr double kMarginS = 0.1;  // for what clients can see

std::string Service(const std::string& name) {
  return R"({"name":")" + name +
         R"(","healthPath":"/healthz","maxConns":360,"protocol":"h1","tls":false,)"
         R"("engine":{"slots":64,"kvCapacity":105783,"tokenBytes":18432,"linkMbps":370000.0,)"
         R"("moves":false,"backups":false,"stride":5,"maxInflight":12,"pinMs":4000.0,)"
         R"("holdMs":2000.0,"handle_s":5.0,"models":[{"name":"daka510000"}]}})";
}

std::string Configuration(int version, const std::string& service) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"r-1","hostname":"hulo84.example","pathPrefix":"/xapu221/",)"
         R"("kind":"streaming","timeoutMs":15000,"sloMs":800,"priority":0,"service":")" +
         service +
         R"(","attempts":1,"public":false,"sticky":true,"resumable":false,"gapTargetMs":400}],)"
         R"("services":[)" +
         Service("huvo11a") + "," + Service("huvo22b") +
         R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
         R"("idleTimeoutMs":15000},"tenants":[{"name":"sese880",)"
         R"("apiKeys":["ctnfzs989anu6wsjnban"],"priority":1,"isolated":false}]})";
}

std::string Chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  const bool trouble = std::string(argv[4]) != "0";
  Record::Get().Open(argv[3]);
  Begin();
  Fleet fleet(argv[1], argv[2], 5, kRouters);
  fleet.Start();
  if (!fleet.Put(Configuration(1, "huvo11a"))) return 2;
  std::mutex mutex;
  std::map<std::string, std::string> ends;  // how each run ended, as its runner saw it
  std::vector<std::unique_ptr<Server>> servers;
  std::vector<std::unique_ptr<Beats>> beats;
  for (int i = 0; i < 6; ++i) {
    const bool is_fast = i < 3;
    RunnerName name;
    name.id = "i-7f3a91c" + std::to_string(i);
    name.service = is_fast ? "huvo11a" : "huvo22b";
    name.zone = "zone-" + std::to_string(i % 3);
    name.model = "daka510000";
    const auto serve = [&, runner = name.id,
                        answer_s = is_fast ? kFastAnswerS : kSlowAnswerS](Connection& connection) {
      Message request;
      while (connection.ReadRequest(&request)) {
        const std::string id = request.Field("kumquatcross-request-id");
        if (request.first_line.find("/xapu221/") == std::string::npos) {
          // Events and reports: there is nothing to tell.
          const std::string body = R"({"bootEpoch":7,"next":1,"lost":false,"events":[]})";
          SleepMs(std::atoi(request.Field("wait-ms").c_str()));
          if (!connection.Write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                "Content-Length: " +
                                std::to_string(body.size()) + "\r\n\r\n" + body)) {
            return;
          }
          continue;
        }
        const double begun = Seconds();
        Record::Get().Line("runner %s runs %s", runner.c_str(), id.c_str());
        connection.Write(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            "Kumquatcross-Request-Id: " +
            id + "\r\nKumquatcross-Server-Stamp: " + runner + "." + id +
            "\r\nKumquatcross-Weight-Versions: 1\r\n"
            "Transfer-Encoding: chunked\r\n\r\n");
        int event = 0;
        while (Seconds() - begun < answer_s) {
          const std::string piece =
              "id: " + std::to_string(++event) + "\ndata: some twenty-five tokens\n\n";
          if (connection.IsClosed() || !connection.Write(Chunk(piece))) {
            const std::lock_guard lock(mutex);
            ends[id] = "its connection was closed while it worked";
            Record::Get().Line("runner %s: the connection of %s was closed after %.2f s",
                               runner.c_str(), id.c_str(), Seconds() - begun);
            return;
          }
          SleepMs(100);
        }
        const std::string last = "id: " + std::to_string(event + 1) + "\ndata: the last one\n\n";
        connection.Write(Chunk(last) + "0\r\n\r\n");
        const std::lock_guard lock(mutex);
        ends[id] = "complete";
      }
    };
    servers.push_back(std::make_unique<Server>());
    if (!servers.back()->Start(fleet.runner(i), serve)) return 2;
    beats.push_back(std::make_unique<Beats>(&fleet, name, fleet.runner(i)));
    beats.back()->Start();
  }
  if (!fleet.WaitReady()) return 2;
  SleepMs(5000);
  // When the machines got SIGHUP, if they did.
  double signalled_at = -1;
  if (trouble) {
    // The route moves to the service whose runners are slower. That is over before the signal.
    if (!fleet.Put(Configuration(2, "huvo22b"))) return 2;
    SleepMs(kConfigMs + 1000 + 500);
    // The settings file lists the same seeds in another order.
    for (int i = 0; i < kSignalled; ++i) {
      fleet.ReorderSeeds(i);
      fleet.router(i).Signal(SIGHUP);
      Record::Get().Line("%s: its settings file has changed, SIGHUP",
                         fleet.router(i).name().c_str());
    }
  }
  if (trouble) signalled_at = Seconds();
  struct Result {
    std::string id;
    double sent = 0;
    double lasted = 0;
    bool whole = false;
    int status = 0;
  };
  std::vector<Result> results;
  std::vector<std::thread> clients;
  for (int i = 0; i < kSignalled * kRequestsEach; ++i) {
    clients.emplace_back([&, i] {
      // All within configMs after the signal, at any part of a second.
      SleepMs(100 + i * (kConfigMs - 400) / (kSignalled * kRequestsEach));
      Result result;
      result.id = "9c41d07be2a3" + std::to_string(1000 + i);
      const auto until =
          Clock::now() + std::chrono::milliseconds(static_cast<int>(kTimeoutS * 1000) + 2000);
      const int descriptor = Dial(fleet.front(i % kSignalled), until);
      if (descriptor < 0) return;
      const std::string fields = "Kumquatcross-Request-Id: " + result.id +
                                 "\r\nKumquatcross-Model: daka510000\r\n"
                                 "Kumquatcross-Token-Count: 826,3700\r\n"
                                 "Kumquatcross-Prompt-Prefix: 5c1e07a2:198,9" +
                                 std::to_string(1000 + i) + ":628\r\n" +
                                 "Kumquatcross-Deadline-Ms: 15000\r\n"
                                 "Api-Key: ctnfzs989anu6wsjnban\r\n";
      result.sent = Seconds();
      std::string buffer;
      if (SendAll(descriptor, RequestBytes("POST", "/xapu221/2f", "hulo84.example", fields, "{}"),
                  until)) {
        const Answer answer = ReadAnswer(descriptor, &buffer, until);
        result.whole = answer.whole;
        result.status = std::atoi(
            answer.message.first_line.size() > 12 ? answer.message.first_line.c_str() + 9 : "0");
      }
      result.lasted = Seconds() - result.sent;
      close(descriptor);
      const std::lock_guard lock(mutex);
      results.push_back(result);
      Record::Get().Line("client: %s: %d, %s after %.3f s", result.id.c_str(), result.status,
                         result.whole ? "whole" : "ended without a complete answer", result.lasted);
    });
  }
  for (std::thread& one : clients) one.join();
  SleepMs(300);
  int whole = 0;
  int cut = 0;
  int lost = 0;
  {
    const std::lock_guard lock(mutex);
    for (const Result& result : results) {
      if (result.whole && result.status == 200) ++whole;
      const bool in_time = result.lasted < kTimeoutS - kMarginS;
      const bool at_work = ends[result.id] != "complete";
      const bool is_cut = !result.whole && result.status == 200 && in_time && at_work;
      if (is_cut) ++cut;
      // LOST: sent up to configMs after a SIGHUP of its machine, and cut after it.
      const bool is_planned = signalled_at >= 0 && result.sent >= signalled_at &&
                              result.sent <= signalled_at + kConfigMs / 1000.0;
      if (is_cut && is_planned) ++lost;
    }
  }
  Record::Get().Line(
      "%zu requests: %d whole, %d cut over %.0f ms before the deadline and the route's timeout, "
      "their "
      "runners at work; %d of these sent within %d ms after a SIGHUP of their machine",
      results.size(), whole, cut, kMarginS * 1000, lost, kConfigMs);
  const bool ran = whole + cut >= kRequestsEach;
  const bool broken = lost > 0;
  Record::Get().Line("%s", !ran ? "could not run" : broken ? "BROKEN" : "HELD");
  for (auto& one : beats) one->Stop();
  fleet.End();
  std::fflush(nullptr);
  _exit(!ran ? 2 : broken ? 1 : 0);
}

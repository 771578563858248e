// End-to-end tests of forwarding: real control, router and kumquatctl processes, driven through the
// interfaces of the users' platform.
#include <fmt/format.h>

#include <QElapsedTimer>
#include <algorithm>
#include <csignal>
#include <cstdlib>

#include "process/forwarding/forward_bench.h"
#include "process/small_quarantine.h"

namespace kumquat {
namespace {

// Headers of a request with a prompt for the model "lm".
const HttpHeaders kPrompt = {{"Kumquatcross-Model", "lm"},
                             {"Kumquatcross-Token-Count", "100,10"},
                             {"Kumquatcross-Prompt-Prefix", "0a:90,0b:10"}};

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE(
    "Routers forward target, body and id without the key; unknown routes get 404, big bodies 413") {
  ForwardBench bench;
  StandInServer server("s1", "desk", bench.control());
  for (int router = 0; router < ForwardBench::kRouters; ++router) {
    bench.WaitForStatus(router, "/again/look", 200);
    std::string id;
    const auto call = bench.Run(router, "/once/book?seat=7", &id, "a booking",
                                {{"Kumquatcross-Tenant", "another"}, {"X-Own", "kept"}});
    CHECK(call->status == 200);
    CHECK(call->body == "ran a booking");
    CHECK(HeaderValue(call->headers, "Kumquatcross-Server-Stamp") == "stamp.s1");
    const HttpRequest& run = server.runs().back();
    CHECK(run.target == "/once/book?seat=7");
    CHECK(run.Header("Kumquatcross-Request-Id") == id);
    CHECK(run.Header("Kumquatcross-Tenant") == "clerks");
    CHECK(run.Header("X-Own") == "kept");
    CHECK(run.Header("Api-Key").empty());
    const auto stream = bench.Run(router, "/live/stream", &id);
    CHECK(stream->body == StandInServer::StreamFrom(0));
  }
  std::string id;
  CHECK(bench.Run(0, "/nowhere/", &id)->status == 404);
  CHECK(bench.Run(0, "/again/big", &id, std::string(200'000, 'x'))->status == 413);
  // These headers aren't sent; the request below reads the configuration from a control replica.
  HttpHeaders headers = bench.Headers(&id);
  headers.back().second = "no such key";
  const auto runs = server.runs().size();
  const auto config_read = bench.caller().Run(bench.control()[0], "GET", "/config");
  CHECK(config_read->status == 200);
  CHECK(server.runs().size() == runs);
}

// The first case of "Explaining a failed request" in docs/OPERATIONS.md.
TEST_CASE("A request that is refused as no server is ready doesn't run and is explained by id") {
  ForwardBench bench;
  StandInServer server("s1", "desk", bench.control());
  bench.WaitForStatus(0, "/again/look", 200);
  server.Leave();
  bench.WaitForStatus(0, "/again/look", 503);
  const auto runs = server.runs().size();
  std::string id;
  const auto call = bench.Run(0, "/once/book", &id, "a booking");
  CHECK(call->status == 503);
  CHECK(std::atof(std::string(HeaderValue(call->headers, "Retry-After")).c_str()) > 0);
  CHECK(server.runs().size() == runs);
  const std::string explanation = bench.Explain(id);
  CAPTURE(explanation);
  CHECK(Has(explanation, "outcome=no_backend_server"));
  CHECK_FALSE(Has(explanation, "event=request_sent"));
}

// The second case of "Explaining a failed request" in docs/OPERATIONS.md.
TEST_CASE("A broken stream that can't be resumed is cut off and is explained by id") {
  ForwardBench bench;
  StandInServer server("s1", "desk", bench.control());
  bench.WaitForStatus(0, "/again/look", 200);
  server.SetMode(StandInServer::Mode::kBreaksStreams);
  std::string id;
  const auto call = bench.Run(0, "/live/stream", &id);
  CHECK(call->failure == CallFailure::kBroken);
  CHECK(StandInServer::StreamFrom(0).starts_with(call->body));
  CHECK_FALSE(call->body.empty());
  const std::string explanation = bench.Explain(id);
  CAPTURE(explanation);
  CHECK(Has(explanation, "event=attempt_failed"));
  CHECK(Has(explanation, "backend=s1"));
  CHECK(Has(explanation, "failure=broken"));
  CHECK(Has(explanation, "outcome=cut"));
}

// The third case of "Explaining a failed request" in docs/OPERATIONS.md.
TEST_CASE("A once-only request whose answer is lost runs once, gets a 502 and is explained by id") {
  ForwardBench bench;
  StandInServer lossy("s1", "desk", bench.control());
  StandInServer other("s2", "desk", bench.control());
  bench.WaitForStatus(0, "/again/look", 200);
  CHECK(SpinUntil([&] {
    std::string id;
    bench.Run(0, "/again/look", &id);
    return !lossy.runs().empty() && !other.runs().empty();
  }));
  lossy.SetMode(StandInServer::Mode::kLosesAnswers);
  other.SetMode(StandInServer::Mode::kLosesAnswers);
  const auto before = lossy.runs().size() + other.runs().size();
  std::string id;
  const auto call = bench.Run(0, "/once/book", &id, "a booking");
  CHECK(call->status == 502);
  CHECK(lossy.runs().size() + other.runs().size() == before + 1);
  const std::string explanation = bench.Explain(id);
  CAPTURE(explanation);
  CHECK(Has(explanation, "event=request_sent"));
  CHECK(Has(explanation, "failure=broken"));
  CHECK(Has(explanation, "outcome=outcome_unknown"));
}

TEST_CASE("Repeatable requests and resumable streams that fail are completed by another server") {
  ForwardBench bench;
  StandInServer first("s1", "desk", bench.control());
  StandInServer second("s2", "desk", bench.control());
  bench.WaitForStatus(0, "/again/look", 200);
  // A router starts with an empty repeat budget, and each request adds a fifth of a repeat.
  for (int i = 0; i < 100; ++i) {
    std::string id;
    bench.Run(0, "/again/look", &id);
  }
  CHECK(!first.runs().empty());
  CHECK(!second.runs().empty());
  first.SetMode(StandInServer::Mode::kBreaksStreams);
  for (int i = 0; i < 10; ++i) {
    std::string id;
    const auto stream = bench.Run(0, "/long/stream", &id);
    CHECK(stream->status == 200);
    CHECK(stream->body == StandInServer::StreamFrom(0));
    CHECK(stream->ended);
  }
  first.SetMode(StandInServer::Mode::kLosesAnswers);
  for (int i = 0; i < 10; ++i) {
    std::string id;
    CHECK(bench.Run(0, "/again/look", &id)->status == 200);
  }
}

// The engine queues the request for longer than expected, and would begin it on weights that are
// too old by then.
TEST_CASE("A request queued at an engine whose weights become too old is sent to another engine") {
  ForwardBench bench;
  StandInServer outdated("s1", "desk", bench.control());
  outdated.SetWeights("lm", 1);
  bench.WaitForStatus(0, "/again/look", 200);
  // Each request adds a fifth of a repeat to the budget.
  for (int i = 0; i < 50; ++i) {
    std::string id;
    bench.Run(0, "/again/look", &id);
  }
  outdated.SetMode(StandInServer::Mode::kHoldsStreams);
  const std::size_t before = outdated.runs().size();
  bench.PutWeightsVersion("lm", 2);
  QElapsedTimer elapsed_timer;
  elapsed_timer.start();
  std::string id;
  const auto call = bench.Start(0, "/long/stream", &id, {}, kPrompt);
  REQUIRE(SpinUntil([&] { return outdated.runs().size() > before; }));
  StandInServer current("s2", "desk", bench.control());
  current.SetWeights("lm", 2);
  CHECK(SpinUntil([&] { return call->done(); }));
  CHECK(elapsed_timer.elapsed() < ForwardBench::kWeightsLongestLag.count() + 500);
  CHECK(call->status == 200);
  CHECK(call->body == StandInServer::StreamFrom(0));
  REQUIRE(!current.runs().empty());
  const std::string explanation = bench.Explain(id);
  CAPTURE(explanation);
  CHECK(Has(explanation, "event=attempt_taken_back"));
}

// Guards against a restarted router that takes a replaced version for recently replaced: it
// receives the newest version, but can't know how long ago that version was announced.
TEST_CASE(
    "A restarted router refuses requests within 2 s if the only weights were replaced long ago") {
  ForwardBench bench;
  StandInServer outdated("s1", "desk", bench.control());
  outdated.SetWeights("lm", 1);
  bench.WaitForStatus(0, "/again/look", 200);
  std::string id;
  CHECK(bench.Run(0, "/long/stream", &id, {}, kPrompt)->status == 200);
  bench.PutWeightsVersion("lm", 2);
  QElapsedTimer elapsed_timer;
  elapsed_timer.start();
  CHECK(SpinUntil(
      [&] { return elapsed_timer.elapsed() > ForwardBench::kWeightsLongestLag.count(); }));
  bench.router(0).Kill();
  bench.router(0).Start();
  bench.WaitForStatus(0, "/again/look", 200);
  elapsed_timer.restart();
  // While engines have replaced weights, the control leader sends the age of the replacing version
  // to all routers every half second. By its own observation alone, the router would send requests
  // for two seconds.
  CHECK(SpinUntil([&] { return bench.Run(0, "/long/stream", &id, {}, kPrompt)->status == 503; }));
  CHECK(elapsed_timer.elapsed() < 2000);
  const std::size_t before = outdated.runs().size();
  CHECK(bench.Run(0, "/long/stream", &id, {}, kPrompt)->status == 503);
  CHECK(outdated.runs().size() == before);
}

TEST_CASE("The memory of routers and replicas stays bounded when a server sends endless answers") {
  const SmallQuarantine quarantine;
  ForwardBench bench;
  StandInServer healthy("s1", "desk", bench.control());
  StandInServer faulty("s2", "desk", bench.control());
  faulty.SetWeights("lm", 1);
  bench.WaitForStatus(0, "/again/look", 200);
  bench.PutWeightsVersion("lm", 2);
  CHECK(SpinUntil([&] {
    std::string id;
    bench.Run(0, "/again/look", &id);
    return !faulty.runs().empty();
  }));
  faulty.SetMode(StandInServer::Mode::kFloods);
  QElapsedTimer elapsed_timer;
  elapsed_timer.start();
  std::vector<std::unique_ptr<TestCall>> calls;
  while (elapsed_timer.elapsed() < 4000) {
    std::string id;
    for (const char* path : {"/live/stream", "/long/stream", "/again/look"}) {
      if (calls.size() < 30) calls.push_back(bench.Start(0, path, &id));
    }
    QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents, 20);
  }
  constexpr std::int64_t kMaxPeakKilobytes = 120'000;
  CHECK(bench.router(0).peak_kilobytes() < kMaxPeakKilobytes);
  for (int replica = 0; replica < ForwardBench::kReplicas; ++replica) {
    CHECK(bench.replica(replica).peak_kilobytes() < kMaxPeakKilobytes);
  }
  CHECK(SpinUntil([&] {
    return std::all_of(calls.begin(), calls.end(), [](const auto& call) { return call->done(); });
  }));
}

// Heartbeats of another writer, each odd in one way.
std::vector<std::string> OddHeartbeats() {
  const auto beat = [](const std::string& fields) {
    return R"({"service":"desk","zone":"d1","version":"v1","state":"ready","models":[],"seq":1,"born":1,)" +
           fields + "}";
  };
  std::string models;
  for (int i = 0; i < 400; ++i) {
    models += fmt::format(R"({}{{"name":"m{}","version":1}})", i > 0 ? "," : "", i);
  }
  const std::string nested = std::string(100'000, '[') + std::string(100'000, ']');
  const std::string address = R"("addr":"127.0.0.1:9")";
  return {beat(R"("slots":1,)" + address + R"(,"more":)" + nested),
          beat(R"("slots":1e300,)" + address),
          beat(R"("slots":200000,)" + address),
          beat(R"("slots":1,"addr":"127.0.0.1:70000")"),
          beat(R"("slots":1,"addr":"999.1.1.1:80")"),
          beat(R"("slots":1,"seq":1e300,"born":1e300,)" + address),
          R"({"service":"desk","zone":"d1","version":"v1","state":"ready","models":[)" + models +
              R"(],"seq":1,"born":1,"slots":1,)" + address + "}",
          beat(R"("slots":1,"service":")" + std::string(5000, 'x') + R"(",)" + address)};
}

TEST_CASE("Odd heartbeats of another writer end no process, and servers are followed on") {
  ForwardBench bench;
  StandInServer early("s1", "desk", bench.control());
  bench.WaitForStatus(0, "/again/look", 200);
  int number = 0;
  for (const std::string& beat : OddHeartbeats()) {
    for (const Endpoint& replica : bench.control()) {
      const std::string id = fmt::format("odd-{}", ++number);
      const auto call = bench.caller().Run(replica, "PUT", "/instances/" + id,
                                           {{"Content-Type", "application/json"}}, beat);
      CHECK(call->status == 400);
    }
  }
  const auto long_id = bench.caller().Run(
      bench.control()[0], "PUT", "/instances/" + std::string(2000, 'i'),
      {{"Content-Type", "application/json"}},
      R"({"service":"desk","zone":"d1","version":"v1","state":"ready","models":[],"seq":1,"born":1,"slots":1,)"
      R"("addr":"127.0.0.1:9"})");
  CHECK(long_id->status == 400);
  // A router that starts now gets the whole table of servers, and then hears of a later server.
  bench.router(1).Kill();
  bench.router(1).Start();
  bench.WaitForStatus(1, "/again/look", 200);
  early.Leave();
  bench.WaitForStatus(0, "/again/look", 503);
  bench.WaitForStatus(1, "/again/look", 503);
  StandInServer late("s2", "desk", bench.control());
  for (int router = 0; router < ForwardBench::kRouters; ++router) {
    bench.WaitForStatus(router, "/again/look", 200);
    CHECK(bench.router(router).running());
  }
  for (int replica = 0; replica < ForwardBench::kReplicas; ++replica) {
    CHECK(bench.replica(replica).running());
  }
}

TEST_CASE("An unframed stream is whole if it ends between events and broken off inside one") {
  ForwardBench bench;
  std::string id;
  std::string body = "looked";
  int answers = 0;
  RawServer unframed([&](QTcpSocket* socket) {
    ++answers;
    const std::string head = "HTTP/1.1 200 OK\r\nKumquatcross-Request-Id: " + id +
                             "\r\nKumquatcross-Server-Stamp: s\r\n\r\n";
    socket->write(QByteArray::fromStdString(head + body));
    socket->disconnectFromHost();
  });
  const auto announced = bench.caller().Run(
      bench.control()[0], "PUT", "/instances/raw", {{"Content-Type", "application/json"}},
      fmt::format(
          R"({{"service":"desk","zone":"d1","version":"v1","state":"ready","models":[],"seq":1,"born":1,)"
          R"("slots":4,"addr":"127.0.0.1:{}"}})",
          unframed.serverPort()));
  REQUIRE(announced->status == 200);
  CHECK(SpinUntil([&] { return bench.Run(0, "/again/look", &id)->body == "looked"; }));
  body = StandInServer::StreamFrom(0);
  const auto whole = bench.Run(0, "/live/stream", &id);
  CHECK(whole->ended);
  CHECK(whole->body == body);
  body.resize(body.size() - 3);
  const auto broken = bench.Run(0, "/live/stream", &id);
  CHECK(broken->failure == CallFailure::kBroken);
  CHECK(body.starts_with(broken->body));
  // A stream that may be resumed goes on at the other server. Requests go to the server with the
  // lower failure rate until the broken answer above weighs nothing any more, which takes this
  // many.
  constexpr int kRequestsToForget = 500;
  for (int i = 0; i < kRequestsToForget; ++i) bench.Run(0, "/again/look", &id);
  StandInServer framed("s1", "desk", bench.control());
  CHECK(SpinUntil([&] {
    bench.Run(0, "/again/look", &id);
    return !framed.runs().empty();
  }));
  answers = 0;
  CHECK(SpinUntil([&] {
    const auto resumed = bench.Run(0, "/long/stream", &id);
    CHECK(resumed->ended);
    CHECK(resumed->body == StandInServer::StreamFrom(0));
    return answers > 0;
  }));
}

TEST_CASE(
    "A slow but sound stream is whole; one that sends a byte now and then ends at the time-out") {
  constexpr std::chrono::milliseconds kTimeout{5000};
  constexpr std::chrono::milliseconds kMargin{500};
  ForwardBench bench;
  StandInServer server("s1", "desk", bench.control());
  bench.WaitForStatus(0, "/again/look", 200);
  for (const std::string path : {"/live/stream", "/long/stream"}) {
    CAPTURE(path);
    std::string id;
    server.SetMode(StandInServer::Mode::kStreamsSlowly);
    const auto slow = bench.Run(0, path, &id);
    CHECK(slow->ended);
    CHECK(slow->body == StandInServer::StreamFrom(0));
    server.SetMode(StandInServer::Mode::kDribbles);
    QElapsedTimer elapsed_timer;
    elapsed_timer.start();
    const auto stalled = bench.Run(0, path, &id);
    CHECK(elapsed_timer.elapsed() < (kTimeout + kMargin).count());
    CHECK_FALSE(stalled->ended);
    CHECK(StandInServer::StreamFrom(0).starts_with(stalled->body));
  }
}

TEST_CASE("Configurations put while each replica in turn is down take effect and reach it later") {
  ForwardBench bench;
  StandInServer server("s1", "desk", bench.control());
  bench.WaitForStatus(0, "/again/look", 200);
  int version = 1;
  for (int replica = 0; replica < ForwardBench::kReplicas; ++replica) {
    bench.replica(replica).Kill();
    const std::string path = "/new" + std::to_string(replica) + "/";
    bench.PutConfiguration(++version, path);
    for (int router = 0; router < ForwardBench::kRouters; ++router) {
      bench.WaitForStatus(router, path, 200);
    }
    bench.replica(replica).Start();
    CHECK(SpinUntil([&] {
      const auto read = bench.caller().Run(bench.control()[replica], "GET", "/config");
      if (read->status != 200) return false;
      CHECK(read->json()["version"].toInt() == version);
      return true;
    }));
  }
}

TEST_CASE(
    "After SIGTERM, and another one, a router still serves for 1500 ms, cuts no stream and exits "
    "with status 0") {
  ForwardBench bench;
  StandInServer server("s1", "desk", bench.control());
  bench.WaitForStatus(0, "/again/look", 200);
  bench.router(0).Signal(SIGTERM);
  QElapsedTimer elapsed_timer;
  elapsed_timer.start();
  int served = 0;
  while (elapsed_timer.elapsed() < 1500) {
    std::string id;
    const auto call = bench.Run(0, "/live/stream", &id);
    CHECK(call->body == StandInServer::StreamFrom(0));
    if (++served == 1) bench.router(0).Signal(SIGTERM);
  }
  CHECK(served > 0);
  CHECK(SpinUntil([&] { return !bench.router(0).running(); }));
  CHECK(bench.router(0).exit_status() == 0);
}

// A router's deadline timer was a coarse one, which fires up to 5% early.
TEST_CASE("No request is ended before its route's timeout, and most within 0.5 s after it") {
  constexpr int kRequests = 40;
  constexpr std::chrono::milliseconds kTimeout{4000};
  constexpr std::chrono::milliseconds kLate{500};
  constexpr std::chrono::milliseconds kPause{26};
  ForwardBench bench;
  StandInServer server("s1", "desk", bench.control());
  bench.WaitForStatus(0, "/again/look", 200);
  bench.PutSlowRoute(2, "/slow/", kTimeout);
  bench.WaitForStatus(0, "/slow/", 200);
  server.AnswerAfter(3 * kTimeout);
  struct Sent {
    std::unique_ptr<TestCall> call;
    QElapsedTimer since;
    std::optional<qint64> ended_ms;
  };
  std::vector<Sent> requests;
  const auto note_ended = [&requests] {
    bool all_ended = true;
    for (Sent& sent : requests) {
      if (sent.call->done() && !sent.ended_ms) sent.ended_ms = sent.since.elapsed();
      all_ended = all_ended && sent.ended_ms;
    }
    return all_ended;
  };
  for (int i = 0; i < kRequests; ++i) {
    std::string id;
    requests.emplace_back().since.start();
    requests.back().call = bench.Start(0, "/slow/", &id, "a booking");
    SpinUntil([&] { return requests.back().since.elapsed() >= kPause.count(); });
  }
  CHECK(SpinUntil(note_ended));
  int late = 0;
  for (const Sent& sent : requests) {
    CHECK(sent.call->status == 504);
    CHECK(sent.ended_ms.value_or(0) >= kTimeout.count());
    if (sent.ended_ms.value_or(0) > (kTimeout + kLate).count()) ++late;
  }
  CHECK(late <= kRequests / 2);
}

// The timer that wakes waiting requests was started by new requests only.
TEST_CASE("A request that waits after its send failed is looked at again before its deadline") {
  ForwardBench bench;
  StandInServer server("s1", "desk", bench.control());
  bench.WaitForStatus(0, "/again/look", 200);
  server.Crash();
  // Until then it accepts connections, and a request that was sent on one may have run.
  CHECK(SpinUntil([&] { return !server.is_up(); }));
  QElapsedTimer elapsed_timer;
  elapsed_timer.start();
  std::string id;
  const auto call = bench.Run(0, "/once/book", &id, "a booking");
  CHECK((call->status == 200 || call->status == 503));
  CHECK(elapsed_timer.elapsed() < 2000);
}

// An organisation's callers come to both routers; together they get what one bucket holds.
TEST_CASE("A quota holds over both routers, and what is over it is refused as not run") {
  constexpr int kBurst = 10;
  constexpr int kRequests = 60;
  ForwardBench bench;
  StandInServer server("s1", "desk", bench.control());
  bench.WaitForStatus(0, "/again/look", 200);
  bench.WaitForStatus(1, "/again/look", 200);
  bench.SetQuota(1, kBurst);
  bench.PutConfiguration(2);
  // The routers know the quota once one of them refuses.
  bench.WaitForStatus(0, "/again/look", 429);
  bench.WaitForStatus(1, "/again/look", 429);
  const std::size_t before = server.runs().size();
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    std::string id;
    const auto call = bench.Run(i % 2, "/once/book", &id, "a booking");
    if (call->status == 200) ++served;
    if (call->status == 429) CHECK(!HeaderValue(call->headers, "Retry-After").empty());
    CHECK((call->status == 200 || call->status == 429));
  }
  CHECK(static_cast<int>(server.runs().size() - before) == served);
  CHECK(served < kRequests / 2);
  bench.SetQuota(0, 0);
  bench.PutConfiguration(3);
  bench.WaitForStatus(0, "/once/book", 200);
  bench.WaitForStatus(1, "/once/book", 200);
}

}  // namespace
}  // namespace kumquat

// Real replicas and operators: edits, races, and failures in between.
#include <fmt/format.h>

#include <doctest/doctest.h>
#include <signal.h>

#include <QElapsedTimer>
#include <QHostAddress>
#include <QJsonArray>
#include <QTcpServer>
#include <QTcpSocket>

#include "event_loop.h"
#include "process/control/control_cluster.h"
#include "protocol/backend_report.h"
#include "protocol/control_messages.h"
#include "protocol/engine_messages.h"
#include "protocol/json_fields.h"

namespace kumquat {
namespace {

constexpr std::chrono::seconds kLongest{30};
constexpr int kLongestSilenceMs = 1000;
constexpr int kExitConflict = 3;
constexpr int kExitInvalid = 4;
constexpr int kExitUnreachable = 5;

std::string AllowancesFile(int revision, int rate) {
  return "revision = " + std::to_string(revision) +
         "\n[[allowances]]\nplan = \"large\"\nrequests_per_second = " + std::to_string(rate) +
         "\ntokens_per_second = 10\nconcurrent_requests = 2\nservices = [\"bookings\"]\n"
         "models = [{ model = \"m\", version = \"v1\" }]\n";
}

const std::string kPlansFile =
    "revision = 0\n[[plans]]\norganisation = \"workshop\"\nplan = \"large\"\nkey_digests = []\n";

CommandResult SetAllowances(ControlCluster& cluster, int revision, int rate) {
  const std::string name = fmt::format("a{}-{}.toml", revision, rate);
  return cluster.Run(
      {"allowances", "set", cluster.WriteFile(name, AllowancesFile(revision, rate))});
}

bool HasRevision(ControlCluster& cluster, int replica, int revision) {
  return RunUntil(
      [&] {
        const auto status = cluster.Status(replica);
        return status && status->value("allowances_revision").toInt() == revision;
      },
      kLongest);
}

TEST_CASE("Operators edit the lists by files, and of a race one wins") {
  ControlCluster cluster;
  CHECK(cluster.Run({"plans", "set", cluster.WriteFile("early.toml", kPlansFile)}).exit_status ==
        kExitInvalid);
  const CommandResult first = SetAllowances(cluster, 0, 5);
  CHECK(first.exit_status == 0);
  CHECK(first.output == "Revision 1 is in force on every router.\n");
  CHECK(SetAllowances(cluster, 0, 5).output == first.output);
  CHECK(cluster.Run({"plans", "set", cluster.WriteFile("plans.toml", kPlansFile)}).exit_status ==
        0);

  // What `get` writes is what `set` takes.
  const CommandResult got = cluster.Run({"allowances", "get"});
  REQUIRE(got.exit_status == 0);
  CHECK(cluster.Run({"allowances", "set", cluster.WriteFile("got.toml", got.output)}).output ==
        "Revision 2 is in force on every router.\n");
  CHECK(cluster.Run({"plans", "set", cluster.WriteFile("empty.toml", "revision = 1\n")})
            .exit_status == kExitInvalid);
  const std::string typo = cluster.WriteFile("typo.toml", kPlansFile + "colour = 1\n");
  CHECK(cluster.Run({"plans", "set", typo}).errors.find("colour") != std::string::npos);

  const auto one =
      cluster.Begin({"allowances", "set", cluster.WriteFile("one.toml", AllowancesFile(2, 11))});
  const auto two =
      cluster.Begin({"allowances", "set", cluster.WriteFile("two.toml", AllowancesFile(2, 12))});
  const CommandResult one_result = ControlCluster::Finish(*one);
  const CommandResult two_result = ControlCluster::Finish(*two);
  CHECK(std::min(one_result.exit_status, two_result.exit_status) == 0);
  CHECK(std::max(one_result.exit_status, two_result.exit_status) == kExitConflict);
  const CommandResult& loser = one_result.exit_status == 0 ? two_result : one_result;
  CHECK(loser.errors.find("The current revision is 3.") != std::string::npos);
  const std::string rate = one_result.exit_status == 0 ? "= 11\n" : "= 12\n";
  CHECK(cluster.Run({"allowances", "get"}).output.find(rate) != std::string::npos);
  CHECK(cluster.Run({"status"}).output.find("\"role\":\"leader\"") != std::string::npos);
}

TEST_CASE("Replicas that are stopped under way exit with 0, the leader first, and don't hang") {
  ControlCluster cluster;
  REQUIRE(SetAllowances(cluster, 0, 5).exit_status == 0);
  const int leader = cluster.Leader();
  for (int i = 0; i < ControlCluster::kReplicas; ++i) {
    const int replica = (leader + i) % ControlCluster::kReplicas;
    // A call may be open at the replica.
    const auto edit = cluster.Begin({"allowances", "get"});
    cluster.Signal(replica, SIGTERM);
    CHECK(cluster.WaitForExit(replica) == 0);
    edit->kill();
    edit->waitForFinished();
  }
}

TEST_CASE("Edits and claims survive kills and freezes of the leader and a lost disk") {
  ControlCluster cluster;
  int revision = 0;
  const auto edit = [&] {
    const int rate = 100 + revision;
    QElapsedTimer timer;
    timer.start();
    const CommandResult result = SetAllowances(cluster, revision, rate);
    CAPTURE(result.errors);
    REQUIRE(result.exit_status == 0);
    ++revision;
    CHECK(cluster.Run({"allowances", "get"}).output.find("= " + std::to_string(rate) + "\n") !=
          std::string::npos);
    return timer.elapsed();
  };
  CHECK(edit() < 7000);
  CHECK(edit() < 7000);

  const ClaimRequest claim{{"workshop", "booking", "r1-1"}, "d", "r1", 1};
  ClaimRequest other = claim;
  other.id.claimant = "r2-1";
  CHECK(cluster.CallLeader("claim.begin", ToJson(claim))["verdict"].toString() == "granted");

  // Killed while an edit is under way: it is done by the next leader.
  const int killed = cluster.Leader();
  const auto under_way =
      cluster.Begin({"allowances", "set",
                     cluster.WriteFile("kill.toml", AllowancesFile(revision, 100 + revision))});
  cluster.Kill(killed);
  CHECK(ControlCluster::Finish(*under_way).exit_status == 0);
  ++revision;
  edit();
  CHECK(cluster.CallLeader("claim.begin", ToJson(other))["verdict"].toString() == "running");
  cluster.Start(killed);
  CHECK(HasRevision(cluster, killed, revision));

  // Frozen: the others go on, and it follows when it wakes.
  const int frozen = cluster.Leader();
  cluster.Signal(frozen, SIGSTOP);
  edit();
  edit();
  cluster.Signal(frozen, SIGCONT);
  CHECK(HasRevision(cluster, frozen, revision));
  const ClaimFinish finish{claim.id, RecordedAnswer{201, "text/plain", "booked"}};
  CHECK(cluster.CallLeader("claim.finish", ToJson(finish))["done"].toBool());

  // A lost disk, and another replica fails once that one is back.
  const int lost = (cluster.Leader() + 1) % ControlCluster::kReplicas;
  cluster.Kill(lost);
  cluster.WipeDisk(lost);
  cluster.Start(lost);
  for (int i = 0; i < 30; ++i) edit();
  CHECK(HasRevision(cluster, lost, revision));
  // The lost identity counts as a voter until it is replaced, but it has been silent since.
  const auto is_readmitted = [&] {
    const auto status = cluster.Status(cluster.Leader());
    if (!status) return false;
    int living_voters = 0;
    const QJsonArray peers = status->value("peers").toArray();
    for (const auto& peer : peers) {
      const bool lives = peer.toObject()["silent_ms"].toInt() < kLongestSilenceMs;
      if (lives && peer.toObject()["voter"].toBool()) ++living_voters;
    }
    return peers.size() == ControlCluster::kReplicas - 1 && living_voters == peers.size();
  };
  CHECK(RunUntil(is_readmitted, kLongest));
  const int second = (lost + 1) % ControlCluster::kReplicas;
  cluster.Kill(second);
  edit();
  CHECK(cluster.CallLeader("claim.begin", ToJson(other))["verdict"].toString() == "recorded");

  // Without a majority nothing is accepted and nothing is served.
  cluster.Kill((lost + 2) % ControlCluster::kReplicas);
  const std::string lone = cluster.WriteFile("lone.toml", AllowancesFile(revision, 1));
  CHECK(cluster.RunImpatiently({"allowances", "set", lone}).exit_status == kExitUnreachable);
  CHECK(cluster.RunImpatiently({"allowances", "get"}).exit_status == kExitUnreachable);
  for (int i = 0; i < ControlCluster::kReplicas; ++i) {
    if (i != lost) cluster.Start(i);
  }
  for (int i = 0; i < ControlCluster::kReplicas; ++i) {
    CHECK(RunUntil([&] { return cluster.Status(i).has_value(); }, kLongest));
  }
  // Whether the unanswered edit reached a log or not, sending it again completes it.
  CHECK(SetAllowances(cluster, revision, 1).exit_status == 0);
  CHECK(cluster.CallLeader("claim.begin", ToJson(other))["verdict"].toString() == "recorded");
}

TEST_CASE("A leader behind a silent cut serves no old state, and disturbs nobody when it returns") {
  ControlCluster cluster;
  REQUIRE(SetAllowances(cluster, 0, 100).exit_status == 0);
  const int cut = cluster.Leader();
  cluster.SetCut(cut, true);
  REQUIRE(SetAllowances(cluster, 1, 101).exit_status == 0);
  REQUIRE(SetAllowances(cluster, 2, 102).exit_status == 0);
  const int leader = cluster.Leader();
  CHECK(leader != cut);
  const auto term_of = [&](int replica) { return cluster.Status(replica)->value("term").toInt(); };
  const int term = term_of(leader);

  const auto read = cluster.Call(cut, control_method::kGetList, {{"list", "allowances"}});
  CHECK((!read || read->contains("error")));
  const LeaseRequest renewal{"r1", 1, 0, 0, 0, {}, 1};
  const auto lease = cluster.Call(cut, control_method::kRenewLease, ToJson(renewal));
  CHECK((!lease || lease->contains("error")));

  cluster.SetCut(cut, false);
  CHECK(HasRevision(cluster, cut, 3));
  CHECK(cluster.Leader() == leader);
  CHECK(term_of(leader) == term);
  CHECK(SetAllowances(cluster, 3, 103).exit_status == 0);
}

// Takes orders over HTTP and answers them all.
class OrderTaker {
 public:
  OrderTaker() {
    server_.listen(QHostAddress::LocalHost);
    QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this] {
      QTcpSocket* socket = server_.nextPendingConnection();
      QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket] { Read(socket); });
    });
  }

  Endpoint endpoint() const { return {"127.0.0.1", server_.serverPort()}; }

  std::vector<EngineOrder> orders;

 private:
  void Read(QTcpSocket* socket) {
    received_ += socket->readAll();
    const std::string body = received_.mid(received_.indexOf("\r\n\r\n") + 4).toStdString();
    std::string reason;
    const auto json = ParseJsonObject(body);
    const auto order = json ? ParseEngineOrder(*json, &reason) : std::nullopt;
    if (!order) return;
    orders.push_back(*order);
    received_.clear();
    socket->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    socket->disconnectFromHost();
  }

  QTcpServer server_;
  QByteArray received_;
};

TEST_CASE("A restarted engine is ordered again by the next leader, under a higher number") {
  ControlCluster cluster;
  REQUIRE(SetAllowances(cluster, 0, 5).exit_status == 0);
  OrderTaker engine;
  Announcement announcement;
  announcement.backend_id = "e1";
  announcement.endpoint = engine.endpoint();
  announcement.failure_domain = "d1";
  announcement.checks_fencing = true;
  const auto tell = [&] {
    ++announcement.sequence;
    cluster.CallLeader("backends.report", ToJson(BackendReport{"r1", {announcement}, {}}));
  };
  tell();
  REQUIRE(RunUntil([&] { return !engine.orders.empty(); }, kLongest));
  CHECK(engine.orders[0].models == std::vector<ModelVersion>{{"m", "", "v1"}});

  cluster.Kill(cluster.Leader());
  announcement.incarnation = 1;
  const std::size_t orders = engine.orders.size();
  tell();
  REQUIRE(RunUntil([&] { return engine.orders.size() > orders; }, kLongest));
  CHECK(engine.orders.back().fencing_number > engine.orders[0].fencing_number);
}

}  // namespace
}  // namespace kumquat

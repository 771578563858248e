#include "process/control/control_cluster.h"

#include <doctest/doctest.h>
#include "process/test_program.h"

#include <fmt/format.h>
#include <signal.h>

#include <QDir>
#include <QFile>
#include <QHostAddress>
#include <QTcpServer>
#include <random>

#include "event_loop.h"
#include "protocol/control_messages.h"
#include "protocol/json_fields.h"

namespace kumquat {
namespace {

constexpr std::chrono::seconds kLongest{30};
constexpr std::chrono::seconds kCallTimeout{2};

std::vector<std::uint16_t> FreePorts(int count) {
  std::vector<std::uint16_t> ports;
  ports.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) ports.push_back(FreeEndpoint().port);
  return ports;
}

std::string Name(int replica) { return fmt::format("c{}", replica + 1); }

}  // namespace

ControlCluster::ControlCluster() : ports_(FreePorts(kReplicas)), processes_(kReplicas) {
  std::string& control = control_list_;
  relays_.resize(kReplicas);
  for (int i = 0; i < kReplicas; ++i) {
    for (const std::uint16_t port : ports_) relays_[i].push_back(std::make_unique<ByteRelay>(port));
    const std::string endpoint = fmt::format("127.0.0.1:{}", ports_[i]);
    control += fmt::format("\"{}@{}\", ", Name(i), endpoint);
    std::string peers;
    for (int j = 0; j < kReplicas; ++j) {
      if (j != i) peers += fmt::format("\"{}@127.0.0.1:{}\", ", Name(j), relays_[i][j]->port());
    }
    WriteFile(Name(i) + ".toml",
              fmt::format("instance = \"{}\"\nfailure_domain = \"d1\"\nlisten = \"{}\"\n"
                          "peers = [{}]\ndata_dir = \"{}\"\nlog_level = \"warning\"\n"
                          "snapshot_entries = 20\n",
                          Name(i), endpoint, peers, Path(Name(i))));
    clients_.push_back(
        MakeRpcClient({"127.0.0.1", ports_[i]},
                      [generator = std::mt19937_64(i)]() mutable { return generator(); }));
  }
  WriteFile("ctl.toml", "control = [" + control + "]\n");
  WriteFile("impatient.toml", "control = [" + control + "]\ntimeout_ms = 5000\n");
  for (int i = 0; i < kReplicas; ++i) Start(i);
  Leader();
}

ControlCluster::~ControlCluster() {
  for (int i = 0; i < kReplicas; ++i) Kill(i);
}

std::string ControlCluster::Path(const std::string& name) const {
  return folder_.filePath(QString::fromStdString(name)).toStdString();
}

std::string ControlCluster::WriteFile(const std::string& name, const std::string& text) {
  QFile file(QString::fromStdString(Path(name)));
  REQUIRE(file.open(QIODevice::WriteOnly));
  file.write(QByteArray::fromStdString(text));
  return Path(name);
}

void ControlCluster::Start(int replica) {
  auto process = std::make_unique<QProcess>();
  process->setProcessChannelMode(QProcess::ForwardedErrorChannel);
  process->start(KUMQUAT_BIN_DIR "/kumquat-control",
                 {"--config", QString::fromStdString(Path(Name(replica) + ".toml"))});
  REQUIRE(process->waitForStarted());
  processes_[replica] = std::move(process);
}

void ControlCluster::Kill(int replica) {
  if (!processes_[replica]) return;
  processes_[replica]->kill();
  processes_[replica]->waitForFinished();
  processes_[replica].reset();
}

void ControlCluster::Signal(int replica, int signal) {
  ::kill(static_cast<pid_t>(processes_[replica]->processId()), signal);
}

int ControlCluster::WaitForExit(int replica) {
  QProcess& process = *processes_[replica];
  const bool ended = RunUntil([&] { return process.state() == QProcess::NotRunning; }, kLongest);
  return ended && process.exitStatus() == QProcess::NormalExit ? process.exitCode() : -1;
}

void ControlCluster::WipeDisk(int replica) {
  CHECK(QDir(QString::fromStdString(Path(Name(replica)))).removeRecursively());
}

void ControlCluster::SetCut(int replica, bool cut) {
  for (int other = 0; other < kReplicas; ++other) {
    relays_[replica][other]->SetCut(cut);
    relays_[other][replica]->SetCut(cut);
  }
}

std::unique_ptr<QProcess> ControlCluster::Begin(const std::vector<std::string>& words,
                                                const std::string& settings) {
  QStringList arguments{"--config", QString::fromStdString(Path(settings))};
  for (const std::string& word : words) arguments.append(QString::fromStdString(word));
  auto process = std::make_unique<QProcess>();
  process->start(KUMQUAT_BIN_DIR "/kumquatctl", arguments);
  REQUIRE(process->waitForStarted());
  return process;
}

CommandResult ControlCluster::Finish(QProcess& process) {
  const bool finished =
      RunUntil([&] { return process.state() == QProcess::NotRunning; }, 2 * kLongest);
  REQUIRE(finished);
  return {process.exitCode(), process.readAllStandardOutput().toStdString(),
          process.readAllStandardError().toStdString()};
}

CommandResult ControlCluster::Run(const std::vector<std::string>& words) {
  return Finish(*Begin(words));
}

CommandResult ControlCluster::RunImpatiently(const std::vector<std::string>& words) {
  return Finish(*Begin(words, "impatient.toml"));
}

std::optional<QJsonObject> ControlCluster::Call(int replica, std::string_view method,
                                                const QJsonObject& params) {
  bool done = false;
  std::optional<QJsonObject> answer;
  clients_[replica]->Call(method, params, kCallTimeout,
                          [&](const std::optional<QJsonObject>& result, RpcFailure) {
                            done = true;
                            answer = result;
                          });
  RunUntil([&] { return done; }, kLongest);
  return answer;
}

std::optional<QJsonObject> ControlCluster::Status(int replica) {
  return Call(replica, control_method::kStatus, {});
}

int ControlCluster::Leader() {
  int leader = -1;
  const bool found = RunUntil(
      [&] {
        for (int i = 0; i < kReplicas && leader < 0; ++i) {
          const auto status = Status(i);
          if (status && status->value("role").toString() == "leader") leader = i;
        }
        return leader >= 0;
      },
      kLongest);
  REQUIRE(found);
  return leader;
}

QJsonObject ControlCluster::CallLeader(std::string_view method, const QJsonObject& params) {
  std::optional<QJsonObject> answer;
  int replica = 0;
  const bool answered = RunUntil(
      [&] {
        answer = Call(replica++ % kReplicas, method, params);
        return answer && !answer->contains("error");
      },
      kLongest);
  REQUIRE(answered);
  return *answer;
}

}  // namespace kumquat

// Three control replicas and operators as real processes on the loopback address.
#pragma once

#include <QProcess>
#include <QTemporaryDir>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/transport/byte_relay.h"
#include "transport/rpc.h"

namespace kumquat {

// What a run of kumquatctl gave.
struct CommandResult {
  int exit_status = -1;
  std::string output;
  std::string errors;
};

class ControlCluster {
 public:
  static constexpr int kReplicas = 3;

  // Starts all replicas and waits until one leads.
  ControlCluster();

  // Ends the processes that it started.
  ~ControlCluster();

  void Start(int replica);
  void Kill(int replica);
  void Signal(int replica, int signal);
  // Waits for the end of a replica; returns its exit status, and -1 if a signal ended it or none
  // came.
  int WaitForExit(int replica);

  void WipeDisk(int replica);

  // Lets nothing pass between the replica and the others, without closing a connection.
  void SetCut(int replica, bool cut);

  // Runs kumquatctl to its end.
  CommandResult Run(const std::vector<std::string>& words);

  // Runs a command that isn't expected to get an answer, and waits less long for it.
  CommandResult RunImpatiently(const std::vector<std::string>& words);

  // Starts kumquatctl; Finish() waits for it.
  std::unique_ptr<QProcess> Begin(const std::vector<std::string>& words,
                                  const std::string& settings = "ctl.toml");
  static CommandResult Finish(QProcess& process);

  // Writes a file for the command line and returns its path.
  std::string WriteFile(const std::string& name, const std::string& text);

  // Returns the status that a replica gives; nothing when it doesn't answer in time.
  std::optional<QJsonObject> Status(int replica);

  // Waits for a leader among the replicas that answer, and returns it.
  int Leader();

  // Calls the leader, whichever replica that is, until it answers without an error.
  QJsonObject CallLeader(std::string_view method, const QJsonObject& params);

  // Returns the replicas as they stand in a settings file: "c1@ip:port", ...
  const std::string& control_list() const { return control_list_; }

  // Calls this replica; nothing when it doesn't answer in time.
  std::optional<QJsonObject> Call(int replica, std::string_view method, const QJsonObject& params);

 private:
  std::string Path(const std::string& name) const;

  QTemporaryDir folder_;
  std::string control_list_;
  std::vector<std::uint16_t> ports_;
  // What each replica (first index) reaches each other one through.
  std::vector<std::vector<std::unique_ptr<ByteRelay>>> relays_;
  std::vector<std::unique_ptr<QProcess>> processes_;
  std::vector<std::unique_ptr<RpcClient>> clients_;
};

}  // namespace kumquat

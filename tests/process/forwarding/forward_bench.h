// Control replicas and routers as processes on loopback, driven through the users' platform's
// interfaces by stand-ins of its callers, operators and backend servers.
#pragma once

#include <QTemporaryDir>
#include <array>
#include <memory>
#include <string>
#include <vector>

#include "process/forwarding/stand_in_server.h"
#include "process/test_caller.h"
#include "process/test_program.h"

namespace kumquat {

class ForwardBench {
 public:
  static constexpr int kReplicas = 3;
  static constexpr int kRouters = 2;
  // For how long engines may begin requests on weights that were replaced.
  static constexpr std::chrono::milliseconds kWeightsLongestLag{4000};

  // Starts everything, puts the first configuration, and waits until each router is ready.
  ForwardBench();

  // Returns a request of the organisation, with a fresh id.
  HttpHeaders Headers(std::string* id);

  std::unique_ptr<TestCall> Start(int router, const std::string& path, std::string* id,
                                  const std::string& body = {},
                                  const HttpHeaders& extra_headers = {});
  std::unique_ptr<TestCall> Run(int router, const std::string& path, std::string* id,
                                const std::string& body = {},
                                const HttpHeaders& extra_headers = {});

  // Puts a configuration of this version, to any replica that acknowledges it. Routes: /once/ may
  // run once, /again/ may be repeated, /live/ streams that can't be gone on with, /long/ streams
  // that can; `more_path` is one more that may be repeated.
  void PutConfiguration(int version, const std::string& extra_path = {});

  // Names weights of this version, to any replica that acknowledges it.
  void PutWeightsVersion(const std::string& model, int version);

  // Waits until the request gets this status through the router.
  void WaitForStatus(int router, const std::string& path, int status);

  // Returns what kumquatctl tells of the request from the logs of all processes.
  std::string Explain(const std::string& id);

  std::vector<Endpoint> control() const { return {control_.begin(), control_.end()}; }
  TestProgram& replica(int index) { return *replicas_[index]; }
  TestProgram& router(int index) { return *routers_[index]; }
  TestCaller& caller() { return caller_; }

 private:
  void SendUntilAcknowledged(const std::string& method, const std::string& path,
                             const QJsonObject& body);
  void StartReplicas();
  void StartRouters();
  std::string LogOf(const std::string& name) const;

  QTemporaryDir folder_;
  // Where replicas take heartbeats and operators' calls.
  std::array<Endpoint, kReplicas> control_;
  std::string seeds_;
  std::array<Endpoint, kRouters> listen_endpoints_;
  std::array<Endpoint, kRouters> ready_endpoints_;
  std::array<std::unique_ptr<TestProgram>, kReplicas> replicas_;
  std::array<std::unique_ptr<TestProgram>, kRouters> routers_;
  TestCaller caller_;
  int last_id_ = 0;
};

}  // namespace kumquat

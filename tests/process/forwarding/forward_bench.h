// Fixture that runs control replicas and routers as processes on loopback. Tests act as callers,
// operators and backend servers through the interfaces of the users' platform.
#pragma once

#include <QTemporaryDir>
#include <memory>
#include <string>
#include <vector>

#include "process/forwarding/stand_in_server.h"
#include "process/test_caller.h"
#include "process/test_program.h"

namespace kumquat {

// What a test may change of the processes.
struct ForwardBenchOptions;

class ForwardBench {
 public:
  static constexpr int kReplicas = 3;
  static constexpr int kRouters = 2;
  // How long after their replacement weights may still be used for new requests.
  static constexpr std::chrono::milliseconds kWeightsLongestLag{4000};

  // Memory that a router may use: the smallest machine that the users name.
  static constexpr int kRouterMemoryMb = 88;

  // Longest body of a caller that the configurations allow.
  static constexpr std::int64_t kMaxBodyBytes = 100'000;

  // Starts all processes, puts configuration version 1, and waits until each router is ready.
  ForwardBench() : ForwardBench(kReplicas, kRouters) {}
  ForwardBench(int replicas, int routers,
               std::chrono::milliseconds weights_longest_lag = kWeightsLongestLag);
  explicit ForwardBench(const ForwardBenchOptions& options);

  // Returns the headers of a request of the organisation, with a new id that `*id` is set to.
  HttpHeaders Headers(std::string* id);
  // The same with another API key.
  HttpHeaders HeadersWithKey(std::string* id, const std::string& key);

  std::unique_ptr<TestCall> Start(int router, const std::string& path, std::string* id,
                                  const std::string& body = {},
                                  const HttpHeaders& extra_headers = {});
  std::unique_ptr<TestCall> Run(int router, const std::string& path, std::string* id,
                                const std::string& body = {},
                                const HttpHeaders& extra_headers = {});

  // Puts a configuration of this version, retrying until a replica acknowledges it. Routes:
  // /once/ may run once only, /again/ may be repeated, /live/ streams can't be resumed, /long/
  // streams can; `extra_path` is one more route that may be repeated.
  void PutConfiguration(int version, const std::string& extra_path = {});

  // The same, where the extra route has this timeout and, unless another kind is named, may run
  // once only.
  void PutSlowRoute(int version, const std::string& extra_path, std::chrono::milliseconds timeout,
                    const char* kind = "non_idempotent");

  // The same, where the extra route is one of streams that can't be resumed.
  void PutSlowStreams(int version, const std::string& extra_path,
                      std::chrono::milliseconds timeout);

  // From now on each configuration has one more route, whose streams can't be resumed and are sent
  // to one server only.
  void KeepStreamRoute(const std::string& path, std::chrono::milliseconds timeout);

  // From now on each configuration says that the service's servers are engines with this model,
  // which move runs.
  void ServeByEngines(const std::string& model) { engine_model_ = model; }

  // From now on each configuration says whether the organisation is isolated; another organisation,
  // with the key kOtherKey, never is.
  void SetIsolated(bool is_isolated) { is_isolated_ = is_isolated; }
  static constexpr const char* kOtherKey = "owner-key";

  // From now on each configuration limits the organisation's requests over all routers.
  void SetQuota(int rate_per_second, int burst) { quota_ = {rate_per_second, burst}; }

  // From now on each configuration closes callers' connections that are idle for this long.
  void SetIdleTimeout(std::chrono::milliseconds timeout) { idle_timeout_ = timeout; }

  // Returns whether the router tells the load balancer that it takes requests.
  bool IsReady(int router);

  // Asks the router whether it takes requests and returns without waiting.
  std::unique_ptr<TestCall> StartReadyCheck(int router);

  // Names these replicas, in this order, as control seeds in the router's settings file.
  void WriteSeeds(int router, const std::vector<int>& replicas);

  // Sends a configuration of this version to one replica and returns without waiting.
  std::unique_ptr<TestCall> StartConfiguration(int replica, int version);

  // Announces a new weights version of the model, retrying until a replica acknowledges it.
  void PutWeightsVersion(const std::string& model, int version);

  // The same at one replica, without waiting.
  std::unique_ptr<TestCall> StartWeightsVersion(int replica, const std::string& model, int version);

  // Repeats a request through the router until it is answered with this status.
  void WaitForStatus(int router, const std::string& path, int status);

  // Returns what the router has logged so far.
  std::string RouterLog(int router) const;

  // Returns the explanation of the request that kumquatctl prints from the logs of all processes.
  std::string Explain(const std::string& id);

  const std::vector<Endpoint>& control() const { return control_; }
  TestProgram& replica(int index) { return *replicas_[index]; }
  // Returns where routers and other replicas reach the replica.
  const Endpoint& replica_endpoint(int index) const { return seeds_[index]; }
  const Endpoint& router_endpoint(int index) const { return listen_endpoints_[index]; }
  const Endpoint& ready_endpoint(int index) const { return ready_endpoints_[index]; }
  const Endpoint& metrics_endpoint(int index) const { return metrics_endpoints_[index]; }
  TestProgram& router(int index) { return *routers_[index]; }
  TestCaller& caller() { return caller_; }

 private:
  QJsonObject Configuration(int version, const QJsonObject& extra_route) const;
  void SendUntilAcknowledged(const std::string& method, const std::string& path,
                             const QJsonObject& body);
  void StartReplicas(int replicas);
  void StartRouters(int routers);
  std::string SettingsOf(int router, const std::string& seeds) const;
  std::string LogOf(const std::string& name) const;

  QTemporaryDir folder_;
  // HTTP addresses of the replicas, for heartbeats and operators' calls.
  std::vector<Endpoint> control_;
  // Addresses at which the replicas find each other and are found by routers.
  std::vector<Endpoint> seeds_;
  std::vector<Endpoint> listen_endpoints_;
  std::vector<Endpoint> ready_endpoints_;
  std::vector<Endpoint> metrics_endpoints_;
  std::vector<std::unique_ptr<TestProgram>> replicas_;
  std::vector<std::unique_ptr<TestProgram>> routers_;
  std::chrono::milliseconds weights_longest_lag_;
  int router_memory_mb_ = kRouterMemoryMb;
  int router_descriptors_ = 0;
  int replica_descriptors_ = 0;
  std::int64_t max_body_bytes_ = kMaxBodyBytes;
  std::string engine_model_;
  QJsonObject kept_route_;
  std::chrono::milliseconds idle_timeout_{0};
  struct Quota {
    int rate_per_second = 0;
    int burst = 0;
  };
  Quota quota_;
  bool is_isolated_ = false;
  TestCaller caller_;
  int last_id_ = 0;
};

struct ForwardBenchOptions {
  int replicas = ForwardBench::kReplicas;
  int routers = ForwardBench::kRouters;
  std::chrono::milliseconds weights_longest_lag = ForwardBench::kWeightsLongestLag;
  int router_memory_mb = ForwardBench::kRouterMemoryMb;
  // Descriptors that a router may have; 0 for those of the test.
  int router_descriptors = 0;
  // The same for a control replica.
  int replica_descriptors = 0;
  std::int64_t max_body_bytes = ForwardBench::kMaxBodyBytes;
  // Whether configuration version 1 is put, and the routers' readiness awaited.
  bool configures = true;
};

}  // namespace kumquat

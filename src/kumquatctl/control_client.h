// Calls the control replicas, whichever of them leads.
#pragma once

#include <QJsonObject>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "transport/rpc.h"
#include "utils/endpoint.h"
#include "utils/hooks.h"

namespace kumquat {

// Sends one call to one replica after another until one that leads has answered it. So a call may
// reach several of them, more than once; every method of control allows for that.
class ControlClient {
 public:
  ControlClient(const std::vector<NamedEndpoint>& replicas, const Random& random);

  // Returns the leader's answer; nothing when there was none within the time.
  std::optional<QJsonObject> CallLeader(std::string_view method, const QJsonObject& params,
                                        Duration longest);

  // Asks each replica for its status.
  struct ReplicaStatus {
    std::string name;
    // Nothing when the replica did not answer; `outcome` then says how the connection fared.
    std::optional<QJsonObject> status;
    ConnectOutcome outcome = ConnectOutcome::kNone;
  };
  std::vector<ReplicaStatus> Statuses();

 private:
  struct Replica {
    NamedEndpoint address;
    std::unique_ptr<RpcClient> client;
  };

  // Calls and waits for the answer.
  static std::optional<QJsonObject> Call(RpcClient& client, std::string_view method,
                                         const QJsonObject& params, Duration longest);
  static void Wait(Duration duration);
  // Runs the event loop until some replica is connected or all attempts have failed once.
  void WaitForConnections(Duration longest) const;
  // Chooses the replica to call next, after an answer that it is not the leader.
  void Advance(const QJsonObject& refusal);

  std::vector<Replica> replicas_;
  std::size_t next_ = 0;
};

}  // namespace kumquat

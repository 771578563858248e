// One control replica: the log, its state and its service behind one listening address.
#pragma once

#include <QTimer>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coordination/log/replicated_log.h"
#include "state/control/control_state.h"
#include "state/control_service/control_service.h"
#include "transport/backend_client.h"
#include "transport/frame_link.h"
#include "transport/rpc.h"
#include "utils/endpoint.h"
#include "utils/hooks.h"

namespace kumquat {

struct ControlNodeOptions {
  std::string instance;
  Endpoint listen;
  // The other replicas.
  std::vector<NamedEndpoint> peers;
  LogOptions log;
  ControlServiceOptions service;
};

// Replicas talk over links of their own, one each way: JSON-RPC frames carry calls, CBOR frames
// carry the log's messages to a replica and announcements of new revisions from it.
class ControlNode {
 public:
  // The storage outlives the node. `on_failed` tells that the log has stopped for good.
  ControlNode(ControlNodeOptions options, LogStorage* storage, const Random& random,
              std::function<void(const std::string& reason)> on_failed);

  // Listens, then starts the log; false when either fails, with last_reason().
  bool Start();

  const std::string& last_reason() const { return last_reason_; }

 private:
  std::unique_ptr<ReplicatedLog> MakeLog(LogStorage* storage, const Random& random,
                                         std::function<void(const std::string& reason)> on_failed);
  std::string AddressOf(std::string_view name) const;
  void Received(const std::shared_ptr<FrameConnection>& connection, FrameKind kind,
                std::string_view payload);
  void Send(const LogMessage& message);
  void AnnounceRevision(std::int64_t revision);
  void SendOrder(const Announcement& engine, const EngineOrder& order);
  void OrderEnded(std::int64_t fencing_number, std::string_view outcome);

  ControlNodeOptions options_;
  std::string last_reason_;
  ControlState state_;
  ControlService service_;
  std::unique_ptr<RpcServer> rpc_;
  std::unique_ptr<FrameServer> server_;
  std::map<std::string, std::unique_ptr<FrameLink>, std::less<>> links_;
  std::unique_ptr<ReplicatedLog> log_;
  std::unique_ptr<BackendClient> backend_client_;
  // Orders under way, by fencing number.
  std::map<std::int64_t, std::unique_ptr<BackendCall>> orders_;
  QTimer tick_;
  QTimer flush_;
};

}  // namespace kumquat

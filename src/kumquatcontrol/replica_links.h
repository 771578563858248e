// Links from this control replica to the others, by name.
#pragma once

#include <QJsonObject>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/log/log_messages.h"
#include "transport/rpc.h"
#include "utils/endpoint.h"
#include "utils/hooks.h"

namespace kumquat {

class ReplicaLinks {
 public:
  // Replicas outside of `peers` are reached under their name where it is an address and
  // `names_are_addresses` says so.
  ReplicaLinks(std::vector<NamedEndpoint> peers, bool names_are_addresses, Random random);

  // Links to these replicas, so that what is sent to them later finds a connection.
  void Connect(const std::vector<std::string>& names);

  void Send(const LogMessage& message);
  void Send(std::string_view name, FrameKind kind, std::string_view payload);

  // Calls a method of the replica; the result is empty when it could not be called or failed.
  void Call(std::string_view name, std::string_view method, const QJsonObject& params,
            Duration timeout, std::function<void(const std::optional<QJsonObject>& result)> done);

  // Returns the names of the replicas that this one is linked to now.
  std::vector<std::string> Connected() const;

  // Returns the replica's address as "name@ip:port"; its name alone when it isn't known.
  std::string AddressOf(std::string_view name) const;

 private:
  // Returns null when the name leads nowhere.
  RpcClient* LinkTo(std::string_view name);
  std::optional<Endpoint> EndpointOf(std::string_view name) const;

  std::vector<NamedEndpoint> peers_;
  bool names_are_addresses_;
  Random random_;
  std::map<std::string, std::unique_ptr<RpcClient>, std::less<>> links_;
};

}  // namespace kumquat

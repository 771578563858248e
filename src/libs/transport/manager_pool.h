// Network managers that have no call at the moment, by the server they are connected to.
#pragma once

#include <QNetworkAccessManager>
#include <map>
#include <memory>
#include <vector>

#include "utils/endpoint.h"

namespace kumquat::Internal {

// A manager serves one call at a time, since Qt limits the connections of each; its connection
// stays open for the next call to the same server.
class ManagerPool {
 public:
  using Manager = std::unique_ptr<QNetworkAccessManager>;

  // Returns a manager whose last call went to this server; a new one if there is none.
  Manager Take(const Endpoint& endpoint);

  // Returns a manager without any connection.
  static Manager MakeNew();

  // Takes a manager back whose call ended whole.
  void Return(const Endpoint& endpoint, Manager manager);

 private:
  std::map<Endpoint, std::vector<Manager>> idle_;
  std::size_t idle_count_ = 0;
};

}  // namespace kumquat::Internal

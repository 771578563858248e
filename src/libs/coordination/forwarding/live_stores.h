// Which stores of kept cache are alive, by what control replicas say.
#pragma once

#include <map>
#include <string>

#include "utils/endpoint.h"
#include "utils/hooks.h"

namespace kumquat {

class LiveStores {
 public:
  // Takes in what one replica says.
  void Update(const std::map<std::string, bool>& alive, Instant now);

  // Returns whether a replica said lately that the store is alive, and none that it is dead. An
  // engine that fetches from a dead store loses more than it gains from a live one.
  bool IsAlive(const Endpoint& store, Instant now) const;

 private:
  struct Reports {
    Instant alive_at{0};
    Instant dead_at{0};
  };
  std::map<std::string, Reports> stores_;
};

}  // namespace kumquat

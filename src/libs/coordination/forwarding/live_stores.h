// Tracks which cache stores are alive, by the reports of the control replicas.
#pragma once

#include <map>
#include <string>

#include "utils/endpoint.h"
#include "utils/hooks.h"

namespace kumquat {

class LiveStores {
 public:
  // Records the report of one replica: whether each store, by its address, is alive.
  void Update(const std::map<std::string, bool>& alive, Instant now);

  // Returns whether some replica recently reported the store alive and none recently reported it
  // dead. A single dead report is enough, since fetching from a dead store costs an engine more
  // than fetching from a live one saves.
  bool IsAlive(const Endpoint& store, Instant now) const;

 private:
  // When any replica last reported the store alive, and dead; 0 for never.
  struct Reports {
    Instant alive_at{0};
    Instant dead_at{0};
  };
  std::map<std::string, Reports> stores_;
};

}  // namespace kumquat

// Decides under which scope the memory of a run is cached by the engines that run it.
#pragma once

#include <string>
#include <utility>

#include "utils/hooks.h"

namespace kumquat {

// An engine caches the parts of a prompt under the scope of the request that brought them, both
// those that it computes and those that are in the memory of a run that goes on there. A scope is
// shared by the organisations of one set of isolated organisations (RouteIndex::CacheScopeOf), so
// memory may only go on under the scope that it was computed under. If another scope is in force by
// then, the run goes on under one of its own: the new scope must not get its parts, and the run
// must not look for more parts under the old one.
class RunCacheScope {
 public:
  explicit RunCacheScope(Random random) : random_(std::move(random)) {}

  // The run is sent without memory, and computes its prompt under the scope in force.
  void Begin(std::string scope_in_force);

  // The same, with parts that nothing else may use.
  void BeginAlone();

  // The run is sent on with the memory of what was last sent.
  void GoOn(const std::string& scope_in_force);

  // Returns the scope of the last send.
  const std::string& name() const { return name_; }

 private:
  Random random_;
  std::string name_;
};

}  // namespace kumquat

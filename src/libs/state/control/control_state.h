// The state that the control replicas keep by their log: the two lists, the claims, the documents
// and the departures of backend servers.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "coordination/state_machine.h"
#include "state/control/claim_table.h"
#include "state/control/control_command.h"
#include "state/control/departure_table.h"
#include "state/control/document_store.h"
#include "state/control/versioned_lists.h"

namespace kumquat {

// Applies ControlCommands. The answer to each is the JSON text of its method's result: ListAnswer,
// ClaimAnswer, {"done": bool} for the end of a claim or a departure, or {"version": number} for a
// document.
class ControlState : public StateMachine {
 public:
  explicit ControlState(const ClaimLimits& limits = {}) : claims_(limits) {}

  std::string Apply(std::uint64_t index, std::string_view command) override;
  std::string Snapshot() const override;
  bool Restore(std::string_view snapshot) override;

  const VersionedLists& lists() const { return lists_; }
  const ClaimTable& claims() const { return claims_; }
  const DocumentStore& documents() const { return documents_; }
  const DepartureTable& departures() const { return departures_; }

  // Returns the highest time that a command has carried.
  LogicalTime time() const { return time_; }

 private:
  LogicalTime time_{0};
  VersionedLists lists_;
  ClaimTable claims_;
  DocumentStore documents_;
  DepartureTable departures_;
};

}  // namespace kumquat

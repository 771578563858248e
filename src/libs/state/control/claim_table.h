// The claims on calls that may not be repeated.
#pragma once

#include <QCborValue>
#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>

#include "protocol/control_messages.h"
#include "state/control/control_command.h"

namespace kumquat {

struct ClaimLimits {
  // Claims that are kept of one organisation; further ones are refused.
  std::size_t claims_per_organisation = 100'000;
  // Bodies that are kept of one organisation, and the largest one. A call whose answer isn't kept
  // counts as outcome unknown, with its status given.
  std::int64_t body_bytes_per_organisation = 8 * 1024 * 1024;
  std::int64_t largest_body_bytes = 64 * 1024;
  // After this a claim is forgotten, and a call with its key would run again.
  LogicalTime lifetime = std::chrono::hours(24);
  // A claim that runs longer counts as outcome unknown.
  LogicalTime longest_run = std::chrono::minutes(10);
};

// Grants each (organisation, key) to one claimant. A granted claim ends recorded or with the
// outcome unknown, or is released when the claimant sent no byte; only then it may be granted
// again. What a claimant reports after its claim was counted as unknown still counts, as nobody
// else was granted it.
//
// A claimant that released its claim may not ask for it again: a late copy of its release could
// not be told from a new one. It is told that the call is running.
class ClaimTable {
 public:
  explicit ClaimTable(const ClaimLimits& limits = {}) : limits_(limits) {}

  // Forgets what is older than its lifetime.
  void Expire(LogicalTime now);

  ClaimAnswer Begin(const ClaimRequest& request, LogicalTime now);

  // Returns whether the claim is the claimant's and has ended now.
  bool Finish(const ClaimFinish& finish);

  // Returns whether the claim was the claimant's and still running, or was released before.
  bool Release(const ClaimId& id, LogicalTime now);

  std::size_t size() const { return claims_.size(); }

  QCborValue Snapshot() const;
  // False when the value is not a snapshot; the table is unspecified then.
  bool Restore(const QCborValue& snapshot);

 private:
  enum class State : std::int64_t { kRunning, kRecorded, kUnknown, kReleased };

  struct Claim {
    std::string claimant;
    std::string digest;
    std::string router_id;
    std::int64_t router_incarnation = 0;
    LogicalTime begun{0};
    State state = State::kRunning;
    // The answer, without its body when `state` is kUnknown.
    std::optional<RecordedAnswer> recorded;
  };

  // The newest start of a router that is known from its claims.
  struct Router {
    std::int64_t incarnation = 0;
    LogicalTime seen{0};
  };

  struct Usage {
    std::size_t claims = 0;
    std::int64_t body_bytes = 0;
  };

  // Organisation and idempotency key.
  using Key = std::pair<std::string, std::string>;

  static Key KeyOf(const ClaimId& id) { return {id.organisation, id.idempotency_key}; }

  void NoteRouter(const ClaimRequest& request, LogicalTime now);
  State StateAt(const Claim& claim, LogicalTime now) const;
  ClaimAnswer Grant(const ClaimRequest& request, LogicalTime now);
  void Insert(const Key& key, Claim claim);
  void Erase(const Key& key);
  void Record(const Key& key, Claim* claim, RecordedAnswer answer);
  Claim* ClaimOf(const ClaimId& id);

  ClaimLimits limits_;
  std::map<Key, Claim> claims_;
  // The same claims by age.
  std::set<std::pair<LogicalTime, Key>> by_age_;
  std::map<std::string, Usage> usage_;
  std::map<std::string, Router> routers_;
};

}  // namespace kumquat

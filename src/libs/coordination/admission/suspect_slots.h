// Lets at most one suspect at a time run on each backend server, across all routers, as long as the
// routers agree on which of them owns its slot.
//
// A suspect is a request that was running when a backend server died. Each backend server has one
// slot for suspects and one owner among the routers, which leases the slot to the router that asks
// first. While routers disagree about which routers are live, two of them may consider themselves
// the owner and lease the same slot, so that two suspects may run on one backend server.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "utils/hooks.h"

namespace kumquat {

enum class SlotMessageKind { kRequest, kGrant, kRelease };

// A message between two routers about the slot of a backend server.
struct SlotMessage {
  SlotMessageKind kind = SlotMessageKind::kRequest;
  std::string backend_id;
  std::string digest;
  // Unique among the slot requests of a router. The grant and the release repeat it.
  std::int64_t number = 0;

  bool operator==(const SlotMessage&) const = default;
};

struct SuspectSlotsHooks {
  // Returns the router that owns the slot of the backend server; empty when there is none.
  std::function<std::string(std::string_view backend_id)> owner_of;
  // Returns whether no suspect of this router runs on the backend server.
  std::function<bool(const std::string& backend_id)> is_free;
  std::function<void(const std::string& router, const SlotMessage& message)> send;
};

class SuspectSlots {
 public:
  // `lease` is the duration of a lease; it should exceed the longest time that a request may run.
  SuspectSlots(std::string self, Duration lease, SuspectSlotsHooks hooks);

  // Returns whether this router may start the suspect on the backend server now.
  bool Holds(const std::string& digest, const std::string& backend_id, Instant now) const;

  // Asks the owner for the slot, unless it has been granted or a recent request is unanswered.
  void Request(const std::string& digest, const std::string& backend_id, Instant now);

  // The suspect starts on the backend server. Releases its slots on all other backend servers.
  void OnStarted(const std::string& digest, const std::string& backend_id);

  // The suspect no longer runs on the backend server. Releases its slot there.
  void OnStopped(const std::string& digest, const std::string& backend_id);

  // The request has ended or is no longer a suspect. Releases all of its slots.
  void Abandon(const std::string& digest);

  void Receive(const std::string& from, const SlotMessage& message, Instant now);

  // Sets the live routers and the run number of each, which grows with each restart. Ends the
  // leases of routers that are gone or have restarted, as nobody would release them any more.
  void SetRouters(const std::map<std::string, std::int64_t>& runs);

 private:
  // A request of this router for a slot that another router owns.
  struct SlotRequest {
    std::int64_t number = 0;
    std::string owner;
    bool is_granted = false;
    Instant sent_at{0};
  };

  // A lease of a slot that this router owns to another router.
  struct SlotLease {
    std::string router;
    std::string digest;
    std::int64_t number = 0;
    Instant ends{0};
  };

  using SlotKey = std::pair<std::string, std::string>;

  bool IsGrantValid(const SlotRequest& wanted, Instant now) const;
  void Release(const SlotKey& key, const SlotRequest& wanted);
  void GrantLease(const std::string& from, const SlotMessage& message, Instant now);

  std::string self_;
  Duration lease_;
  SuspectSlotsHooks hooks_;
  std::int64_t last_number_ = 0;
  // Keyed by digest and backend server.
  std::map<SlotKey, SlotRequest> requests_;
  // Keyed by backend server.
  std::map<std::string, SlotLease> leases_;
  std::map<std::string, std::int64_t> runs_;
};

}  // namespace kumquat

// Keeps suspects of different routers apart: on each backend server at most one suspect runs.
//
// A suspect is a request that was running when a backend server died. Each backend server has one
// owner among the routers, which leases its one slot for suspects to whichever router asks. While
// routers disagree about who is live, two owners may lease the slot of one backend server; a
// suspect may then meet another one.
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

// What routers tell each other about a slot.
struct SlotMessage {
  SlotMessageKind kind = SlotMessageKind::kRequest;
  std::string backend_id;
  std::string digest;
  // Unique to each request of a router; grants and releases carry it back.
  std::int64_t number = 0;

  bool operator==(const SlotMessage&) const = default;
};

struct SuspectSlotsHooks {
  // Returns the router that owns the backend server's slot.
  std::function<std::string(std::string_view backend_id)> owner_of;
  // Whether no suspect of this router runs on the backend server.
  std::function<bool(const std::string& backend_id)> is_free;
  std::function<void(const std::string& router, const SlotMessage& message)> send;
};

class SuspectSlots {
 public:
  // A lease should be longer than any request may run.
  SuspectSlots(std::string self, Duration lease, SuspectSlotsHooks hooks);

  // Whether this router may run the suspect on the backend server now.
  bool Holds(const std::string& digest, const std::string& backend_id, Instant now) const;

  // Asks the owner for the slot, unless an answer is still awaited.
  void Request(const std::string& digest, const std::string& backend_id, Instant now);

  // The suspect starts on the backend server: slots elsewhere that it was given are let go.
  void Started(const std::string& digest, const std::string& backend_id);

  // The suspect runs no more on the backend server.
  void Stopped(const std::string& digest, const std::string& backend_id);

  // The suspect is given up, or is none any more: every slot that it was given is let go.
  void Abandon(const std::string& digest);

  void Receive(const std::string& from, const SlotMessage& message, Instant now);

  // Sets the live routers and the run of each, which grows when it starts anew. What was leased to
  // a run that is gone is free again: nobody would let go of it before the lease ends.
  void SetRouters(const std::map<std::string, std::int64_t>& runs);

 private:
  // A slot of another owner that this router asked for.
  struct Wanted {
    std::int64_t number = 0;
    std::string owner;
    bool is_granted = false;
    Instant sent_at{0};
  };

  // A slot that this router owns and leased to another one.
  struct Leased {
    std::string router;
    std::string digest;
    std::int64_t number = 0;
    Instant ends{0};
  };

  using SlotKey = std::pair<std::string, std::string>;

  bool IsValid(const Wanted& wanted, Instant now) const;
  void Release(const SlotKey& key, const Wanted& wanted);
  void Lease(const std::string& from, const SlotMessage& message, Instant now);

  std::string self_;
  Duration lease_;
  SuspectSlotsHooks hooks_;
  std::int64_t last_number_ = 0;
  // By digest and backend server.
  std::map<SlotKey, Wanted> wanted_;
  // By backend server.
  std::map<std::string, Leased> leased_;
  std::map<std::string, std::int64_t> runs_;
};

}  // namespace kumquat

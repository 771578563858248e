// Data types of the replicated log: entries, snapshots, replica identities and membership.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace kumquat {

// Identifies a replica by its name and its storage. A replica that lost its disk returns with the
// same name and another storage identity, and the others treat it as a different replica.
struct ReplicaId {
  std::string name;

  // Random number, generated when the storage is first initialised. 0 in a message's destination
  // addresses any replica of that name.
  std::uint64_t storage_identity = 0;

  bool operator==(const ReplicaId&) const = default;
  bool operator<(const ReplicaId& other) const {
    return std::tie(name, storage_identity) < std::tie(other.name, other.storage_identity);
  }
};

// The replicas whose votes and acknowledgements count towards a majority.
struct Membership {
  std::vector<ReplicaId> voters;

  bool Contains(const ReplicaId& id) const;

  // Returns the voter with this name, whatever its storage identity.
  std::optional<ReplicaId> VoterNamed(std::string_view name) const;

  bool operator==(const Membership&) const = default;
};

// Encodes a membership as the payload of an entry.
std::string EncodeMembership(const Membership& membership);

// Returns std::nullopt when the bytes aren't an encoded membership.
std::optional<Membership> DecodeMembership(std::string_view bytes);

enum class EntryKind { kCommand, kMembership, kNoOp };

// One entry of the log. Indices start at 1 and have no gaps.
struct LogEntry {
  std::uint64_t term = 0;
  std::uint64_t index = 0;
  EntryKind kind = EntryKind::kCommand;

  // The state machine's command, an encoded Membership, or empty for a no-op.
  std::string payload;

  bool operator==(const LogEntry&) const = default;
};

// The state after all entries up to and including `index`, which it replaces.
struct LogSnapshot {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  Membership membership;
  std::string state;

  bool operator==(const LogSnapshot&) const = default;
};

}  // namespace kumquat

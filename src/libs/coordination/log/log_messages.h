// The messages between the replicas of one log, and their CBOR encoding.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "coordination/log/log_entry.h"
#include "utils/hooks.h"

namespace kumquat {

// Asks whether the receiver would grant a vote, without raising its term. The message's term is the
// one in which the candidate would campaign.
struct PreVote {
  std::uint64_t last_index = 0;
  std::uint64_t last_term = 0;
};

struct PreVoteAnswer {
  bool granted = false;

  // The term of the PreVote request; the message's own term is the answering replica's.
  std::uint64_t asked_term = 0;
};

struct Vote {
  std::uint64_t last_index = 0;
  std::uint64_t last_term = 0;

  // Marks a founding election: only empty replicas grant it, and the candidate needs every vote.
  bool bootstrap = false;
};

struct VoteAnswer {
  bool granted = false;

  // For how long the voter has neither led nor accepted a message of a leader, nor been restarted.
  Duration quiet_for{0};
};

// Carries new entries; without entries it is the leader's heartbeat.
struct Append {
  std::uint64_t previous_index = 0;
  std::uint64_t previous_term = 0;
  std::uint64_t commit_index = 0;

  // Number of the leader's heartbeat round; the answer echoes it.
  std::uint64_t round = 0;
  std::vector<LogEntry> entries;
};

struct AppendAnswer {
  bool accepted = false;

  // If accepted: the receiver's log equals the leader's up to this index and is synced. Otherwise:
  // the index from which the leader should retry.
  std::uint64_t index = 0;
  std::uint64_t round = 0;
};

// One chunk of a snapshot.
struct InstallSnapshot {
  // Index, term and membership of the snapshot; `state` holds only this chunk's bytes.
  LogSnapshot chunk;
  std::uint64_t offset = 0;
  std::uint64_t total_bytes = 0;
  std::uint64_t round = 0;
};

struct InstallSnapshotAnswer {
  std::uint64_t snapshot_index = 0;

  // Offset of the next chunk that is needed; total_bytes of the request once the snapshot is
  // installed.
  std::uint64_t next_offset = 0;
  bool installed = false;
  std::uint64_t round = 0;
};

// Announces a replica that wants to be replicated to and admitted as a voter. Addressed by name,
// whatever the receiver's storage identity.
struct Join {
  // True when the sender's log is empty.
  bool empty = true;
};

struct JoinAnswer {
  // True when the answering replica's log is empty.
  bool empty = true;

  // Names of the voters that the answering replica knows; one of them may be the leader.
  std::vector<std::string> voters;
};

struct LogMessage {
  using Body = std::variant<PreVote, PreVoteAnswer, Vote, VoteAnswer, Append, AppendAnswer,
                            InstallSnapshot, InstallSnapshotAnswer, Join, JoinAnswer>;

  ReplicaId from;
  ReplicaId to;
  std::uint64_t term = 0;
  Body body;
};

std::string Encode(const LogMessage& message);

// Returns std::nullopt when the bytes aren't an encoded message.
std::optional<LogMessage> DecodeLogMessage(std::string_view bytes);

}  // namespace kumquat

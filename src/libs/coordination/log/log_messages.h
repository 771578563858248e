// The messages between the replicas of one log, and their CBOR form.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "coordination/log/log_entry.h"

namespace kumquat {

// Asks whether a vote would be granted, without raising anyone's term. The message's term is the
// one the candidate would campaign in.
struct PreVote {
  std::uint64_t last_index = 0;
  std::uint64_t last_term = 0;
};

struct PreVoteAnswer {
  bool granted = false;

  // The term that was asked for; the message's term is the answerer's own.
  std::uint64_t asked_term = 0;
};

struct Vote {
  std::uint64_t last_index = 0;
  std::uint64_t last_term = 0;

  // Asks an empty replica to found the cluster; such an election needs every vote.
  bool bootstrap = false;
};

struct VoteAnswer {
  bool granted = false;
};

// Carries new entries, and is the leader's heartbeat when it carries none.
struct Append {
  std::uint64_t previous_index = 0;
  std::uint64_t previous_term = 0;
  std::uint64_t commit_index = 0;

  // Numbers the leader's heartbeat rounds; the answer repeats it.
  std::uint64_t round = 0;
  std::vector<LogEntry> entries;
};

struct AppendAnswer {
  bool accepted = false;

  // When accepted: the log equals the leader's up to here, and is synced. Otherwise: the index
  // from which the leader should try again.
  std::uint64_t index = 0;
  std::uint64_t round = 0;
};

// One chunk of a snapshot.
struct InstallSnapshot {
  // The snapshot's place and members; its `state` holds this chunk's bytes only.
  LogSnapshot chunk;
  std::uint64_t offset = 0;
  std::uint64_t total_bytes = 0;
  std::uint64_t round = 0;
};

struct InstallSnapshotAnswer {
  std::uint64_t snapshot_index = 0;

  // The offset that is wanted next; total_bytes of the request when the snapshot is installed.
  std::uint64_t next_offset = 0;
  bool installed = false;
  std::uint64_t round = 0;
};

// Announces a replica that isn't a voter, so that it is brought up to date and admitted. Sent to
// whoever has the name.
struct Join {
  // True when the replica holds no entry at all.
  bool empty = true;
};

struct JoinAnswer {
  // True when the answering replica holds no entry either.
  bool empty = true;

  // The names of the voters that it knows, one of which may lead.
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

// Returns nothing when the bytes aren't a message.
std::optional<LogMessage> DecodeLogMessage(std::string_view bytes);

}  // namespace kumquat

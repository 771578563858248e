// The leader's record of one other replica's replication progress.
#pragma once

#include <cstdint>
#include <memory>

#include "coordination/log/log_entry.h"
#include "utils/hooks.h"

namespace kumquat::Internal {

struct PeerProgress {
  // The replica's log durably equals the leader's up to this index.
  std::uint64_t match_index = 0;

  // Index of the entry to send next; runs ahead of match_index while messages are in flight.
  std::uint64_t next_index = 1;

  // The highest heartbeat round that the replica has acknowledged.
  std::uint64_t acknowledged_round = 0;

  // The commit index in the last message sent to the replica.
  std::uint64_t sent_commit_index = 0;
  Instant last_contact{0};

  // While it isn't known where the logs diverge, only one message is in flight and next_index
  // doesn't advance. Otherwise each rejected message of a window would cause the whole window to be
  // sent again.
  bool probing = true;
  bool probe_in_flight = false;

  // Set while a snapshot is being sent instead of entries; the offset is in bytes.
  std::shared_ptr<const LogSnapshot> snapshot;
  std::uint64_t snapshot_offset = 0;
  bool chunk_in_flight = false;
};

}  // namespace kumquat::Internal

// What a leader knows of one other replica.
#pragma once

#include <cstdint>
#include <memory>

#include "coordination/log/log_entry.h"
#include "utils/hooks.h"

namespace kumquat::Internal {

struct PeerProgress {
  // The replica's log equals the leader's up to here, durably.
  std::uint64_t match_index = 0;

  // The entry to send next; runs ahead of match_index while messages are under way.
  std::uint64_t next_index = 1;

  // The newest heartbeat round that the replica acknowledged.
  std::uint64_t acknowledged_round = 0;

  // The commit index that was sent last.
  std::uint64_t sent_commit_index = 0;
  Instant last_contact{0};

  // While it isn't known where the logs part, one message at a time is under way, and next_index
  // stays. Otherwise each rejected message of a window would send the whole window again.
  bool probing = true;
  bool probe_under_way = false;

  // Set while a snapshot is on its way in place of entries.
  std::shared_ptr<const LogSnapshot> snapshot;
  std::uint64_t snapshot_offset = 0;
  bool chunk_under_way = false;
};

}  // namespace kumquat::Internal

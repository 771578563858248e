// Pending ConfirmLeadership() calls, which wait for a majority to acknowledge a heartbeat round and
// for the state machine to catch up.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <utility>

#include "utils/hooks.h"

namespace kumquat::Internal {

struct PendingRead {
  // The heartbeat round that a majority must acknowledge; it starts after the call, so that it
  // proves leadership at the time of the call.
  std::uint64_t round = 0;

  // Index of the entry that must be applied first.
  std::uint64_t index = 0;
  Instant deadline{0};
  std::function<void(bool confirmed)> callback;
};

// FIFO queue: rounds and deadlines never decrease from front to back.
class ReadQueue {
 public:
  void Add(PendingRead read) { reads_.push_back(std::move(read)); }

  // Confirms all reads whose round is acknowledged and whose index is applied.
  void Confirm(std::uint64_t acknowledged_round, std::uint64_t applied_index) {
    while (!reads_.empty() && reads_.front().round <= acknowledged_round &&
           reads_.front().index <= applied_index) {
      CompleteFirst(true);
    }
  }

  void Expire(Instant now) {
    while (!reads_.empty() && reads_.front().deadline <= now) CompleteFirst(false);
  }

  void FailAll() {
    for (std::size_t left = reads_.size(); left > 0; --left) CompleteFirst(false);
  }

 private:
  void CompleteFirst(bool confirmed) {
    const auto callback = std::move(reads_.front().callback);
    reads_.pop_front();
    callback(confirmed);
  }

  std::deque<PendingRead> reads_;
};

}  // namespace kumquat::Internal

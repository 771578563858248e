// A limit on what a process keeps of requests, over all connections of all its servers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "utils/hooks.h"

namespace kumquat {

// Bounds the bytes of requests that a process keeps: of those that are still being sent, of those
// that are being answered, and of those that were sent ahead. A limit for each connection doesn't
// bound the process, and a connection that isn't read from keeps bytes in the system's buffers,
// which count as memory of the process too.
//
// Each connection opens an account and reports what it keeps. Past the limit, Enforce() drops
// requests that don't come on, largest first, and then those that come slowest. A request that has
// just begun counts as slow, so that in a rush those that are nearly whole get through.
class RequestMemory {
 public:
  // What dropping would free, when its first byte came, and when its last one.
  struct Droppable {
    std::int64_t bytes = 0;
    Instant began_at{0};
    Instant last_input_at{0};
    // Whether a request is given up that hasn't come whole, rather than what was sent ahead.
    bool is_request = true;
  };

  struct Hooks {
    // Returns nothing while the connection keeps only what mustn't be dropped, such as a request
    // that may be running.
    std::function<std::optional<Droppable>()> droppable;
    // Gives the droppable bytes up and reports what is kept then.
    std::function<void()> drop;
  };

  class Account;

  explicit RequestMemory(std::int64_t max_bytes) : max_bytes_(max_bytes) {}
  RequestMemory(const RequestMemory&) = delete;
  RequestMemory& operator=(const RequestMemory&) = delete;

  // The memory outlives its accounts.
  std::unique_ptr<Account> Open(Hooks hooks);

  // Drops until the limit is kept with some room to spare, or nothing is left to drop.
  void Enforce(Instant now);

  bool is_exceeded() const { return kept_bytes_ > max_bytes_; }

  // Returns whether a request of so many bytes, which has just come whole, has to be refused as too
  // much is kept beside it.
  bool is_far_exceeded(std::int64_t own_bytes) const;
  std::int64_t kept_bytes() const { return kept_bytes_; }

 private:
  // Returns the accounts that may be dropped, those first that are dropped first.
  std::vector<std::int64_t> DroppableAccounts(Instant now) const;

  std::int64_t max_bytes_;
  std::int64_t kept_bytes_ = 0;
  std::int64_t last_number_ = 0;
  // When a search found too little to drop, and what was kept then; nothing after one that didn't.
  std::optional<Instant> futile_at_;
  std::int64_t futile_bytes_ = 0;
  std::map<std::int64_t, Hooks> accounts_;
};

// What one connection keeps.
class RequestMemory::Account {
 public:
  Account(RequestMemory* memory, std::int64_t number) : memory_(memory), number_(number) {}
  ~Account() {
    Report(0);
    memory_->accounts_.erase(number_);
  }
  Account(const Account&) = delete;
  Account& operator=(const Account&) = delete;

  void Report(std::int64_t bytes) {
    memory_->kept_bytes_ += bytes - bytes_;
    bytes_ = bytes;
  }

 private:
  RequestMemory* memory_;
  std::int64_t number_;
  std::int64_t bytes_ = 0;
};

}  // namespace kumquat

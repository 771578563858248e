// A limit on what a process keeps of answers, over all connections and requests.
#pragma once

#include <QTimer>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace kumquat {

// Bounds the bytes that backend servers sent and that callers haven't taken yet. A limit for each
// answer doesn't bound the process: a faulty server may send without end to many callers at once.
//
// Whoever keeps such bytes opens an account and reports what arrives. Past the limit the accounts
// that keep most are dropped, one after another, so that usual answers aren't affected.
class AnswerMemory {
 public:
  struct Hooks {
    // Returns the bytes that are kept now.
    std::function<std::int64_t()> kept_bytes;
    // Gives the answer up and frees its memory. Runs from the event loop; may close the account.
    std::function<void()> drop;
  };

  class Account;

  explicit AnswerMemory(std::int64_t max_bytes);
  AnswerMemory(const AnswerMemory&) = delete;
  AnswerMemory& operator=(const AnswerMemory&) = delete;

  // The hooks may be called until the account is destroyed. An account that outlives this object
  // counts nothing from then on.
  std::unique_ptr<Account> Open(Hooks hooks);

  // Returns how many answers were dropped so far.
  std::int64_t dropped() const { return dropped_; }

 private:
  using Accounts = std::map<std::int64_t, Hooks>;

  void Received(std::int64_t bytes);
  void DropLargest();

  std::int64_t max_bytes_;
  std::shared_ptr<Accounts> accounts_ = std::make_shared<Accounts>();
  std::int64_t last_number_ = 0;
  // What was kept at the last count, and all that has arrived since.
  std::int64_t counted_bytes_ = 0;
  std::int64_t dropped_ = 0;
  QTimer count_timer_;
};

// One keeper of bytes, until it is destroyed.
class AnswerMemory::Account {
 public:
  Account(AnswerMemory* memory, std::int64_t number)
      : memory_(memory), accounts_(memory->accounts_), number_(number) {}
  ~Account() {
    if (const auto accounts = accounts_.lock()) accounts->erase(number_);
  }
  Account(const Account&) = delete;
  Account& operator=(const Account&) = delete;

  // So many bytes have arrived; some of them may have been passed on already.
  void Received(std::int64_t bytes) {
    if (!accounts_.expired()) memory_->Received(bytes);
  }

 private:
  AnswerMemory* memory_;
  std::weak_ptr<Accounts> accounts_;
  std::int64_t number_;
};

}  // namespace kumquat

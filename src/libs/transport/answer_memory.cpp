#include "transport/answer_memory.h"

#include <utility>

#include "utils/log.h"

namespace kumquat {

AnswerMemory::AnswerMemory(std::int64_t max_bytes) : max_bytes_(max_bytes) {
  count_timer_.setSingleShot(true);
  QObject::connect(&count_timer_, &QTimer::timeout, &count_timer_, [this] { DropLargest(); });
}

std::unique_ptr<AnswerMemory::Account> AnswerMemory::Open(Hooks hooks) {
  accounts_->emplace(++last_number_, std::move(hooks));
  return std::make_unique<Account>(this, last_number_);
}

// Counts anew only once the limit may have been passed, so that usual traffic costs an addition.
void AnswerMemory::Received(std::int64_t bytes) {
  counted_bytes_ += bytes;
  if (counted_bytes_ > max_bytes_ && !count_timer_.isActive()) {
    count_timer_.start(std::chrono::milliseconds(0));
  }
}

void AnswerMemory::DropLargest() {
  std::multimap<std::int64_t, std::int64_t> numbers_by_bytes;
  counted_bytes_ = 0;
  for (const auto& [number, hooks] : *accounts_) {
    const std::int64_t bytes = hooks.kept_bytes();
    counted_bytes_ += bytes;
    if (bytes > 0) numbers_by_bytes.emplace(bytes, number);
  }
  for (auto largest = numbers_by_bytes.rbegin();
       largest != numbers_by_bytes.rend() && counted_bytes_ > max_bytes_; ++largest) {
    // A drop may have closed other accounts.
    const auto account = accounts_->find(largest->second);
    if (account == accounts_->end()) continue;
    ++dropped_;
    counted_bytes_ -= largest->first;
    LogEvent(LogLevel::kWarning, "answer_dropped_for_memory",
             {{"bytes", largest->first}, {"limit", max_bytes_}});
    const auto drop = account->second.drop;
    drop();
  }
}

}  // namespace kumquat

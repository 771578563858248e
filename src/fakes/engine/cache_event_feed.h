// The cache events that a fake engine publishes: late, and some not at all.
#pragma once

#include <QJsonObject>
#include <cstdint>
#include <deque>
#include <vector>

#include "engine/prefix_cache.h"
#include "protocol/engine_messages.h"
#include "utils/hooks.h"

namespace kumquat {

class CacheEventFeed {
 public:
  // Events show up after `delay`; `loss_percent` of them never do.
  CacheEventFeed(Duration delay, std::int64_t loss_percent, Clock clock, Random random);

  // Numbers the changes and publishes them.
  void Add(const std::vector<CacheChange>& changes);

  // Returns the published events after this number, and the number up to which they go.
  std::vector<CacheEvent> EventsAfter(std::int64_t after, std::int64_t* last_sequence) const;

  // Returns the number of the last change, published or not.
  std::int64_t last_sequence() const { return last_sequence_; }

 private:
  struct Entry {
    Instant shown_at;
    CacheEvent event;
    bool lost;
  };

  Duration delay_;
  std::int64_t loss_percent_;
  Clock clock_;
  Random random_;
  std::int64_t last_sequence_ = 0;
  std::deque<Entry> entries_;
};

}  // namespace kumquat

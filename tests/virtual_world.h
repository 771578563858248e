// Virtual time for tests of decision code: events in order, and clocks that run apart.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>

#include "utils/hooks.h"

namespace kumquat {

// Runs events at their moments of true time; those of one moment in the order of their making.
class VirtualWorld {
 public:
  explicit VirtualWorld(std::uint64_t seed) : generator_(seed) {}

  void At(Instant moment, std::function<void()> event) {
    events_.emplace(moment, std::move(event));
  }
  void After(Duration delay, std::function<void()> event) { At(now_ + delay, std::move(event)); }

  // Runs the events of the next stretch of time, and `check` after each.
  void Advance(Duration stretch, const std::function<void()>& check) {
    const Instant end = now_ + stretch;
    while (!events_.empty() && events_.begin()->first <= end) {
      now_ = events_.begin()->first;
      const auto event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
      check();
    }
    now_ = end;
    check();
  }

  Instant now() const { return now_; }
  std::uint64_t Below(std::uint64_t limit) { return generator_() % limit; }
  bool OneIn(std::uint64_t chance) { return Below(chance) == 0; }
  Duration Between(Duration low, Duration high) {
    return low + Duration(Below(static_cast<std::uint64_t>((high - low).count()) + 1));
  }

 private:
  Instant now_{std::chrono::seconds(100)};
  std::multimap<Instant, std::function<void()>> events_;
  std::mt19937_64 generator_;
};

// A clock that is up to 0.49 in a hundred fast or slow, so that two differ by less than one in a
// hundred, and that starts anywhere.
class DriftingClock {
 public:
  explicit DriftingClock(VirtualWorld* world)
      : world_(world),
        rate_(1 + (static_cast<double>(world->Below(981)) - 490) / 100'000),
        start_(std::chrono::seconds(world->Below(1000))) {}

  Instant Now() const {
    return start_ +
           Duration(static_cast<std::int64_t>(static_cast<double>(world_->now().count()) * rate_));
  }

 private:
  VirtualWorld* world_;
  double rate_;
  Instant start_;
};

}  // namespace kumquat

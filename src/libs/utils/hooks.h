// The hooks through which decision code sees the outside world: time and randomness.
#pragma once

#include <ctime>

#include <chrono>
#include <cstdint>
#include <functional>

namespace kumquat {

// A length of time, in microseconds.
using Duration = std::chrono::microseconds;

// A moment on this process's monotonic clock, in microseconds since an arbitrary start. The clock
// counts the time for which the machine was suspended, so that a lease that ended meanwhile is seen
// to have ended.
using Instant = std::chrono::microseconds;

// Tells the current moment. Tests pass a virtual clock.
using Clock = std::function<Instant()>;

// Returns 64 uniformly distributed bits. Tests pass a seeded generator.
using Random = std::function<std::uint64_t()>;

// Returns the clock of the machine, which never goes back.
inline Clock SteadyClock() {
  return [] {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return std::chrono::duration_cast<Instant>(std::chrono::seconds(now.tv_sec) +
                                               std::chrono::nanoseconds(now.tv_nsec));
  };
}

}  // namespace kumquat

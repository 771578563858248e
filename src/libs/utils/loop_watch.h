// Notices when this process's loop stood still, so that others' silence isn't taken for theirs.
#pragma once

#include "utils/hooks.h"

namespace kumquat {

// Beaten by a timer. The loop stood still when a beat is late: it was busy, or the instance had no
// processor or was suspended.
class LoopWatch {
 public:
  LoopWatch(Duration interval, Duration late) : longest_(interval + late) {}

  // The timer fired.
  void Beat(Instant now) {
    Look(now);
    last_beat_ = now;
    has_beaten_ = true;
  }

  // Looks whether the next beat is late already.
  void Look(Instant now) {
    if (has_beaten_ && now - last_beat_ > longest_) late_at_ = now;
  }

  // Returns whether the loop stood still, as far as was looked, since this moment.
  bool WasLate(Instant since) const { return late_at_ >= since; }

 private:
  Duration longest_;
  bool has_beaten_ = false;
  Instant last_beat_{0};
  Instant late_at_ = Instant::min();
};

}  // namespace kumquat

#include "transport/caller_refusal_log.h"

#include <fmt/format.h>

#include "utils/log.h"

namespace kumquat {
namespace {

constexpr Duration kLogInterval = std::chrono::seconds(1);

}  // namespace

void CallerRefusalLog::Count(Metrics* metrics, std::string_view reason, Instant now) {
  metrics->Count("kumquat_callers_refused_total", fmt::format("reason=\"{}\"", reason));
  ++unlogged_;
  if (logged_at_ != Instant(0) && now - logged_at_ < kLogInterval) return;
  logged_at_ = now;
  LogEvent(LogLevel::kWarning, "callers_refused", {{"reason", reason}, {"count", unlogged_}});
  unlogged_ = 0;
}

}  // namespace kumquat

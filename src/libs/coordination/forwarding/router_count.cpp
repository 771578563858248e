#include "coordination/forwarding/router_count.h"

#include <algorithm>

namespace kumquat {
namespace {

// Replicas answer each greeting, and routers greet every second.
constexpr Duration kSilence = std::chrono::milliseconds(2500);
// By then all routers have linked to a replica that has started, and greeted it.
constexpr Duration kGreetingTime = std::chrono::seconds(3);
// Longer than the window in which repeats are counted, and than a replica takes to forget a router.
constexpr Duration kAgreementTime = std::chrono::seconds(15);

}  // namespace

void RouterCount::OnTold(const std::string& replica, std::int64_t routers, std::size_t replicas,
                         Instant now) {
  std::erase_if(told_at_, [now](const auto& entry) { return now - entry.second > kSilence; });
  const bool is_new = told_at_.insert_or_assign(replica, now).second;
  const bool are_most = told_at_.size() * 2 > replicas;
  if (!are_most || !most_since_) most_since_ = are_most ? std::optional(now) : std::nullopt;
  if (most_since_ && now - *most_since_ >= kGreetingTime) is_settled_ = true;
  if (is_new || told_at_.size() < replicas || routers >= routers_) {
    less_since_ = now;
    largest_since_ = 0;
    routers_ = std::max(routers_, routers);
    return;
  }
  largest_since_ = std::max(largest_since_, routers);
  if (now - less_since_ < kAgreementTime) return;
  routers_ = largest_since_;
  less_since_ = now;
  largest_since_ = 0;
}

void RouterCount::OnLost(const std::string& replica) { told_at_.erase(replica); }

}  // namespace kumquat

// The control leader's side of quotas that hold over all routers together.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "protocol/control_news.h"
#include "protocol/routing_table.h"
#include "utils/hooks.h"

namespace kumquat {

// Keeps one token bucket for each organisation with a quota and grants amounts to routers, which
// may use them for kQuotaUnitLifetime.
//
// A waiting request is granted while the level is above zero, and may take it below: a large one
// would never find a level that many small ones keep low. Advances leave a part of the burst, so
// that near the limit no unit lies unused at a router. A bucket doesn't fill up while routers hold
// many advances, as both could be used in one window.
//
// When the term changes, the buckets hold half of what the rate gives in the time in which nobody
// can have granted; the other half is what routers may use without a leader. So whatever the leader
// before granted, all grants of a time window stay within rate x window + burst, provided that a
// leader grants only after a majority has confirmed it.
class QuotaLedger {
 public:
  // Replaces the quotas. The level of an organisation that had one before is kept, up to the new
  // burst; one that had none starts with its burst.
  void SetQuotas(const std::vector<RoutedOrganisation>& organisations, Instant now);

  // Answers a router's message in this term. `routers` is how many there are. A message that has
  // been answered before, or an older one, is answered without a grant. `now` is when the round
  // that confirmed this leader began, and no leader before has granted what it had after
  // `sole_leader_since`; without one nothing is known of that.
  QuotaGranted Grant(const QuotaAsked& asked, std::uint64_t term, std::int64_t routers, Instant now,
                     std::optional<Instant> sole_leader_since = std::nullopt);

 private:
  struct Bucket {
    double rate = 0;
    double burst = 0;
    double level = 0;
    Instant filled_at{0};
    // Advances that routers may still use, and when each was granted.
    std::deque<std::pair<Instant, double>> advances;
    double advanced = 0;

    void Fill(Instant now);
    // Adds units as far as the burst allows.
    void Add(double units);
    void Advance(double units, Instant now);
    void Restart(Instant now, Duration ungranted);
  };
  // The newest message of a router.
  struct Asker {
    std::int64_t incarnation = 0;
    std::int64_t number = 0;
  };

  bool IsNew(const QuotaAsked& asked);
  static QuotaGranted::Organisation GrantAll(const QuotaAsked::Organisation& asked);
  static QuotaGranted::Organisation GrantTo(Bucket& bucket, const QuotaAsked::Organisation& asked,
                                            std::int64_t routers, Instant now);

  std::map<std::string, Bucket> buckets_;
  std::map<std::string, Asker> askers_;
  std::uint64_t term_ = 0;
};

}  // namespace kumquat

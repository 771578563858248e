// Measures the leader's work for leased shares at the planned size: time for each renewal and the
// routers' own bookkeeping. Prints one line for each load.
#include <fmt/core.h>

#include <chrono>
#include <string>
#include <vector>

#include "coordination/limits/share_holder.h"
#include "coordination/limits/share_ledger.h"
#include "protocol/json_fields.h"

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kRounds = 10;

// `routers` routers that each have traffic of `active` of the organisations, renewing each second.
void Measure(int routers, int organisations, int active) {
  ShareLedger ledger({}, Instant(0));
  for (int i = 0; i < organisations; ++i) {
    ledger.SetCapacity("organisation-" + std::to_string(i), {1000, 1'000'000, 500});
  }
  std::vector<ShareHolder> holders(static_cast<std::size_t>(routers));
  Instant now = seconds(10);
  Duration ledger_time{0};
  Duration holder_time{0};
  std::size_t bytes = 0;
  int renewals = 0;
  for (int round = 0; round < kRounds; ++round) {
    for (int router = 0; router < routers; ++router) {
      now += Duration(1'000'000 / routers);
      ShareHolder& holder = holders[static_cast<std::size_t>(router)];
      const Instant begin = SteadyClock()();
      for (int i = 0; i < active; ++i) {
        const int organisation = (router * 7 + i) % organisations;
        const std::string name = "organisation-" + std::to_string(organisation);
        if (holder.TryAcquire(name, 2000, now).verdict == AdmissionVerdict::kAdmitted) {
          holder.Release(name);
        }
      }
      const SharesToRenew shares = holder.BeginRequest(now);
      const Instant sent = SteadyClock()();
      const LeaseRequest request{
          fmt::format("r{}", router), 1, 1, 0, 0, shares.shares, shares.sequence};
      const LeaseAnswer answer{1, 3000, 0, 0, {}, {}, ledger.Renew(request, now), {}};
      const Instant granted = SteadyClock()();
      holder.Apply(shares.sequence, answer, now + milliseconds(1));
      holder_time += SteadyClock()() - granted + (sent - begin);
      ledger_time += granted - sent;
      bytes += ToJsonText(ToJson(request)).size() + ToJsonText(ToJson(answer)).size();
      ++renewals;
    }
  }
  fmt::print(
      "{} routers, {} of {} organisations each: leader {:.1f} us a renewal, {:.2f}% of a core; "
      "router {:.1f} us a renewal; {} bytes a renewal\n",
      routers, active, organisations, static_cast<double>(ledger_time.count()) / renewals,
      100.0 * static_cast<double>(ledger_time.count()) / 1e6 / kRounds,
      static_cast<double>(holder_time.count()) / renewals,
      bytes / static_cast<std::size_t>(renewals));
}

}  // namespace
}  // namespace kumquat

int main() {
  kumquat::Measure(6, 8, 8);
  kumquat::Measure(350, 260, 20);
  kumquat::Measure(350, 260, 260);
  return 0;
}

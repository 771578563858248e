// The engines as routers report them, and the leader's orders to them.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "coordination/orders/order_scheduler.h"
#include "coordination/orders/wanted_placement.h"
#include "protocol/backend_report.h"
#include "protocol/lists.h"
#include "utils/hooks.h"

namespace kumquat::Internal {

// Collects the reports of all routers and brings the engines to the placement that the allowances,
// the engines and the demand want. Lives as long as one leader's term.
class EngineOrders {
 public:
  EngineOrders(const OrderSchedulerOptions& options, OrderScheduler::Send send, std::int64_t term,
               Instant now);

  void OnReport(const BackendReport& report, Instant now);

  // Sends what is due; the caller has confirmed its leadership just before.
  void Advance(const AllowanceList& allowances, Instant now);

  // Returns the engines that are known.
  std::size_t engines() const { return engines_.size(); }

 private:
  struct Engine {
    Announcement announcement;
    Instant heard_at{0};
  };

  struct RouterDemand {
    std::vector<ModelRequests> requests;
    Instant heard_at{0};
  };

  void TakeAnnouncement(const Announcement& announcement, Instant now);
  void ForgetSilent(Instant now);

  OrderScheduler scheduler_;
  std::map<std::string, Engine> engines_;
  // By router.
  std::map<std::string, RouterDemand> demand_;
};

}  // namespace kumquat::Internal

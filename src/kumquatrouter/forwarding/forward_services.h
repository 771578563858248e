// State and components that all exchanges of one router share. The raw pointers aren't owned.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "coordination/forwarding/backend_pool.h"
#include "coordination/forwarding/drain_window.h"
#include "coordination/forwarding/forward_admission.h"
#include "coordination/forwarding/live_stores.h"
#include "coordination/forwarding/move_window.h"
#include "coordination/forwarding/origin_lookup.h"
#include "coordination/forwarding/prompt_placement.h"
#include "coordination/forwarding/repeat_budget.h"
#include "coordination/forwarding/route_index.h"
#include "coordination/forwarding/waiting_order.h"
#include "coordination/forwarding/weights_limit.h"
#include "coordination/limits/quota_holder.h"
#include "coordination/orders/named_weights.h"
#include "crash_watch.h"
#include "forwarding/forward_codec.h"
#include "transport/backend_client.h"
#include "utils/histogram.h"
#include "utils/hooks.h"

namespace kumquat {

struct ForwardServices {
  std::string failure_domain;
  Clock clock;
  Random random;
  ForwardCodec codec;
  // Null until a routing table has been received.
  std::shared_ptr<const RouteIndex> routes;
  // Set from the start of a planned stop.
  std::optional<DrainWindow> drain;
  NamedWeights weights;
  const WeightsLimit* weights_limit = nullptr;
  bool moves_runs = true;
  MoveWindow move_window;
  bool backs_up_runs = false;
  BackendPool pool;
  LiveStores stores;
  WaitingOrder waiting_order;
  // The services that requests waited for when they were last tried.
  std::set<std::string> waited_for;
  // Tries all requests that wait for this service, in order.
  std::function<void(const std::string& service)> try_waiting;
  const ForwardAdmission* admission = nullptr;
  CrashWatch* crashes = nullptr;
  OriginLookup* origins = nullptr;
  RepeatBudget* budget = nullptr;
  QuotaHolder* quotas = nullptr;
  PromptPlacement* placement = nullptr;
  BackendClient* client = nullptr;
  AnswerMemory* answer_memory = nullptr;
  Metrics* metrics = nullptr;
};

}  // namespace kumquat

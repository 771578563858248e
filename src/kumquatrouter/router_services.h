// What the handlers of requests share.
#pragma once

#include <string>

#include "utils/hooks.h"

namespace kumquat {

class AnswerMemory;
class BackendClient;
class CrashExchange;
class ControlClient;
class EngineSelector;
class IndexService;
class MembershipService;
class Metrics;
class ModelQueues;
class RetryBudget;
class StrikeExchange;
struct RouterSettings;

struct RouterServices {
  const RouterSettings* settings = nullptr;
  BackendClient* client = nullptr;
  ControlClient* control = nullptr;
  MembershipService* membership = nullptr;
  EngineSelector* engines = nullptr;
  IndexService* index = nullptr;
  ModelQueues* queues = nullptr;
  RetryBudget* retry_budget = nullptr;
  StrikeExchange* strikes = nullptr;
  CrashExchange* crashes = nullptr;
  Metrics* metrics = nullptr;
  AnswerMemory* answer_memory = nullptr;
  std::int64_t router_incarnation = 0;
  Clock clock;
  Random random;
};

}  // namespace kumquat

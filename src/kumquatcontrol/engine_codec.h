// How engines are asked for their state and ordered to load weights, as hooks for an interface to
// fill in.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "coordination/orders/weights_rollout.h"
#include "transport/backend_client.h"

namespace kumquat {

// Who gives an order: engines take none with a lower fencing number than they have seen.
struct OrderHolder {
  std::string name;
  std::int64_t fencing_number = 0;
};

struct EngineCodec {
  std::function<BackendCallRequest(const EngineStateQuery& look)> encode_look;
  // Returns nothing for an answer that tells no state.
  std::function<std::optional<EngineState>(int status, std::string_view body)> decode_look;
  std::function<BackendCallRequest(const OrderWeights& order, const OrderHolder& holder)>
      encode_order;
  std::function<OrderOutcome(int status)> decode_order;
};

}  // namespace kumquat

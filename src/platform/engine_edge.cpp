#include "platform/engine_edge.h"

#include <utility>

#include "protocol/json_fields.h"

namespace kumquat::platform {
namespace {

constexpr std::size_t kMaxModels = 1024;
constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kConflict = 409;
constexpr int kFenced = 412;
// An order is lost on whoever has the address by now, unless it names its engine.
constexpr const char* kExpectInstance = "Kumquatcross-Expect-Instance";

BackendCallRequest EncodeLook(const LookAtEngine& look) {
  BackendCallRequest request;
  request.endpoint = look.endpoint;
  request.method = "GET";
  request.target = "/report";
  request.headers = {{kExpectInstance, look.id}};
  return request;
}

std::optional<EngineState> DecodeLook(int status, std::string_view body) {
  const auto json = ParseJsonObject(body);
  if (status != kOk || !json) return std::nullopt;
  EngineState state;
  JsonFields fields(*json);
  // "seq" counts the orders that were accepted, unlike that of heartbeats.
  fields.Read("busy", &state.is_busy).Read("seq", &state.orders);
  for (const QJsonValue& item : fields.Array("models", kMaxModels)) {
    std::string model;
    std::int64_t version = 0;
    JsonFields named(item.toObject());
    named.Read("name", &model).Read("version", &version);
    if (!named.ok()) fields.Fail("models", named.last_reason());
    state.weights[model] = version;
  }
  if (!fields.ok()) return std::nullopt;
  return state;
}

BackendCallRequest EncodeOrder(const OrderWeights& order, const OrderHolder& holder) {
  BackendCallRequest request;
  request.endpoint = order.endpoint;
  request.method = "POST";
  request.target = "/order";
  request.headers = {{"Content-Type", "application/json"}, {kExpectInstance, order.id}};
  request.body = ToJsonText({{"op", "version"},
                             {"model", ToQString(order.model)},
                             {"version", static_cast<qint64>(order.version)},
                             {"mode", "wait"},
                             {"holder", ToQString(holder.name)},
                             {"fence", static_cast<qint64>(holder.fencing_number)},
                             {"expected", static_cast<qint64>(order.expected_orders)}});
  request.new_connection = true;
  return request;
}

OrderOutcome DecodeOrder(int status) {
  switch (status) {
    case kAccepted:
      return OrderOutcome::kAccepted;
    case kOk:
      return OrderOutcome::kHolds;
    case kConflict:
      return OrderOutcome::kConflict;
    case kFenced:
      return OrderOutcome::kFenced;
    default:
      return OrderOutcome::kRefused;
  }
}

// A call that waits 200 ms or more is free.
constexpr const char* kStoreWaitMs = "800";

BackendCallRequest EncodeStorePoll(const Endpoint& store, std::int64_t since) {
  BackendCallRequest request;
  request.endpoint = store;
  request.method = "GET";
  request.target = "/kv-events?since=" + std::to_string(since);
  request.headers = {{"Wait-Ms", kStoreWaitMs}};
  return request;
}

// A store that holds as many calls as it may is alive too.
std::optional<std::int64_t> DecodeStorePoll(int status, std::string_view body) {
  constexpr int kTooMany = 429;
  if (status == kTooMany) return 0;
  const auto json = ParseJsonObject(body);
  std::int64_t next = 0;
  JsonFields fields(json.value_or(QJsonObject()));
  fields.Read("next", &next);
  if (status != kOk || !fields.ok()) return std::nullopt;
  return next;
}

}  // namespace

StoreCodec MakeStoreCodec() { return {EncodeStorePoll, DecodeStorePoll}; }

EngineCodec MakeEngineCodec() {
  return {EncodeLook, DecodeLook, EncodeOrder, DecodeOrder};
}

}  // namespace kumquat::platform

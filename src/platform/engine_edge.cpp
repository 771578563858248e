#include "platform/engine_edge.h"

#include <utility>

#include "platform/model_versions.h"
#include "protocol/json_fields.h"

namespace kumquat::platform {
namespace {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kConflict = 409;
constexpr int kFenced = 412;
// An order is lost on whoever has the address by now, unless it names its engine.
constexpr const char* kExpectInstance = "Kumquatcross-Expect-Instance";

BackendCallRequest EncodeLook(const EngineStateQuery& look) {
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
  double held = 0;
  double total = 0;
  fields.Read("busy", &state.is_busy)
      .Read("seq", &state.orders)
      .ReadOptional("running", &state.running)
      .ReadOptional("queued", &state.queued)
      .ReadOptional("kvUsed", &held)
      .ReadOptional("kvTotal", &total);
  if (total > 0) state.memory_held = held / total;
  for (const auto& [name, version] : ReadModelVersions(fields)) state.weights[name] = version;
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
      return OrderOutcome::kAlreadyLoaded;
    case kConflict:
      return OrderOutcome::kConflict;
    case kFenced:
      return OrderOutcome::kFenced;
    default:
      return OrderOutcome::kRefused;
  }
}

// A read that may wait 200 ms or more is free.
constexpr const char* kWaitMs = "800";
constexpr std::size_t kMaxEvents = 100'000;
constexpr int kTooMany = 429;

BackendCallRequest EncodeRead(const Endpoint& source, std::int64_t since) {
  BackendCallRequest request;
  request.endpoint = source;
  request.method = "GET";
  request.target = "/kv-events?since=" + std::to_string(since);
  request.headers = {{"Wait-Ms", kWaitMs}};
  return request;
}

// An event is [number, "+" or "-", salt, part, tokens held now, model].
std::optional<PartEvent> DecodeEvent(const QJsonValue& value) {
  const QJsonArray items = value.toArray();
  constexpr qsizetype kItems = 6;
  if (items.size() < kItems || !items.at(4).isDouble()) return std::nullopt;
  return PartEvent{items.at(2).toString().toStdString(), items.at(3).toString().toStdString(),
                   items.at(4).toInteger()};
}

// Reads the list `key` of parts; false when one of them is malformed.
bool ReadParts(JsonFields& fields, const char* key,
               std::optional<PartEvent> (*decode)(const QJsonValue& value),
               std::vector<PartEvent>* parts) {
  for (const QJsonValue& item : fields.Array(key, kMaxEvents)) {
    auto part = decode(item);
    if (!part) return false;
    parts->push_back(std::move(*part));
  }
  return fields.ok();
}

// A source that holds as many reads as it may is alive too, and tells nothing.
std::optional<PartEvents> DecodeRead(int status, std::string_view body) {
  if (status == kTooMany) return PartEvents{};
  const auto json = ParseJsonObject(body);
  PartEvents events;
  JsonFields fields(json.value_or(QJsonObject()));
  fields.Read("bootEpoch", &events.epoch).Read("next", &events.next).Read("lost", &events.has_gap);
  if (status != kOk) return std::nullopt;
  if (!ReadParts(fields, "events", DecodeEvent, &events.events)) return std::nullopt;
  return events;
}

BackendCallRequest EncodeList(const Endpoint& source) {
  BackendCallRequest request;
  request.endpoint = source;
  request.method = "GET";
  request.target = "/kv-list";
  return request;
}

// An entry is [salt, part, tokens, model].
std::optional<PartEvent> DecodeHeld(const QJsonValue& value) {
  const QJsonArray items = value.toArray();
  constexpr qsizetype kItems = 4;
  if (items.size() < kItems || !items.at(2).isDouble()) return std::nullopt;
  return PartEvent{items.at(0).toString().toStdString(), items.at(1).toString().toStdString(),
                   items.at(2).toInteger()};
}

std::optional<PartEvents> DecodeList(int status, std::string_view body) {
  const auto json = ParseJsonObject(body);
  if (status != kOk || !json) return std::nullopt;
  PartEvents list;
  JsonFields fields(*json);
  fields.Read("bootEpoch", &list.epoch).Read("next", &list.next);
  if (!ReadParts(fields, "held", DecodeHeld, &list.events)) return std::nullopt;
  return list;
}

}  // namespace

PartEventCodec MakePartEventCodec() { return {EncodeRead, DecodeRead, EncodeList, DecodeList}; }

EngineCodec MakeEngineCodec() { return {EncodeLook, DecodeLook, EncodeOrder, DecodeOrder}; }

}  // namespace kumquat::platform

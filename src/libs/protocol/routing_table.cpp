#include "protocol/routing_table.h"

#include <QCborArray>
#include <QCborValue>
#include <algorithm>
#include <numeric>
#include <set>
#include <utility>

namespace kumquat {
namespace {

QCborValue Text(const std::string& text) { return QString::fromStdString(text); }
QCborValue Number(std::int64_t number) { return static_cast<qint64>(number); }
QCborValue Micros(Duration duration) { return Number(duration.count()); }

QCborValue OptionalNumber(const std::optional<std::int64_t>& number) {
  return number ? Number(*number) : QCborValue(nullptr);
}

QCborValue OptionalMicros(const std::optional<Duration>& duration) {
  return duration ? Micros(*duration) : QCborValue(nullptr);
}

QCborValue Texts(const std::vector<std::string>& texts) {
  QCborArray array;
  for (const std::string& text : texts) array.append(Text(text));
  return array;
}

QCborValue ToCbor(const Route& route) {
  QCborArray services;
  for (const ServiceShare& share : route.services) {
    services.append(QCborArray{Text(share.service), Number(share.weight)});
  }
  return QCborArray{Text(route.name),
                    Text(route.host),
                    Text(route.path_prefix),
                    Number(static_cast<std::int64_t>(route.repeat_rule)),
                    route.is_stream,
                    route.is_resumable,
                    route.has_prompt,
                    route.is_public,
                    Micros(route.timeout),
                    Micros(route.objective),
                    Micros(route.longest_pause),
                    Number(route.attempts),
                    Number(route.rank),
                    services};
}

QCborValue ToCbor(const std::optional<EngineProfile>& engine) {
  if (!engine) return nullptr;
  return QCborArray{Number(engine->slots),           Number(engine->memory_tokens),
                    Number(engine->bytes_per_token), Number(engine->link_mbps),
                    Number(engine->event_reads),     engine->moves_runs,
                    engine->backs_up_runs,           Texts(engine->models)};
}

QCborValue ToCbor(const std::optional<CacheStore>& store) {
  if (!store) return nullptr;
  return QCborArray{Text(store->endpoint.ToString()), Text(store->failure_domain),
                    Number(store->memory_tokens), Number(store->link_mbps),
                    Number(store->event_reads)};
}

QCborValue ToCbor(const Service& service) {
  return QCborArray{Text(service.name), Text(service.health_path), Number(service.max_connections),
                    ToCbor(service.engine), ToCbor(service.store)};
}

QCborValue ToCbor(const std::optional<OrganisationQuota>& quota) {
  if (!quota) return nullptr;
  return QCborArray{Number(quota->rate_per_second), Number(quota->burst), quota->counts_tokens,
                    Number(quota->units_without_count)};
}

QCborValue ToCbor(const RoutedOrganisation& organisation) {
  return QCborArray{Text(organisation.name), Texts(organisation.key_digests),
                    OptionalNumber(organisation.rank), organisation.is_isolated,
                    ToCbor(organisation.quota)};
}

template <typename Item>
QCborArray ListToCbor(const std::vector<Item>& items) {
  QCborArray array;
  for (const Item& item : items) array.append(ToCbor(item));
  return array;
}

// Reads the items of an array one after the other; the first wrong one fails all.
class ArrayReader {
 public:
  explicit ArrayReader(const QCborValue& value) : array_(value.toArray()), ok_(value.isArray()) {}

  ArrayReader& Read(std::string* target) {
    const QCborValue value = Next();
    if (Check(value.isString())) *target = value.toString().toStdString();
    return *this;
  }
  ArrayReader& Read(std::int64_t* target) {
    const QCborValue value = Next();
    if (Check(value.isInteger())) *target = value.toInteger();
    return *this;
  }
  ArrayReader& Read(bool* target) {
    const QCborValue value = Next();
    if (Check(value.isBool())) *target = value.toBool();
    return *this;
  }
  ArrayReader& Read(Duration* target) {
    std::int64_t micros = 0;
    Read(&micros);
    *target = Duration(micros);
    return *this;
  }
  ArrayReader& Read(std::vector<std::string>* target) {
    const QCborValue value = Next();
    if (!Check(value.isArray())) return *this;
    for (const QCborValue item : value.toArray()) {
      if (Check(item.isString())) target->push_back(item.toString().toStdString());
    }
    return *this;
  }
  template <typename Value>
  ArrayReader& Read(std::optional<Value>* target) {
    if (Peek().isNull()) {
      Next();
      return *this;
    }
    Read(&target->emplace());
    return *this;
  }

  QCborValue Next() {
    if (next_ >= array_.size()) ok_ = false;
    return array_.at(next_++);
  }
  QCborValue Peek() const { return array_.at(next_); }
  bool Check(bool condition) {
    ok_ = ok_ && condition;
    return ok_;
  }
  bool ok() const { return ok_; }

 private:
  QCborArray array_;
  qsizetype next_ = 0;
  bool ok_;
};

bool FromCbor(const QCborValue& value, ServiceShare* share);
bool FromCbor(const QCborValue& value, Route* route);
bool FromCbor(const QCborValue& value, Service* service);
bool FromCbor(const QCborValue& value, RoutedOrganisation* organisation);

template <typename Item>
bool ListFromCbor(const QCborValue& value, std::vector<Item>* items) {
  if (!value.isArray()) return false;
  for (const QCborValue item : value.toArray()) {
    if (!FromCbor(item, &items->emplace_back())) return false;
  }
  return true;
}

bool FromCbor(const QCborValue& value, ServiceShare* share) {
  return ArrayReader(value).Read(&share->service).Read(&share->weight).ok();
}

bool FromCbor(const QCborValue& value, Route* route) {
  ArrayReader reader(value);
  std::int64_t repeat_rule = 0;
  reader.Read(&route->name)
      .Read(&route->host)
      .Read(&route->path_prefix)
      .Read(&repeat_rule)
      .Read(&route->is_stream)
      .Read(&route->is_resumable)
      .Read(&route->has_prompt)
      .Read(&route->is_public)
      .Read(&route->timeout)
      .Read(&route->objective)
      .Read(&route->longest_pause)
      .Read(&route->attempts)
      .Read(&route->rank);
  route->repeat_rule = static_cast<RepeatRule>(repeat_rule);
  return ListFromCbor(reader.Next(), &route->services) && reader.ok();
}

bool FromCbor(const QCborValue& value, EngineProfile* engine) {
  return ArrayReader(value)
      .Read(&engine->slots)
      .Read(&engine->memory_tokens)
      .Read(&engine->bytes_per_token)
      .Read(&engine->link_mbps)
      .Read(&engine->event_reads)
      .Read(&engine->moves_runs)
      .Read(&engine->backs_up_runs)
      .Read(&engine->models)
      .ok();
}

bool FromCbor(const QCborValue& value, CacheStore* store) {
  std::string address;
  const bool ok = ArrayReader(value)
                      .Read(&address)
                      .Read(&store->failure_domain)
                      .Read(&store->memory_tokens)
                      .Read(&store->link_mbps)
                      .Read(&store->event_reads)
                      .ok();
  const auto endpoint = ParseEndpoint(address);
  if (!ok || !endpoint) return false;
  store->endpoint = *endpoint;
  return true;
}

bool FromCbor(const QCborValue& value, Service* service) {
  ArrayReader reader(value);
  reader.Read(&service->name).Read(&service->health_path).Read(&service->max_connections);
  const QCborValue engine = reader.Next();
  const QCborValue store = reader.Next();
  if (!reader.ok()) return false;
  if (!engine.isNull() && !FromCbor(engine, &service->engine.emplace())) return false;
  return store.isNull() || FromCbor(store, &service->store.emplace());
}

bool FromCbor(const QCborValue& value, OrganisationQuota* quota) {
  return ArrayReader(value)
      .Read(&quota->rate_per_second)
      .Read(&quota->burst)
      .Read(&quota->counts_tokens)
      .Read(&quota->units_without_count)
      .ok();
}

bool FromCbor(const QCborValue& value, RoutedOrganisation* organisation) {
  ArrayReader reader(value);
  reader.Read(&organisation->name)
      .Read(&organisation->key_digests)
      .Read(&organisation->rank)
      .Read(&organisation->is_isolated);
  const QCborValue quota = reader.Next();
  if (!reader.ok()) return false;
  return quota.isNull() || FromCbor(quota, &organisation->quota.emplace());
}

bool IsWholePrefix(std::string_view prefix) {
  return prefix.starts_with('/') && prefix.ends_with('/');
}

std::optional<std::string> ProblemOf(const Route& route, const std::set<std::string>& services) {
  if (route.timeout <= Duration(0)) return "its timeout is 0";
  if (!IsWholePrefix(route.path_prefix)) return "its prefix doesn't begin and end with a slash";
  std::int64_t weights = 0;
  for (const ServiceShare& share : route.services) {
    if (!services.contains(share.service)) return "it names an unknown service";
    if (share.weight < 0) return "a weight is negative";
    weights += share.weight;
  }
  if (weights == 0) return "its weights add up to 0";
  return std::nullopt;
}

}  // namespace

std::optional<std::string> ProblemOf(const RoutingTable& table) {
  std::set<std::string> services;
  for (const Service& service : table.services) {
    if (!services.insert(service.name).second) return "Two services have one name.";
  }
  std::set<std::pair<std::string, std::string>> places;
  for (const Route& route : table.routes) {
    if (const auto problem = ProblemOf(route, services)) {
      return "Route " + route.name + ": " + *problem + ".";
    }
    if (!places.insert({route.host, route.path_prefix}).second) {
      return "Route " + route.name + ": another route has its host and prefix.";
    }
  }
  std::set<std::string> names;
  std::set<std::string> digests;
  for (const RoutedOrganisation& organisation : table.organisations) {
    if (!names.insert(organisation.name).second) return "Two organisations have one name.";
    for (const std::string& digest : organisation.key_digests) {
      if (!digests.insert(digest).second) return "Two organisations share a key.";
    }
  }
  return std::nullopt;
}

std::string Encode(const RoutingTable& table) {
  const CallerLimits& limits = table.limits;
  const QCborArray items{
      Number(table.version), ListToCbor(table.routes), ListToCbor(table.services),
      ListToCbor(table.organisations),
      QCborArray{OptionalNumber(limits.max_header_bytes), OptionalNumber(limits.max_body_bytes),
                 OptionalMicros(limits.header_timeout), OptionalMicros(limits.idle_timeout)}};
  return items.toCborValue().toCbor().toStdString();
}

std::optional<RoutingTable> DecodeRoutingTable(std::string_view bytes) {
  const QCborValue value =
      QCborValue::fromCbor(QByteArray(bytes.data(), static_cast<qsizetype>(bytes.size())));
  RoutingTable table;
  ArrayReader reader(value);
  reader.Read(&table.version);
  const bool ok = ListFromCbor(reader.Next(), &table.routes) &&
                  ListFromCbor(reader.Next(), &table.services) &&
                  ListFromCbor(reader.Next(), &table.organisations) &&
                  ArrayReader(reader.Next())
                      .Read(&table.limits.max_header_bytes)
                      .Read(&table.limits.max_body_bytes)
                      .Read(&table.limits.header_timeout)
                      .Read(&table.limits.idle_timeout)
                      .ok();
  if (!ok || !reader.ok()) return std::nullopt;
  return table;
}

}  // namespace kumquat

#include "process/forwarding/forward_bench.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>

#include "process/explain.h"

namespace kumquat {
namespace {

constexpr const char* kKey = "clerk-key";

// Returns the endpoints as the elements of a list in a settings file.
std::string Quoted(const std::vector<Endpoint>& endpoints) {
  std::string list;
  for (const Endpoint& endpoint : endpoints) list += fmt::format("\"{}\", ", endpoint.ToString());
  return list;
}

QJsonObject RouteTo(const char* service, const std::string& path, const char* kind,
                    bool resumable) {
  return {{"name", ToQString(path)},
          {"hostname", "desk.example"},
          {"pathPrefix", ToQString(path)},
          {"kind", kind},
          {"timeoutMs", 5000},
          {"sloMs", 1000},
          {"priority", 0},
          {"service", service},
          {"attempts", 3},
          {"public", false},
          {"sticky", false},
          {"resumable", resumable},
          {"gapTargetMs", 400}};
}

}  // namespace

ForwardBench::ForwardBench(int replicas, int routers, std::chrono::milliseconds weights_longest_lag)
    : ForwardBench(ForwardBenchOptions{replicas, routers, weights_longest_lag}) {}

ForwardBench::ForwardBench(const ForwardBenchOptions& options)
    : weights_longest_lag_(options.weights_longest_lag),
      router_memory_mb_(options.router_memory_mb),
      router_descriptors_(options.router_descriptors),
      replica_descriptors_(options.replica_descriptors),
      max_body_bytes_(options.max_body_bytes) {
  folder_.setAutoRemove(!qEnvironmentVariableIsSet("KUMQUAT_KEEP_LOGS"));
  StartReplicas(options.replicas);
  StartRouters(options.routers);
  if (!options.configures) return;
  PutConfiguration(1);
  for (int router = 0; router < options.routers; ++router) {
    CHECK(SpinUntil([&] { return IsReady(router); }));
  }
}

std::string ForwardBench::LogOf(const std::string& name) const {
  return folder_.filePath(QString::fromStdString(name + ".log")).toStdString();
}

// Replicas that find each other by seeds all have to use the same port.
void ForwardBench::StartReplicas(int replicas) {
  const std::uint16_t port = FreeEndpoint().port;
  const std::uint16_t http_port = FreeEndpoint().port;
  for (int i = 0; i < replicas; ++i) {
    const std::string ip = fmt::format("127.0.0.{}", i + 1);
    seeds_.push_back({ip, port});
    control_.push_back({ip, http_port});
  }
  for (int i = 0; i < replicas; ++i) {
    const std::string name = fmt::format("c{}", i + 1);
    replicas_.push_back(std::make_unique<TestProgram>(
        "kumquat-control",
        fmt::format("instance = \"{0}\"\nfailure_domain = \"d{1}\"\nlisten = \"{2}\"\n"
                    "http_listen = \"{3}\"\nseeds = [{4}]\nfound = true\ndata_dir = \"{5}\"\n",
                    name, i + 1, seeds_[i].ToString(), control_[i].ToString(), Quoted(seeds_),
                    folder_.filePath(QString::fromStdString(name)).toStdString())));
    replicas_[i]->LogTo(LogOf(name));
    if (replica_descriptors_ > 0) replicas_[i]->LimitDescriptors(replica_descriptors_);
    replicas_[i]->Start();
  }
}

void ForwardBench::StartRouters(int routers) {
  for (int i = 0; i < routers; ++i) {
    listen_endpoints_.push_back(FreeEndpoint());
    ready_endpoints_.push_back(FreeEndpoint());
    metrics_endpoints_.push_back(FreeEndpoint());
    routers_.push_back(
        std::make_unique<TestProgram>("kumquat-router", SettingsOf(i, Quoted(seeds_))));
    routers_[i]->LogTo(LogOf(fmt::format("r{}", i + 1)));
    if (router_descriptors_ > 0) routers_[i]->LimitDescriptors(router_descriptors_);
    routers_[i]->Start();
  }
}

std::string ForwardBench::SettingsOf(int router, const std::string& seeds) const {
  return fmt::format(
      "instance = \"r{}\"\nfailure_domain = \"d1\"\n"
      "listen = \"{}\"\n[forward]\ncontrol_seeds = [{}]\n"
      "ready_listen = \"{}\"\nmetrics_listen = \"{}\"\nweights_longest_lag_ms = {}\n"
      "memory_mb = {}\n",
      router + 1, listen_endpoints_[router].ToString(), seeds, ready_endpoints_[router].ToString(),
      metrics_endpoints_[router].ToString(), weights_longest_lag_.count(), router_memory_mb_);
}

void ForwardBench::WriteSeeds(int router, const std::vector<int>& replicas) {
  std::vector<Endpoint> seeds;
  seeds.reserve(replicas.size());
  for (const int replica : replicas) seeds.push_back(seeds_[replica]);
  routers_[router]->WriteSettings(SettingsOf(router, Quoted(seeds)));
}

QJsonObject ForwardBench::Configuration(int version, const QJsonObject& extra_route) const {
  QJsonArray routes{RouteTo("desk", "/once/", "non_idempotent", false),
                    RouteTo("desk", "/again/", "idempotent", false),
                    RouteTo("desk", "/live/", "streaming", false),
                    RouteTo("desk", "/long/", "streaming", true)};
  for (const QJsonObject& route : {kept_route_, extra_route}) {
    if (!route.isEmpty()) routes.append(route);
  }
  QJsonObject service{{"name", "desk"}, {"healthPath", "/healthz"}, {"maxConns", 100}};
  if (!engine_model_.empty()) {
    service["engine"] =
        QJsonObject{{"slots", 64},
                    {"kvCapacity", 100'000},
                    {"tokenBytes", 18'432},
                    {"linkMbps", 370'000.0},
                    {"moves", true},
                    {"backups", false},
                    {"models", QJsonArray{QJsonObject{{"name", ToQString(engine_model_)}}}}};
  }
  const QJsonObject tenant{
      {"name", "clerks"},         {"apiKeys", QJsonArray{kKey}},        {"priority", 1},
      {"isolated", is_isolated_}, {"ratePerS", quota_.rate_per_second}, {"burst", quota_.burst}};
  const QJsonObject other_tenant{
      {"name", "owners"}, {"apiKeys", QJsonArray{kOtherKey}}, {"priority", 1}, {"isolated", false}};
  QJsonObject limits{{"maxBodyBytes", static_cast<qint64>(max_body_bytes_)}};
  if (idle_timeout_.count() > 0) {
    limits["idleTimeoutMs"] = static_cast<qint64>(idle_timeout_.count());
  }
  return {{"version", version},
          {"routes", routes},
          {"services", QJsonArray{service}},
          {"tenants", QJsonArray{tenant, other_tenant}},
          {"limits", limits}};
}

void ForwardBench::PutConfiguration(int version, const std::string& extra_path) {
  const QJsonObject extra_route =
      extra_path.empty() ? QJsonObject() : RouteTo("desk", extra_path, "idempotent", false);
  SendUntilAcknowledged("PUT", "/config", Configuration(version, extra_route));
}

void ForwardBench::PutSlowRoute(int version, const std::string& extra_path,
                                std::chrono::milliseconds timeout, const char* kind) {
  QJsonObject route = RouteTo("desk", extra_path, kind, false);
  route["timeoutMs"] = static_cast<qint64>(timeout.count());
  SendUntilAcknowledged("PUT", "/config", Configuration(version, route));
}

void ForwardBench::PutSlowStreams(int version, const std::string& extra_path,
                                  std::chrono::milliseconds timeout) {
  QJsonObject route = RouteTo("desk", extra_path, "streaming", false);
  route["timeoutMs"] = static_cast<qint64>(timeout.count());
  SendUntilAcknowledged("PUT", "/config", Configuration(version, route));
}

void ForwardBench::KeepStreamRoute(const std::string& path, std::chrono::milliseconds timeout) {
  kept_route_ = RouteTo("desk", path, "streaming", false);
  kept_route_["timeoutMs"] = static_cast<qint64>(timeout.count());
  kept_route_["attempts"] = 1;
}

bool ForwardBench::IsReady(int router) {
  return caller_.Run(ready_endpoints_[router], "GET", "/readyz")->status == 200;
}

std::unique_ptr<TestCall> ForwardBench::StartReadyCheck(int router) {
  return caller_.Start(ready_endpoints_[router], "GET", "/readyz");
}

std::unique_ptr<TestCall> ForwardBench::StartConfiguration(int replica, int version) {
  return caller_.Start(control_[replica], "PUT", "/config", {{"Content-Type", "application/json"}},
                       ToJsonText(Configuration(version, {})));
}

void ForwardBench::PutWeightsVersion(const std::string& model, int version) {
  SendUntilAcknowledged("POST", "/version-put",
                        {{"model", ToQString(model)}, {"version", version}});
}

std::unique_ptr<TestCall> ForwardBench::StartWeightsVersion(int replica, const std::string& model,
                                                            int version) {
  return caller_.Start(control_[replica], "POST", "/version-put",
                       {{"Content-Type", "application/json"}},
                       ToJsonText({{"model", ToQString(model)}, {"version", version}}));
}

void ForwardBench::SendUntilAcknowledged(const std::string& method, const std::string& path,
                                         const QJsonObject& body) {
  const std::string text = ToJsonText(body);
  std::size_t at = 0;
  CHECK(SpinUntil([&] {
    const Endpoint& replica = control_[at++ % control_.size()];
    return caller_.Run(replica, method, path, {{"Content-Type", "application/json"}}, text)
               ->status == 200;
  }));
}

HttpHeaders ForwardBench::Headers(std::string* id) { return HeadersWithKey(id, kKey); }

HttpHeaders ForwardBench::HeadersWithKey(std::string* id, const std::string& key) {
  *id = fmt::format("request{:04}", ++last_id_);
  return {{"Host", "desk.example"}, {"Kumquatcross-Request-Id", *id}, {"Api-Key", key}};
}

std::unique_ptr<TestCall> ForwardBench::Start(int router, const std::string& path, std::string* id,
                                              const std::string& body,
                                              const HttpHeaders& extra_headers) {
  HttpHeaders headers = Headers(id);
  headers.insert(headers.end(), extra_headers.begin(), extra_headers.end());
  return caller_.Start(listen_endpoints_[router], "POST", path, headers, body);
}

std::unique_ptr<TestCall> ForwardBench::Run(int router, const std::string& path, std::string* id,
                                            const std::string& body,
                                            const HttpHeaders& extra_headers) {
  auto call = Start(router, path, id, body, extra_headers);
  CHECK(SpinUntil([&] { return call->done(); }));
  return call;
}

void ForwardBench::WaitForStatus(int router, const std::string& path, int status) {
  std::string id;
  CHECK(SpinUntil([&] { return Run(router, path, &id)->status == status; }));
}

std::string ForwardBench::RouterLog(int router) const {
  std::ifstream log(LogOf(fmt::format("r{}", router + 1)));
  return {std::istreambuf_iterator<char>(log), {}};
}

std::string ForwardBench::Explain(const std::string& id) {
  QStringList logs;
  for (std::size_t i = 0; i < replicas_.size(); ++i) {
    logs << QString::fromStdString(LogOf(fmt::format("c{}", i + 1)));
  }
  for (std::size_t i = 0; i < routers_.size(); ++i) {
    logs << QString::fromStdString(LogOf(fmt::format("r{}", i + 1)));
  }
  return ExplainRequest(id, logs);
}

}  // namespace kumquat

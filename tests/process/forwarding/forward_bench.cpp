#include "process/forwarding/forward_bench.h"

#include <fmt/format.h>

#include "process/explain.h"

namespace kumquat {
namespace {

constexpr const char* kKey = "clerk-key";

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

ForwardBench::ForwardBench() {
  folder_.setAutoRemove(!qEnvironmentVariableIsSet("KUMQUAT_KEEP_LOGS"));
  StartReplicas();
  StartRouters();
  PutConfiguration(1);
  for (int router = 0; router < kRouters; ++router) {
    CHECK(SpinUntil([&] { return IsReady(router); }));
  }
}

std::string ForwardBench::LogOf(const std::string& name) const {
  return folder_.filePath(QString::fromStdString(name + ".log")).toStdString();
}

// Replicas that find each other by seeds all have to use the same port.
void ForwardBench::StartReplicas() {
  const std::uint16_t port = FreeEndpoint().port;
  const std::uint16_t http_port = FreeEndpoint().port;
  for (int i = 0; i < kReplicas; ++i) {
    const std::string ip = fmt::format("127.0.0.{}", i + 1);
    seeds_ += fmt::format("\"{}:{}\", ", ip, port);
    control_[i] = {ip, http_port};
  }
  for (int i = 0; i < kReplicas; ++i) {
    const std::string name = fmt::format("c{}", i + 1);
    replicas_[i] = std::make_unique<TestProgram>(
        "kumquat-control",
        fmt::format("instance = \"{0}\"\nfailure_domain = \"d{1}\"\nlisten = \"{2}:{3}\"\n"
                    "http_listen = \"{4}\"\nseeds = [{5}]\nfound = true\ndata_dir = \"{6}\"\n",
                    name, i + 1, control_[i].ip, port, control_[i].ToString(), seeds_,
                    folder_.filePath(QString::fromStdString(name)).toStdString()));
    replicas_[i]->LogTo(LogOf(name));
    replicas_[i]->Start();
  }
}

void ForwardBench::StartRouters() {
  for (int i = 0; i < kRouters; ++i) {
    listen_endpoints_[i] = FreeEndpoint();
    ready_endpoints_[i] = FreeEndpoint();
    const std::string name = fmt::format("r{}", i + 1);
    routers_[i] = std::make_unique<TestProgram>(
        "kumquat-router",
        fmt::format("instance = \"{}\"\nfailure_domain = \"d1\"\n"
                    "listen = \"{}\"\n[forward]\ncontrol_seeds = [{}]\n"
                    "ready_listen = \"{}\"\nweights_longest_lag_ms = {}\n"
                    "memory_mb = {}\n",
                    name, listen_endpoints_[i].ToString(), seeds_, ready_endpoints_[i].ToString(),
                    kWeightsLongestLag.count(), kRouterMemoryMb));
    routers_[i]->LogTo(LogOf(name));
    routers_[i]->Start();
  }
}

QJsonObject ForwardBench::Configuration(int version, const QJsonObject& extra_route) {
  QJsonArray routes{RouteTo("desk", "/once/", "non_idempotent", false),
                    RouteTo("desk", "/again/", "idempotent", false),
                    RouteTo("desk", "/live/", "streaming", false),
                    RouteTo("desk", "/long/", "streaming", true)};
  if (!extra_route.isEmpty()) routes.append(extra_route);
  const QJsonObject service{{"name", "desk"}, {"healthPath", "/healthz"}, {"maxConns", 100}};
  const QJsonObject tenant{
      {"name", "clerks"}, {"apiKeys", QJsonArray{kKey}}, {"priority", 1}, {"isolated", false}};
  return {{"version", version},
          {"routes", routes},
          {"services", QJsonArray{service}},
          {"tenants", QJsonArray{tenant}},
          {"limits", QJsonObject{{"maxBodyBytes", 100'000}}}};
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

bool ForwardBench::IsReady(int router) {
  return caller_.Run(ready_endpoints_[router], "GET", "/readyz")->status == 200;
}

std::unique_ptr<TestCall> ForwardBench::StartConfiguration(int replica, int version) {
  return caller_.Start(control_[replica], "PUT", "/config", {{"Content-Type", "application/json"}},
                       ToJsonText(Configuration(version, {})));
}

void ForwardBench::PutWeightsVersion(const std::string& model, int version) {
  SendUntilAcknowledged("POST", "/version-put",
                        {{"model", ToQString(model)}, {"version", version}});
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

HttpHeaders ForwardBench::Headers(std::string* id) {
  *id = fmt::format("request{:04}", ++last_id_);
  return {{"Host", "desk.example"}, {"Kumquatcross-Request-Id", *id}, {"Api-Key", kKey}};
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

std::string ForwardBench::Explain(const std::string& id) {
  QStringList logs;
  for (int i = 0; i < kReplicas; ++i) {
    logs << QString::fromStdString(LogOf(fmt::format("c{}", i + 1)));
  }
  for (int i = 0; i < kRouters; ++i) {
    logs << QString::fromStdString(LogOf(fmt::format("r{}", i + 1)));
  }
  return ExplainRequest(id, logs);
}

}  // namespace kumquat

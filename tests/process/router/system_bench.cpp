#include "process/router/system_bench.h"

#include <fmt/format.h>

#include <QCryptographicHash>

#include "engine/answer_text.h"
#include "process/explain.h"

namespace kumquat {
namespace {

constexpr const char* kKey = "bench-key";

HttpHeaders WithKey(HttpHeaders headers) {
  headers.emplace_back("Authorization", std::string("Bearer ") + kKey);
  return headers;
}

QJsonArray Messages(const std::string& text) {
  return {QJsonObject{{"role", "user"}, {"content", ToQString(text)}}};
}

std::string RouterList(const std::array<Endpoint, SystemBench::kRouters>& endpoints, int without) {
  std::string list;
  for (int i = 0; i < SystemBench::kRouters; ++i) {
    if (i != without) list += fmt::format("\"r{}@{}\", ", i + 1, endpoints[i].ToString());
  }
  return list;
}

}  // namespace

std::optional<Refusal> RefusalOf(const TestCall& call) {
  const std::string text =
      call.status == 200 && !call.events.empty() ? call.events.back() : call.body;
  const auto json = ParseJsonObject(text);
  if (!json) return std::nullopt;
  const QJsonObject error = (*json)["error"].isObject() ? (*json)["error"].toObject() : *json;
  const std::string ran = error["ran"].toString().toStdString();
  if (ran != "no" && ran != "unknown") return std::nullopt;
  return Refusal{error["kind"].toString().toStdString(), ran};
}

SystemBench::SystemBench(SystemBenchOptions options) : options_(std::move(options)) {
  folder_.setAutoRemove(!qEnvironmentVariableIsSet("KUMQUAT_KEEP_LOGS"));
  StartRouters();
  StartEngines();
  StartServices();
  SetLists();
  for (int i = 0; i < kRouters; ++i) WaitUntilServing(i);
}

void SystemBench::StartRouters() {
  std::array<Endpoint, kRouters> peers;
  for (Endpoint& endpoint : routers_) endpoint = FreeEndpoint();
  for (Endpoint& endpoint : peers) endpoint = FreeEndpoint();
  for (int i = 0; i < kRouters; ++i) {
    router_programs_[i] = std::make_unique<TestProgram>(
        "kumquat-router",
        fmt::format("instance = \"r{0}\"\nfailure_domain = \"d{0}\"\nlisten = \"{1}\"\n"
                    "peer_listen = \"{2}\"\npeers = [{3}]\ncontrol = [{4}]\n"
                    "[timeouts]\nconnect_ms = 500\nfirst_byte_ms = 2000\n"
                    "between_bytes_ms = 1000\nservice_ms = 1500\nrequest_ms = 30000\n{5}",
                    i + 1, routers_[i].ToString(), peers[i].ToString(), RouterList(peers, i),
                    control_.control_list(), options_.router_tables));
    router_programs_[i]->LogTo(LogOf(i).toStdString());
    router_programs_[i]->Start();
  }
}

QString SystemBench::LogOf(int router) const {
  return folder_.filePath(QStringLiteral("r%1.log").arg(router + 1));
}

std::string SystemBench::Explain(const std::string& id) const {
  QStringList logs;
  for (int i = 0; i < kRouters; ++i) logs << LogOf(i);
  return ExplainRequest(id, logs);
}

void SystemBench::StartEngines() {
  for (int i = 0; i < kEngines; ++i) {
    BenchBackend& engine = engines_[i];
    engine.endpoint = FreeEndpoint();
    engine.relay = std::make_unique<Relay>(engine.endpoint);
    engine.program = std::make_unique<TestProgram>(
        "fake-engine",
        fmt::format("id = \"e{0}\"\nlisten = \"{1}\"\nannounced = \"{2}\"\n"
                    "failure_domain = \"d{0}\"\nrouters = [{3}]\nmodels = \"seat-spec//v1\"\n"
                    "answer_tokens = {4}\ntoken_interval_ms = {5}\nconcurrent_requests = 32\n"
                    "prefill_per_1k_tokens_ms = 5\nannounce_interval_ms = 200\n"
                    "software_version = \"{6}\"\n",
                    i + 1, engine.endpoint.ToString(), engine.relay->endpoint().ToString(),
                    RouterList(routers_, -1), options_.answer_tokens, options_.token_interval_ms,
                    options_.engine_software[i]));
    engine.program->Start();
  }
}

void SystemBench::StartServices() {
  for (int i = 0; i < kServices; ++i) {
    BenchBackend& service = services_[i];
    service.endpoint = FreeEndpoint();
    service.relay = std::make_unique<Relay>(service.endpoint);
    service.program = std::make_unique<TestProgram>(
        "fake-service",
        fmt::format("id = \"s{0}\"\nlisten = \"{1}\"\nannounced = \"{2}\"\n"
                    "failure_domain = \"d{0}\"\nrouters = [{3}]\ndelay_ms = 20\n",
                    i + 1, service.endpoint.ToString(), service.relay->endpoint().ToString(),
                    RouterList(routers_, -1)));
    service.program->Start();
  }
}

void SystemBench::SetLists() {
  const std::string digest =
      QCryptographicHash::hash(kKey, QCryptographicHash::Sha256).toHex().toStdString();
  const std::string allowances = control_.WriteFile(
      "allowances.toml",
      "revision = 0\n[[allowances]]\nplan = \"standard\"\n"
      "models = [{ model = \"seat-spec\", version = \"v1\" }]\nservices = [\"bookings\"]\n"
      "requests_per_second = 2000\ntokens_per_second = 20000000\nconcurrent_requests = 500\n");
  const std::string plans = control_.WriteFile(
      "plans.toml",
      "revision = 0\n[[plans]]\norganisation = \"workshop\"\nplan = \"standard\"\n"
      "key_digests = [\"" +
          digest + "\"]\n");
  REQUIRE(control_.Run({"allowances", "set", allowances}).exit_status == 0);
  REQUIRE(control_.Run({"plans", "set", plans}).exit_status == 0);
}

void SystemBench::WaitUntilServing(int router) {
  CHECK(SpinUntil([&] {
    auto call = StartChat(router, "warm up");
    SpinUntil([&] { return call->done(); });
    return call->status == 200 && call->done_marker();
  }));
}

std::unique_ptr<TestCall> SystemBench::StartChat(int router, const std::string& text,
                                                 const HttpHeaders& more) {
  const QJsonObject body = {{"model", "seat-spec"}, {"stream", true}, {"messages", Messages(text)}};
  return caller_.Start(routers_[router], "POST", "/v1/chat/completions", WithKey(more),
                       ToJsonText(body));
}

std::unique_ptr<TestCall> SystemBench::StartBooking(int router, const std::string& key) {
  return caller_.Start(routers_[router], "POST", "/services/bookings/book",
                       WithKey({{"Idempotency-Key", key}}), R"({"bay":1})");
}

std::unique_ptr<TestCall> SystemBench::StartCrashingCall(int router,
                                                         const std::string& crash_text) {
  return caller_.Start(routers_[router], "GET", "/services/bookings/slots?" + crash_text,
                       WithKey({}));
}

int SystemBench::RestartCrashed() {
  int crashes = 0;
  const auto restart = [&crashes](const BenchBackend& backend) {
    if (backend.program->running()) return;
    ++crashes;
    backend.program->Start();
  };
  for (const BenchBackend& engine : engines_) restart(engine);
  for (const BenchBackend& service : services_) restart(service);
  return crashes;
}

std::string SystemBench::ChatText(const std::string& text) {
  const std::string hash = AnswerHash(Messages(text));
  std::string answer;
  for (int i = 0; i < kAnswerTokens; ++i) answer += AnswerToken(hash, i);
  return answer;
}

std::string SystemBench::TextOf(const TestCall& call) {
  std::string text;
  for (const std::string& event : call.events) {
    const auto json = ParseJsonObject(event);
    if (!json) continue;
    text += (*json)["choices"][0]["delta"]["content"].toString().toStdString();
  }
  return text;
}

std::map<std::string, int> SystemBench::BookingRuns() {
  std::map<std::string, int> runs;
  for (const BenchBackend& service : services_) {
    const QJsonObject counted = caller_.GetJson(service.endpoint, "/stats")["runs"].toObject();
    for (const QString& key : counted.keys()) runs[key.toStdString()] += counted[key].toInt();
  }
  return runs;
}

std::optional<int> SystemBench::RunningEngine() {
  for (int i = 0; i < kEngines; ++i) {
    const QJsonObject stats = caller_.GetJson(engines_[i].endpoint, "/stats");
    const int ended = stats["completed"].toInt() + stats["cancelled"].toInt();
    if (stats["runs"].toInt() > ended) return i;
  }
  return std::nullopt;
}

int SystemBench::EngineStat(const char* name) {
  int sum = 0;
  for (const BenchBackend& engine : engines_) {
    sum += caller_.GetJson(engine.endpoint, "/stats")[QLatin1String(name)].toInt();
  }
  return sum;
}

}  // namespace kumquat

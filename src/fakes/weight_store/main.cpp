// fake-weight-store: a rate-limited store of weights for tests and the demo.
#include <fmt/format.h>

#include <utility>

#include "common/fake_settings.h"
#include "transport/http_server.h"
#include "transport/process_signals.h"
#include "utils/application.h"
#include "utils/program.h"

namespace kumquat {
namespace {

struct WeightStoreSettings {
  FakeSettings fake;
  std::int64_t requests_per_second = 3;
  std::int64_t weight_bytes = 64 * 1024;
};

// Counts the requests of the second that is under way.
class RateLimit {
 public:
  RateLimit(std::int64_t per_second, Clock clock)
      : per_second_(per_second), clock_(std::move(clock)) {}

  bool Take() {
    const Instant now = clock_();
    if (now - began_ >= std::chrono::seconds(1)) {
      began_ = now;
      taken_ = 0;
    }
    return ++taken_ <= per_second_;
  }

 private:
  std::int64_t per_second_;
  Clock clock_;
  Instant began_{};
  std::int64_t taken_ = 0;
};

void Handle(const WeightStoreSettings& settings, RateLimit& limit, const HttpRequest& request,
            HttpResponder& responder) {
  if (request.method != "GET" || !request.path.starts_with("/weights/")) {
    responder.Send(404, {}, "");
  } else if (!limit.Take()) {
    responder.Send(429, {{"Retry-After", "1"}}, "");
  } else {
    responder.Send(200, {{"Content-Type", "application/octet-stream"}},
                   std::string(static_cast<std::size_t>(settings.weight_bytes), 'w'));
  }
}

int Run(Application& application, const WeightStoreSettings& settings) {
  RateLimit limit(settings.requests_per_second, SteadyClock());
  const auto server = HttpServer::Builder()
                          .WithHandler([&](const HttpRequest& request,
                                           const std::shared_ptr<HttpResponder>& responder) {
                            Handle(settings, limit, request, *responder);
                          })
                          .Build();
  if (!server->Listen(settings.fake.listen)) {
    fmt::print(stderr, "{}\n", server->last_reason());
    return 1;
  }
  const ProcessSignals signals([](Instant /*came*/) { QCoreApplication::quit(); }, [] {});
  return application.Run();
}

}  // namespace
}  // namespace kumquat

int main(int argc, char** argv) {
  kumquat::ProcessSignals::Take();
  kumquat::WeightStoreSettings settings;
  kumquat::SettingsReader reader;
  AddFakeSettings(reader, &settings.fake);
  reader.Add("requests_per_second", &settings.requests_per_second, {1, 1'000'000},
             "Requests that are answered in a second; more get 429.");
  reader.Add("weight_bytes", &settings.weight_bytes, {0, 1'000'000'000}, "Size of an answer.");
  const auto status = kumquat::StartProgram(&argc, &argv, "fake-weight-store", KUMQUAT_VERSION,
                                            "A store of weights for tests and the demo.", reader);
  if (status) return *status;
  kumquat::ApplyFakeSettings(&settings.fake);
  kumquat::Application application(argc, argv);
  return kumquat::Run(application, settings);
}

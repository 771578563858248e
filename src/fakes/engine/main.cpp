// fake-engine: a model engine for tests and the demo.
#include <fmt/format.h>

#include "engine/engine_server.h"
#include "transport/process_signals.h"
#include "utils/application.h"
#include "utils/program.h"

namespace {

void AddSettings(kumquat::SettingsReader& reader, kumquat::EngineServerSettings* settings) {
  AddFakeSettings(reader, &settings->fake);
  kumquat::EngineModelSettings& model = settings->model;
  reader.Add("models", &settings->models, "Loaded models: \"model/adapter/version,...\".");
  reader.Add("answer_tokens", &settings->answer_tokens, {1, 1'000'000}, "Tokens of an answer.");
  reader.Add("cache_pieces", &model.cache_pieces, {0, 10'000'000}, "Pieces in the cache.");
  reader.Add("piece_tokens", &model.piece_tokens, {1, 1'000'000}, "Tokens of a piece.");
  reader.Add("concurrent_requests", &model.concurrent_requests, {1, 100'000},
             "Requests that run at once.");
  reader.Add("prefill_per_1k_tokens_ms", &model.prefill_per_1k_tokens, {0, 1'000'000},
             "Prefill time of 1000 tokens that are not cached.");
  reader.Add("token_interval_ms", &model.token_interval, {0, 1'000'000}, "Time between tokens.");
  reader.Add("load_ms", &settings->load_time, {0, 1'000'000}, "Time to load a model.");
  reader.Add("load_lag_ms", &settings->load_lag, {1, 1'000'000}, "Age of the reported load.");
  reader.Add("cache_events.delay_ms", &settings->cache_event_delay, {0, 1'000'000},
             "Delay of cache events.");
  reader.Add("cache_events.loss_percent", &settings->cache_event_loss_percent, {0, 100},
             "Share of cache events that are lost.");
  reader.Add("seed", &settings->seed, {0, INT64_MAX}, "Seed of the losses.");
  reader.Add("checks_fencing", &settings->checks_fencing, "Whether old orders are refused.");
}

}  // namespace

int main(int argc, char** argv) {
  kumquat::ProcessSignals::Take();
  kumquat::EngineServerSettings settings;
  kumquat::SettingsReader reader;
  AddSettings(reader, &settings);
  const auto status = kumquat::StartProgram(&argc, &argv, "fake-engine", KUMQUAT_VERSION,
                                            "A model engine for tests and the demo.", reader);
  if (status) return *status;
  kumquat::ApplyFakeSettings(&settings.fake);
  kumquat::Application application(argc, argv);
  kumquat::EngineServer server(settings);
  if (!server.Start()) {
    fmt::print(stderr, "{}\n", server.last_reason());
    return 1;
  }
  const kumquat::ProcessSignals signals([&server](kumquat::Instant /*came*/) { server.Leave(); },
                                        [] {});
  return application.Run();
}

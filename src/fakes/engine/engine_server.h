// The HTTP side of a fake engine.
#pragma once

#include <QTimer>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/announcer.h"
#include "common/fake_settings.h"
#include "engine/cache_event_feed.h"
#include "engine/engine_model.h"
#include "protocol/engine_messages.h"
#include "transport/http_server.h"

namespace kumquat {

struct EngineServerSettings {
  FakeSettings fake;
  EngineModelSettings model;
  // Loaded at the start: "model/adapter/version", separated by commas.
  std::string models;
  // Tokens of an answer that its request does not cut short.
  std::int64_t answer_tokens = 32;
  Duration load_time = std::chrono::milliseconds(500);
  Duration load_lag = std::chrono::milliseconds(250);
  Duration cache_event_delay = std::chrono::milliseconds(100);
  std::int64_t cache_event_loss_percent = 0;
  std::int64_t seed = 1;
  bool checks_fencing = true;
};

// Reads "model/adapter/version,...".
std::vector<ModelVersion> ParseModelNames(const std::string& text);

class EngineServer {
 public:
  explicit EngineServer(const EngineServerSettings& settings);

  // False when the address can't be had; last_reason() then says why.
  bool Start();

  // Announces that the engine is leaving; ends the event loop when its streams have ended.
  void Leave();

  const std::string& last_reason() const { return server_->last_reason(); }

 private:
  // A stream in progress.
  struct Stream {
    EngineRequest request;
    std::string hash;
    std::int64_t answer_tokens = 0;
    bool crashes = false;
    bool crashes_late = false;
    std::shared_ptr<HttpResponder> responder;
  };

  using Responder = std::shared_ptr<HttpResponder>;

  void Handle(const HttpRequest& request, const Responder& responder);
  void HandleChat(const HttpRequest& request, const Responder& responder);
  void StartStream(Stream stream);
  void HandleOrder(const HttpRequest& request, const Responder& responder);
  void LoadModels(const std::vector<ModelVersion>& models);
  QJsonObject CacheEvents(const std::string& query) const;
  QJsonObject CacheBlocks();
  QJsonObject Orders() const;
  QJsonObject Stats() const;
  void Describe(Announcement* announcement) const;
  void Advance();
  void SendEvent(const EngineModelEvent& event);
  void Schedule();
  bool IsLoaded(const ModelVersion& model) const;

  EngineServerSettings settings_;
  Clock clock_;
  EngineModel model_;
  CacheEventFeed feed_;
  std::unique_ptr<HttpServer> server_;
  Announcer announcer_;
  QTimer step_timer_;
  QTimer load_timer_;
  std::map<std::uint64_t, Stream> streams_;
  std::vector<ModelVersion> loaded_;
  // The models of the newest order, and how many orders there were.
  std::vector<ModelVersion> ordered_;
  std::int64_t fencing_number_ = 0;
  std::int64_t orders_ = 0;
  std::int64_t refused_orders_ = 0;
  BackendLoad shown_load_;
};

}  // namespace kumquat

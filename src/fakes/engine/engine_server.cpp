#include "engine/engine_server.h"

#include <unistd.h>

#include <QCoreApplication>
#include <QJsonArray>
#include <QTimer>
#include <QUrlQuery>
#include <algorithm>
#include <chrono>
#include <memory>
#include <random>
#include <utility>

#include "engine/answer_text.h"
#include "protocol/json_fields.h"

namespace kumquat {
namespace {

// A prompt with the first text crashes the engine when it begins the answer, one with the second
// text when it has written a token, one with the third some time after it came, without an answer.
constexpr std::string_view kCrashText = "please-crash";
constexpr std::string_view kLateCrashText = "please-write-and-crash";
constexpr std::string_view kDelayedCrashText = "please-wait-and-crash";
constexpr std::chrono::milliseconds kTimeToSend{20};
constexpr std::chrono::milliseconds kTimeToCrash{200};
constexpr std::chrono::milliseconds kLeavePollInterval{20};

Random SeededRandom(std::int64_t seed) {
  auto generator = std::make_shared<std::mt19937_64>(static_cast<std::uint64_t>(seed));
  return [generator] { return (*generator)(); };
}

void SendJson(const std::shared_ptr<HttpResponder>& responder, int status,
              const QJsonObject& json) {
  responder->Send(status, {{"Content-Type", "application/json"}}, ToJsonText(json));
}

void SendRefusal(const std::shared_ptr<HttpResponder>& responder, int status,
                 std::string_view reason) {
  SendJson(responder, status, {{"error", ToQString(reason)}});
}

std::string ServerSentEvent(std::string_view data) {
  std::string event = "data: ";
  event += data;
  event += "\n\n";
  return event;
}

QJsonArray ModelsToJson(const std::vector<ModelVersion>& models) {
  QJsonArray array;
  for (const ModelVersion& model : models) array.append(ToJson(model));
  return array;
}

}  // namespace

std::vector<ModelVersion> ParseModelNames(const std::string& text) {
  std::vector<ModelVersion> models;
  for (const QString& name : QString::fromStdString(text).split(u',', Qt::SkipEmptyParts)) {
    const QStringList parts = name.trimmed().split(u'/');
    if (parts.size() != 3) continue;
    models.push_back({parts[0].toStdString(), parts[1].toStdString(), parts[2].toStdString()});
  }
  return models;
}

EngineServer::EngineServer(const EngineServerSettings& settings)
    : settings_(settings),
      clock_(SteadyClock()),
      model_(settings.model, clock_),
      feed_(settings.cache_event_delay, settings.cache_event_loss_percent, clock_,
            SeededRandom(settings.seed)),
      announcer_(settings.fake, [this](Announcement* announcement) { Describe(announcement); }),
      loaded_(ParseModelNames(settings.models)),
      ordered_(loaded_) {
  server_ = HttpServer::Builder()
                .WithHandler([this](const HttpRequest& request, const Responder& responder) {
                  Handle(request, responder);
                })
                .Build();
  step_timer_.setSingleShot(true);
  step_timer_.setTimerType(Qt::PreciseTimer);
  QObject::connect(&step_timer_, &QTimer::timeout, &step_timer_, [this] { Advance(); });
  QObject::connect(&load_timer_, &QTimer::timeout, &load_timer_,
                   [this] { shown_load_ = model_.load(); });
}

bool EngineServer::Start() {
  if (!server_->Listen(settings_.fake.listen)) return false;
  load_timer_.start(std::chrono::duration_cast<std::chrono::milliseconds>(settings_.load_lag));
  announcer_.Start();
  return true;
}

void EngineServer::Leave() {
  announcer_.Leave();
  const Instant earliest = clock_() + settings_.fake.leave_time;
  auto* poll = new QTimer(&step_timer_);
  QObject::connect(poll, &QTimer::timeout, poll, [this, earliest] {
    if (clock_() >= earliest && streams_.empty() && server_->open_requests() == 0) {
      QCoreApplication::quit();
    }
  });
  poll->start(kLeavePollInterval);
}

void EngineServer::Handle(const HttpRequest& request, const Responder& responder) {
  if (request.method == "POST" && request.path == "/v1/chat/completions") {
    HandleChat(request, responder);
  } else if (request.method == "POST" && request.path == "/orders") {
    HandleOrder(request, responder);
  } else if (request.method != "GET") {
    SendRefusal(responder, 404, "There is no such operation.");
  } else if (request.path == "/cache/events") {
    SendJson(responder, 200, CacheEvents(request.query));
  } else if (request.path == "/cache/blocks") {
    SendJson(responder, 200, CacheBlocks());
  } else if (request.path == "/orders") {
    SendJson(responder, 200, Orders());
  } else if (request.path == "/load") {
    Announcement announcement;
    Describe(&announcement);
    QJsonObject load = ToJson(announcement).value(QLatin1String("load")).toObject();
    load["incarnation"] = static_cast<qint64>(settings_.fake.incarnation);
    SendJson(responder, 200, load);
  } else if (request.path == "/stats") {
    SendJson(responder, 200, Stats());
  } else {
    SendRefusal(responder, 404, "There is no such path.");
  }
}

void EngineServer::HandleChat(const HttpRequest& request, const Responder& responder) {
  const auto json = ParseJsonObject(request.body);
  std::string reason = "The body is not JSON.";
  std::optional<EngineRequest> engine_request;
  if (json) {
    engine_request = ParseEngineRequest(json->value(QLatin1String("kumquat")).toObject(), &reason);
  }
  if (!engine_request) {
    SendRefusal(responder, 400, reason);
  } else if (engine_request->incarnation != settings_.fake.incarnation) {
    SendRefusal(responder, 409, "This is another incarnation.");
  } else if (!IsLoaded(engine_request->model)) {
    SendRefusal(responder, 404, "The model is not loaded.");
  } else if (request.body.find(kDelayedCrashText) != std::string::npos) {
    QTimer::singleShot(kTimeToCrash, [responder] { _exit(1); });
  } else {
    Stream stream;
    stream.request = std::move(*engine_request);
    stream.hash = AnswerHash(json->value(QLatin1String("messages")).toArray());
    stream.crashes = request.body.find(kCrashText) != std::string::npos;
    stream.crashes_late = request.body.find(kLateCrashText) != std::string::npos;
    stream.responder = responder;
    StartStream(std::move(stream));
  }
}

void EngineServer::StartStream(Stream stream) {
  const std::int64_t most = stream.request.max_tokens;
  stream.answer_tokens =
      most > 0 ? std::min(most, settings_.answer_tokens) : settings_.answer_tokens;
  EngineJob job;
  job.request_class = stream.request.request_class;
  job.prefix = stream.request.prefix;
  job.prompt_tokens = stream.request.prompt_tokens;
  job.first_token = std::min(stream.request.resume_offset, stream.answer_tokens);
  job.answer_tokens = stream.answer_tokens;
  const std::uint64_t number = model_.Submit(std::move(job));
  stream.responder->StartStream(200, {{"Content-Type", "text/event-stream"}});
  stream.responder->OnClosed([this, number] {
    model_.Cancel(number);
    streams_.erase(number);
    Schedule();
  });
  streams_[number] = std::move(stream);
  Schedule();
}

void EngineServer::Advance() {
  for (const EngineModelEvent& event : model_.Advance()) SendEvent(event);
  feed_.Add(model_.cache().TakeChanges());
  Schedule();
}

void EngineServer::SendEvent(const EngineModelEvent& event) {
  const auto found = streams_.find(event.job);
  if (found == streams_.end()) return;
  const Stream& stream = found->second;
  // At once, as an engine that a request crashes.
  if (stream.crashes) _exit(1);
  EngineEvent message;
  message.attempt_id = stream.request.attempt_id;
  message.offset = event.offset;
  message.is_end = event.is_end;
  if (!event.is_end) {
    message.text = AnswerToken(stream.hash, event.offset);
    stream.responder->Write(ServerSentEvent(ToJsonText(message)));
    if (stream.crashes_late) QTimer::singleShot(kTimeToSend, [] { _exit(1); });
    return;
  }
  message.finish_reason = stream.answer_tokens < settings_.answer_tokens ? "length" : "stop";
  message.usage = {stream.request.prompt_tokens, event.cached_tokens, event.offset};
  const Responder responder = stream.responder;
  streams_.erase(found);
  responder->Write(ServerSentEvent(ToJsonText(message)) + ServerSentEvent("[DONE]"));
  responder->End();
}

void EngineServer::Schedule() {
  const auto next = model_.next_event();
  if (!next) {
    step_timer_.stop();
    return;
  }
  const Duration left = std::max(*next - clock_(), Duration::zero());
  step_timer_.start(std::chrono::ceil<std::chrono::milliseconds>(left));
}

void EngineServer::HandleOrder(const HttpRequest& request, const Responder& responder) {
  const auto json = ParseJsonObject(request.body);
  std::string reason = "The body is not JSON.";
  std::optional<EngineOrder> order;
  if (json) order = ParseEngineOrder(*json, &reason);
  if (!order) {
    SendRefusal(responder, 400, reason);
    return;
  }
  if (settings_.checks_fencing && order->fencing_number < fencing_number_) {
    ++refused_orders_;
    SendRefusal(responder, 409, "The fencing number is old.");
    return;
  }
  ++orders_;
  fencing_number_ = order->fencing_number;
  LoadModels(order->models);
  SendJson(responder, 200, Orders());
}

void EngineServer::LoadModels(const std::vector<ModelVersion>& models) {
  ordered_ = models;
  std::erase_if(loaded_, [&models](const ModelVersion& model) {
    return std::find(models.begin(), models.end(), model) == models.end();
  });
  const auto load = [this, number = orders_] {
    if (number == orders_) loaded_ = ordered_;
  };
  QTimer::singleShot(std::chrono::duration_cast<std::chrono::milliseconds>(settings_.load_time),
                     &load_timer_, load);
}

bool EngineServer::IsLoaded(const ModelVersion& model) const {
  return std::find(loaded_.begin(), loaded_.end(), model) != loaded_.end();
}

QJsonObject EngineServer::CacheEvents(const std::string& query) const {
  const QString after =
      QUrlQuery(QString::fromStdString(query)).queryItemValue(QStringLiteral("after"));
  std::int64_t last_sequence = 0;
  QJsonArray events;
  for (const CacheEvent& event : feed_.EventsAfter(after.toLongLong(), &last_sequence)) {
    events.append(ToJson(event));
  }
  return {{"incarnation", static_cast<qint64>(settings_.fake.incarnation)},
          {"last_sequence", static_cast<qint64>(last_sequence)},
          {"events", events}};
}

QJsonObject EngineServer::CacheBlocks() {
  feed_.Add(model_.cache().TakeChanges());
  return {{"incarnation", static_cast<qint64>(settings_.fake.incarnation)},
          {"last_sequence", static_cast<qint64>(feed_.last_sequence())},
          {"blocks", ToJsonArray(model_.cache().Blocks())}};
}

QJsonObject EngineServer::Orders() const {
  return {{"fencing_number", static_cast<qint64>(fencing_number_)},
          {"models", ModelsToJson(ordered_)},
          {"loaded", ModelsToJson(loaded_)}};
}

QJsonObject EngineServer::Stats() const {
  const EngineModelStats& stats = model_.stats();
  return {{"runs", static_cast<qint64>(stats.runs)},
          {"completed", static_cast<qint64>(stats.completed)},
          {"cancelled", static_cast<qint64>(stats.cancelled)},
          {"cached_tokens", static_cast<qint64>(stats.cached_tokens)},
          {"recomputed_tokens", static_cast<qint64>(stats.recomputed_tokens)},
          {"orders", static_cast<qint64>(orders_)},
          {"refused_orders", static_cast<qint64>(refused_orders_)},
          {"open_streams", static_cast<qint64>(streams_.size())},
          {"incarnation", static_cast<qint64>(settings_.fake.incarnation)}};
}

void EngineServer::Describe(Announcement* announcement) const {
  announcement->kind = BackendKind::kEngine;
  announcement->models = loaded_;
  announcement->checks_fencing = settings_.checks_fencing;
  announcement->concurrent_requests = settings_.model.concurrent_requests;
  announcement->prefill_ms_per_1k_tokens =
      static_cast<double>(settings_.model.prefill_per_1k_tokens.count()) / 1000;
  announcement->load = shown_load_;
}

}  // namespace kumquat

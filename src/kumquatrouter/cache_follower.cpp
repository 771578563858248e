#include "cache_follower.h"

#include <QTimer>
#include <utility>

#include "coordination/membership/member_table.h"
#include "exchange.h"
#include "index_service.h"
#include "membership_service.h"
#include "protocol/engine_messages.h"
#include "protocol/json_fields.h"

namespace kumquat {
namespace {

constexpr std::size_t kMaxEvents = 100'000;
constexpr std::size_t kMaxBlocks = 1'000'000;
constexpr CallTimeouts kReadTimeouts{std::chrono::milliseconds(300), std::chrono::seconds(1),
                                     std::chrono::seconds(1)};
constexpr GatherLimits kReadLimits{std::chrono::seconds(5), 64 * 1024 * 1024};

}  // namespace

CacheFollower::CacheFollower(const MembershipService* membership, IndexService* index,
                             BackendClient* client, Clock clock, Duration poll_interval)
    : membership_(membership),
      index_(index),
      client_(client),
      clock_(std::move(clock)),
      poll_interval_(poll_interval) {}

void CacheFollower::Resync(const std::string& backend_id) {
  const auto engine = engines_.find(backend_id);
  if (engine != engines_.end()) engine->second.needs_contents = true;
}

void CacheFollower::ResyncAll() {
  for (auto& [id, engine] : engines_) engine.needs_contents = true;
}

void CacheFollower::Tick() {
  const MemberTable& table = membership_->table();
  std::erase_if(engines_, [&](const auto& entry) {
    const bool is_followed = table.Find(entry.first) && membership_->IsFirstKeeperOf(entry.first);
    return !is_followed && !entry.second.call;
  });
  table.ForEach([this](const Member& member) {
    const MemberRecord& record = member.record;
    if (!record.backend || record.backend->kind != BackendKind::kEngine || record.down) return;
    if (membership_->IsFirstKeeperOf(record.id)) Follow(record);
  });
}

void CacheFollower::Follow(const MemberRecord& record) {
  Engine& engine = engines_[record.id];
  if (engine.incarnation != record.incarnation) {
    engine.incarnation = record.incarnation;
    engine.last_sequence = 0;
    // An engine that runs already holds more than the events that it still offers.
    engine.needs_contents = true;
  }
  if (!engine.call && clock_() >= engine.next_read) Read(record.id, &engine);
}

void CacheFollower::Read(const std::string& id, Engine* engine) {
  engine->next_read = clock_() + poll_interval_;
  const bool contents = engine->needs_contents;
  BackendCallRequest request;
  request.endpoint = membership_->table().Find(id)->record.endpoint;
  request.method = "GET";
  request.target =
      contents ? "/cache/blocks" : "/cache/events?after=" + std::to_string(engine->last_sequence);
  request.timeouts = kReadTimeouts;
  const auto on_answer = [this, id, contents](int /*status*/, std::string_view body) {
    const auto entry = engines_.find(id);
    if (entry == engines_.end()) return;
    DestroyLater(std::move(entry->second.call));
    OnRead(id, contents, body);
  };
  engine->call = StartGathered(*client_, std::move(request), kReadLimits, on_answer);
}

void CacheFollower::OnRead(const std::string& id, bool contents, std::string_view body) {
  // A call that failed has no body.
  const auto json = ParseJsonObject(body);
  if (!json || (*json)["incarnation"].toInteger() != engines_.at(id).incarnation) return;
  if (contents) {
    TakeContents(id, *json);
  } else {
    TakeEvents(id, *json);
  }
}

void CacheFollower::TakeEvents(const std::string& id, const QJsonObject& json) {
  Engine& engine = engines_[id];
  JsonFields fields(json);
  std::vector<BlockChange> changes;
  std::vector<BlockId> roots;
  std::int64_t last = engine.last_sequence;
  for (const QJsonValue& item : fields.Array("events", kMaxEvents)) {
    const auto event = ParseCacheEvent(item.toObject());
    const auto named = event ? ParseNamedBlock(event->block) : std::nullopt;
    if (!named || event->sequence <= last) continue;
    // A hole in the numbers: events were lost, and only the whole contents make that good.
    if (event->sequence != last + 1) engine.needs_contents = true;
    last = event->sequence;
    changes.push_back({named->block, event->stored});
    roots.push_back(named->segment_root);
  }
  if (changes.empty()) return;
  engine.last_sequence = last;
  index_->TakeEvents(id, engine.incarnation, last, changes, roots);
}

void CacheFollower::TakeContents(const std::string& id, const QJsonObject& json) {
  Engine& engine = engines_[id];
  std::vector<NamedBlock> blocks;
  JsonFields fields(json);
  for (const QJsonValue& item : fields.Array("blocks", kMaxBlocks)) {
    const auto named = ParseNamedBlock(item.toString().toStdString());
    if (named) blocks.push_back(*named);
  }
  engine.needs_contents = false;
  engine.last_sequence =
      std::max<std::int64_t>(engine.last_sequence, json["last_sequence"].toInteger());
  index_->TakeContents(id, engine.incarnation, engine.last_sequence, blocks);
}

}  // namespace kumquat

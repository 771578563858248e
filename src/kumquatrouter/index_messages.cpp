#include "index_messages.h"

#include <utility>

#include "protocol/json_fields.h"
#include "state/index/shard_map.h"

namespace kumquat {
namespace {

constexpr std::size_t kMaxSegments = 1024;
constexpr std::size_t kMaxBlocks = 1'000'000;
constexpr std::size_t kMaxBeliefs = 10'000;
constexpr char kSeparator = '.';

QJsonArray BlocksJson(std::span<const BlockId> blocks) {
  QJsonArray array;
  for (const BlockId& block : blocks) array.append(ToQString(block.ToHex()));
  return array;
}

std::vector<BlockId> ReadBlocks(JsonFields& fields, const char* key) {
  std::vector<BlockId> blocks;
  for (const QJsonValue& item : fields.Array(key, kMaxBlocks)) {
    const auto block = ParseBlockId(item.toString().toStdString());
    if (!block) fields.Fail(key, "a piece's identity is needed.");
    blocks.push_back(block.value_or(BlockId{}));
  }
  return blocks;
}

QJsonArray BeliefsJson(std::span<const EngineBelief> beliefs) {
  QJsonArray array;
  for (const EngineBelief& belief : beliefs) {
    array.append(QJsonArray{ToQString(belief.backend_id), static_cast<qint64>(belief.incarnation),
                            static_cast<qint64>(belief.pieces)});
  }
  return array;
}

std::vector<EngineBelief> ReadBeliefs(const QJsonArray& array) {
  std::vector<EngineBelief> beliefs;
  for (const auto& item : array) {
    const QJsonArray values = item.toArray();
    beliefs.push_back(
        {values[0].toString().toStdString(), values[1].toInteger(), values[2].toInteger()});
  }
  return beliefs;
}

template <typename Message>
std::optional<Message> Finish(const JsonFields& fields, Message message) {
  if (!fields.ok()) return std::nullopt;
  return message;
}

}  // namespace

std::string NamedBlock::ToText() const { return block.ToHex() + kSeparator + segment_root.ToHex(); }

std::optional<NamedBlock> ParseNamedBlock(std::string_view text) {
  const auto separator = text.find(kSeparator);
  if (separator == std::string_view::npos) return std::nullopt;
  const auto block = ParseBlockId(text.substr(0, separator));
  const auto root = ParseBlockId(text.substr(separator + 1));
  if (!block || !root) return std::nullopt;
  return NamedBlock{*block, *root};
}

std::vector<std::string> NamesOf(std::span<const BlockId> prompt) {
  std::vector<std::string> names;
  names.reserve(prompt.size());
  for (std::size_t i = 0; i < prompt.size(); ++i) {
    names.push_back(NamedBlock{prompt[i], SegmentRoot(prompt, i)}.ToText());
  }
  return names;
}

QJsonObject ToJson(const std::vector<SentLoad>& loads) {
  QJsonArray array;
  for (const SentLoad& load : loads) {
    array.append(QJsonArray{ToQString(load.backend_id), static_cast<qint64>(load.incarnation),
                            static_cast<qint64>(load.reply_tokens),
                            static_cast<qint64>(load.tokens),
                            static_cast<qint64>(load.held_tokens)});
  }
  return {{"loads", array}};
}

std::optional<std::vector<SentLoad>> ParseSentLoads(const QJsonObject& json) {
  std::vector<SentLoad> loads;
  JsonFields fields(json);
  for (const QJsonValue& item : fields.Array("loads", kMaxBeliefs)) {
    const QJsonArray values = item.toArray();
    loads.push_back({values[0].toString().toStdString(), values[1].toInteger(),
                     values[2].toInteger(), values[3].toInteger(), values[4].toInteger()});
  }
  return Finish(fields, std::move(loads));
}

QJsonObject ToJson(const LookupMessage& message) {
  QJsonArray segments;
  for (const auto& segment : message.segments) segments.append(BlocksJson(segment));
  return {{"id", static_cast<qint64>(message.id)}, {"segments", segments}};
}

std::optional<LookupMessage> ParseLookupMessage(const QJsonObject& json) {
  LookupMessage message;
  JsonFields fields(json);
  fields.Read("id", &message.id);
  for (const QJsonValue& item : fields.Array("segments", kMaxSegments)) {
    JsonFields segment(QJsonObject{{"blocks", item}});
    message.segments.push_back(ReadBlocks(segment, "blocks"));
    if (!segment.ok()) fields.Fail("segments", segment.last_reason());
  }
  return Finish(fields, std::move(message));
}

QJsonObject ToJson(const LookupAnswer& message) {
  QJsonArray beliefs;
  for (const auto& segment : message.beliefs) beliefs.append(BeliefsJson(segment));
  return {{"id", static_cast<qint64>(message.id)}, {"beliefs", beliefs}};
}

std::optional<LookupAnswer> ParseLookupAnswer(const QJsonObject& json) {
  LookupAnswer message;
  JsonFields fields(json);
  fields.Read("id", &message.id);
  for (const QJsonValue& item : fields.Array("beliefs", kMaxBeliefs)) {
    message.beliefs.push_back(ReadBeliefs(item.toArray()));
  }
  return Finish(fields, std::move(message));
}

QJsonObject ToJson(const IndexNote& message) {
  return {{"kind", static_cast<int>(message.kind)},
          {"backend", ToQString(message.backend_id)},
          {"incarnation", static_cast<qint64>(message.incarnation)},
          {"segment", BlocksJson(message.segment)},
          {"believed", static_cast<qint64>(message.believed_pieces)},
          {"cached", static_cast<qint64>(message.cached_pieces)}};
}

std::optional<IndexNote> ParseIndexNote(const QJsonObject& json) {
  IndexNote message;
  std::int64_t kind = 0;
  JsonFields fields(json);
  fields.Read("kind", &kind, 0, static_cast<std::int64_t>(IndexNoteKind::kRetract))
      .Read("backend", &message.backend_id)
      .Read("incarnation", &message.incarnation)
      .Read("believed", &message.believed_pieces)
      .Read("cached", &message.cached_pieces);
  message.kind = static_cast<IndexNoteKind>(kind);
  message.segment = ReadBlocks(fields, "segment");
  return Finish(fields, std::move(message));
}

QJsonObject ToJson(const CacheEventsMessage& message) {
  const CacheEventBatch& batch = message.batch;
  std::vector<BlockId> stored;
  std::vector<BlockId> removed;
  for (const BlockChange& change : batch.changes) {
    (change.stored ? stored : removed).push_back(change.block);
  }
  return {{"backend", ToQString(batch.backend_id)},
          {"incarnation", static_cast<qint64>(batch.incarnation)},
          {"first", static_cast<qint64>(batch.first_sequence)},
          {"last", static_cast<qint64>(batch.last_sequence)},
          {"is_contents", message.is_contents},
          {"stored", BlocksJson(stored)},
          {"removed", BlocksJson(removed)}};
}

std::optional<CacheEventsMessage> ParseCacheEventsMessage(const QJsonObject& json) {
  CacheEventsMessage message;
  CacheEventBatch& batch = message.batch;
  JsonFields fields(json);
  fields.Read("backend", &batch.backend_id)
      .Read("incarnation", &batch.incarnation)
      .Read("first", &batch.first_sequence)
      .Read("last", &batch.last_sequence)
      .Read("is_contents", &message.is_contents);
  for (const BlockId& block : ReadBlocks(fields, "removed"))
    batch.changes.push_back({block, false});
  for (const BlockId& block : ReadBlocks(fields, "stored")) batch.changes.push_back({block, true});
  return Finish(fields, std::move(message));
}

}  // namespace kumquat

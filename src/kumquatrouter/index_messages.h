// The messages about the sharded prefix index.
#pragma once

#include <QJsonObject>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/placement/placement.h"
#include "coordination/prefix/prefix_identity.h"
#include "state/index/prefix_index.h"

namespace kumquat {

// A piece as it is named to engines: its identity, and the root of its segment, by which whoever
// reads an engine's cache events finds the owner of the piece.
struct NamedBlock {
  BlockId block;
  BlockId segment_root;

  bool operator==(const NamedBlock&) const = default;

  std::string ToText() const;
};

std::optional<NamedBlock> ParseNamedBlock(std::string_view text);

// Returns the names of a prompt's pieces, for EngineRequest::prefix.
std::vector<std::string> NamesOf(std::span<const BlockId> prompt);

// What an engine is believed to hold of one prompt or segment.
struct EngineBelief {
  std::string backend_id;
  std::int64_t incarnation = 0;
  std::int64_t pieces = 0;

  bool operator==(const EngineBelief&) const = default;
};

// Asks the owner of some segments what it believes.
struct LookupMessage {
  std::int64_t id = 0;
  std::vector<std::vector<BlockId>> segments;
};

// Answers a LookupMessage: beliefs for each of its segments, in their order.
struct LookupAnswer {
  std::int64_t id = 0;
  std::vector<std::vector<EngineBelief>> beliefs;
};

enum class IndexNoteKind { kExpect, kComputed, kCorrect, kRetract };

// Tells the owner of a segment what a router learned from its own dispatch.
struct IndexNote {
  IndexNoteKind kind = IndexNoteKind::kExpect;
  std::string backend_id;
  std::int64_t incarnation = 0;
  std::vector<BlockId> segment;
  // kCorrect: leading pieces of the segment that were believed to be cached, and that were.
  std::int64_t believed_pieces = 0;
  std::int64_t cached_pieces = 0;
};

// Cache events, or the whole contents, of one engine, as far as one owner is concerned.
struct CacheEventsMessage {
  CacheEventBatch batch;
  // The changes are the whole contents as of the batch's last sequence.
  bool is_contents = false;
};

// What a router tells the others of the work that it sent.
QJsonObject ToJson(const std::vector<SentLoad>& loads);
std::optional<std::vector<SentLoad>> ParseSentLoads(const QJsonObject& json);

QJsonObject ToJson(const LookupMessage& message);
QJsonObject ToJson(const LookupAnswer& message);
QJsonObject ToJson(const IndexNote& message);
QJsonObject ToJson(const CacheEventsMessage& message);
std::optional<LookupMessage> ParseLookupMessage(const QJsonObject& json);
std::optional<LookupAnswer> ParseLookupAnswer(const QJsonObject& json);
std::optional<IndexNote> ParseIndexNote(const QJsonObject& json);
std::optional<CacheEventsMessage> ParseCacheEventsMessage(const QJsonObject& json);

}  // namespace kumquat

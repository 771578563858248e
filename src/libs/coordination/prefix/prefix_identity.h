// Identity of cached prompt state: which pieces of a prompt an engine may hold.
//
// A prompt is cut into pieces of a fixed size, counted from its first byte, as engines cut it. The
// identity of a piece covers everything before it and the scope (organisation, model, adapter,
// weights version), so equal identities mean equal state, and no identity crosses a scope. It says
// nothing of the engine's incarnation, which is kept beside each belief (see PrefixIndex).
//
// Pieces are not cut at the ends of messages: engines cache pieces of one fixed size only, and a
// router that cut elsewhere would name state that no engine holds. A shared level which is not a
// multiple of a piece therefore loses its last, partial piece, for every policy alike.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/lists.h"

namespace kumquat {

// Bytes of prompt that are taken for one token.
inline constexpr std::int64_t kBytesPerToken = 4;

// Tokens in one piece of a prompt.
inline constexpr std::int64_t kPieceTokens = 2048;
inline constexpr std::int64_t kPieceBytes = kPieceTokens * kBytesPerToken;

// Identity of a piece with all that stands before it: 128 bits of a strong hash.
struct BlockId {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const BlockId&) const = default;

  // Returns 32 hexadecimal digits, as in EngineRequest::prefix and CacheEvent::block.
  std::string ToHex() const;
};

// Reads what ToHex() gives; nothing for other text.
std::optional<BlockId> ParseBlockId(std::string_view hex);

// Within what cached state may be shared: one organisation and one version of the weights.
struct CacheScope {
  std::string organisation;
  ModelVersion model;

  bool operator==(const CacheScope&) const = default;
};

// One message of a prompt.
struct PromptMessage {
  std::string_view role;
  std::string_view content;
};

// A prompt as placement sees it.
struct PromptPrefix {
  // One identity for each whole piece, from the first on.
  std::vector<BlockId> blocks;
  // Estimated length of the whole prompt.
  std::int64_t prompt_tokens = 0;
};

// Cuts the prompt into pieces and returns their identities. Messages that are equal up to the end
// of a piece give equal identities up to there.
PromptPrefix IdentifyPrefix(const CacheScope& scope, std::span<const PromptMessage> messages);

// Returns the identities in hexadecimal.
std::vector<std::string> ToHex(std::span<const BlockId> blocks);

}  // namespace kumquat

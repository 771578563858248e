// Identifies cached prompt state: computes the identities of the pieces of a prompt that an engine
// may have cached.
//
// A prompt is split into pieces of a fixed size, counted from its first byte, as engines split it.
// Cache events and the names below call a piece a block.
// The identity of a piece covers everything before it and the scope (organisation, model, adapter,
// weights version). So equal identities mean equal state, and no identity is valid in two scopes.
// It does not include the incarnation of an engine, which PrefixIndex tracks separately.
//
// Pieces don't end at the ends of messages: engines cache pieces of one fixed size only, so a
// router that split elsewhere would identify state that no engine has. If the prefix that several
// prompts share is not a multiple of the piece size, its last, partial piece is therefore never
// shared, whichever placement policy is used.
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

// Number of prompt bytes that are counted as one token.
inline constexpr std::int64_t kBytesPerToken = 4;

// Size of a piece of a prompt, in tokens and in bytes.
inline constexpr std::int64_t kPieceTokens = 2048;
inline constexpr std::int64_t kPieceBytes = kPieceTokens * kBytesPerToken;

// Identity of a piece and everything before it: 128 bits of a cryptographic hash.
struct BlockId {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const BlockId&) const = default;

  // Returns 32 lowercase hexadecimal digits, as in EngineRequest::prefix and CacheEvent::block.
  std::string ToHex() const;
};

// Parses the result of ToHex(). Returns nothing for any other text.
std::optional<BlockId> ParseBlockId(std::string_view hex);

// The scope in which cached state may be shared: one organisation and one version of the weights.
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

// The properties of a prompt that placement depends on.
struct PromptPrefix {
  // The identities of all whole pieces, in order.
  std::vector<BlockId> blocks;
  // Estimated length of the whole prompt, in tokens.
  std::int64_t prompt_tokens = 0;
};

// Splits the prompt into pieces and returns their identities. Prompts whose messages are equal up
// to the end of a piece have equal identities up to that piece.
PromptPrefix IdentifyPrefix(const CacheScope& scope, std::span<const PromptMessage> messages);

// Returns the identities as hexadecimal text, see BlockId::ToHex().
std::vector<std::string> ToHex(std::span<const BlockId> blocks);

}  // namespace kumquat

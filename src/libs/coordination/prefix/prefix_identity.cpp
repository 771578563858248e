#include "coordination/prefix/prefix_identity.h"

#include <fmt/format.h>

#include <QByteArray>
#include <QByteArrayView>
#include <QCryptographicHash>
#include <QtEndian>
#include <algorithm>
#include <charconv>
#include <string>

namespace kumquat {

namespace Internal {

using Hash = QCryptographicHash;

constexpr char kEscape = '\xff';
constexpr char kEscapedEscape = '\0';
constexpr char kFieldEnd = '\1';

// Appends the field, escaped, and a terminator that occurs in no escaped field, so that different
// lists of fields never give the same bytes. A length prefix would do that too, but it would give
// different identities to prompts whose first message, which contains all of the shared prefix,
// differs only at its end.
void AddField(std::string& bytes, std::string_view field) {
  for (auto at = field.find(kEscape); at != std::string_view::npos; at = field.find(kEscape)) {
    bytes.append(field.substr(0, at + 1));
    bytes.push_back(kEscapedEscape);
    field.remove_prefix(at + 1);
  }
  bytes.append(field);
  bytes.push_back(kEscape);
  bytes.push_back(kFieldEnd);
}

BlockId ToBlockId(const QByteArray& digest) {
  return BlockId{.high = qFromBigEndian<std::uint64_t>(digest.constData()),
                 .low = qFromBigEndian<std::uint64_t>(digest.constData() + sizeof(std::uint64_t))};
}

QByteArrayView View(std::string_view bytes) {
  return {bytes.data(), static_cast<qsizetype>(bytes.size())};
}

QByteArray ScopeDigest(const CacheScope& scope) {
  std::string bytes;
  AddField(bytes, scope.organisation);
  AddField(bytes, scope.model.model);
  AddField(bytes, scope.model.adapter);
  AddField(bytes, scope.model.version);
  return Hash::hash(View(bytes), Hash::Blake2b_256);
}

std::optional<std::uint64_t> ParseHex(std::string_view digits) {
  const bool is_lower_hex = std::all_of(digits.begin(), digits.end(), [](char digit) {
    return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
  });
  if (!is_lower_hex) return std::nullopt;
  std::uint64_t value = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
  return value;
}

}  // namespace Internal

std::string BlockId::ToHex() const { return fmt::format("{:016x}{:016x}", high, low); }

std::optional<BlockId> ParseBlockId(std::string_view hex) {
  constexpr std::size_t kHalfLength = 16;
  if (hex.size() != 2 * kHalfLength) return std::nullopt;
  const auto high = Internal::ParseHex(hex.substr(0, kHalfLength));
  const auto low = Internal::ParseHex(hex.substr(kHalfLength));
  if (!high || !low) return std::nullopt;
  return BlockId{.high = *high, .low = *low};
}

PromptPrefix IdentifyPrefix(const CacheScope& scope, std::span<const PromptMessage> messages) {
  std::string bytes;
  for (const PromptMessage& message : messages) {
    Internal::AddField(bytes, message.role);
    Internal::AddField(bytes, message.content);
  }
  PromptPrefix prefix;
  const auto size = static_cast<std::int64_t>(bytes.size());
  prefix.prompt_tokens = (size + kBytesPerToken - 1) / kBytesPerToken;
  QByteArray chain = Internal::ScopeDigest(scope);
  const std::string_view all = bytes;
  for (std::int64_t begin = 0; begin + kPieceBytes <= size; begin += kPieceBytes) {
    Internal::Hash hash(Internal::Hash::Blake2b_256);
    hash.addData(chain);
    hash.addData(Internal::View(all.substr(begin, kPieceBytes)));
    chain = hash.result();
    prefix.blocks.push_back(Internal::ToBlockId(chain));
  }
  return prefix;
}

std::vector<std::string> ToHex(std::span<const BlockId> blocks) {
  std::vector<std::string> texts;
  texts.reserve(blocks.size());
  for (const BlockId& block : blocks) texts.push_back(block.ToHex());
  return texts;
}

}  // namespace kumquat

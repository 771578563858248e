#include "coordination/prefix/prefix_identity.h"

#include <algorithm>
#include <string>
#include <vector>

#include "property.h"

namespace kumquat {
namespace {

using Contents = std::vector<std::string>;

const CacheScope kScope{.organisation = "a", .model = {"m", "", "1"}};

std::vector<BlockId> Blocks(const CacheScope& scope, const Contents& contents) {
  std::vector<PromptMessage> messages;
  messages.reserve(contents.size());
  for (const std::string& content : contents) messages.push_back({"user", content});
  return IdentifyPrefix(scope, messages).blocks;
}

// Generates message contents with bytes that are special in the encoding; a message that isn't
// empty fills at least one piece.
rc::Gen<Contents> ContentsGenerator() {
  const auto unit = rc::gen::container<std::string>(
      rc::gen::element('a', 'b', '\0', '\1', '\xff', 'u', 's', 'e', 'r'));
  const auto content = rc::gen::map(unit, [](const std::string& text) {
    std::string all;
    while (!text.empty() && all.size() < kPieceBytes) all += text;
    return all;
  });
  return rc::gen::container<Contents>(content);
}

TEST_CASE(
    "If two prompts share a piece identity, all earlier ones are equal too; prompts of different "
    "scopes share none") {
  CheckProperty("identities depend on all earlier pieces and the scope", [] {
    const Contents left = *ContentsGenerator();
    const Contents right = *ContentsGenerator();
    const auto left_blocks = Blocks(kScope, left);
    const auto right_blocks = Blocks(kScope, right);
    const std::size_t shared = std::min(left_blocks.size(), right_blocks.size());
    for (std::size_t at = 1; at < shared; ++at) {
      if (left_blocks[at] == right_blocks[at])
        RC_ASSERT(left_blocks[at - 1] == right_blocks[at - 1]);
    }
    CacheScope other = kScope;
    std::string* const field = *rc::gen::element(&other.organisation, &other.model.model,
                                                 &other.model.adapter, &other.model.version);
    *field += "x";
    for (const BlockId& block : Blocks(other, left)) {
      RC_ASSERT(std::find(left_blocks.begin(), left_blocks.end(), block) == left_blocks.end());
    }
  });
}

TEST_CASE("A prompt that is extended at its end keeps the identities of its earlier pieces") {
  CheckProperty("extending a prompt keeps its identities", [] {
    Contents contents = *rc::gen::nonEmpty(ContentsGenerator());
    const auto before = Blocks(kScope, contents);
    contents.back() += *rc::gen::arbitrary<std::string>();
    contents.push_back(*rc::gen::arbitrary<std::string>());
    const auto after = Blocks(kScope, contents);
    // The terminator of the last message moves, and the last piece may contain it.
    const std::size_t kept = before.empty() ? 0 : before.size() - 1;
    RC_ASSERT(std::equal(before.begin(), before.begin() + static_cast<std::ptrdiff_t>(kept),
                         after.begin()));
  });
}

TEST_CASE("Moving bytes to another message, even terminator bytes, changes the identities") {
  const std::string text(kPieceBytes, 'x');
  CHECK(Blocks(kScope, {text + "a", text}) != Blocks(kScope, {text, "a" + text}));
  CHECK(Blocks(kScope, {text + "\xff\x01", text}).back() !=
        Blocks(kScope, {text, text + "\xff\x01"}).back());
}

TEST_CASE("An identity is parsed back from its hexadecimal text, and other text is rejected") {
  CheckProperty("hexadecimal round trip", [](std::uint64_t high, std::uint64_t low) {
    const BlockId block{.high = high, .low = low};
    RC_ASSERT(ParseBlockId(block.ToHex()) == block);
  });
  CHECK(!ParseBlockId("00"));
  CHECK(!ParseBlockId(std::string(32, 'G')));
}

}  // namespace
}  // namespace kumquat

#include "index_messages.h"

#include <doctest/doctest.h>

namespace kumquat {
namespace {

TEST_CASE("Index messages survive their JSON form") {
  const BlockId a{1, 2};
  const BlockId b{3, 4};
  const NamedBlock named{a, b};
  CHECK(ParseNamedBlock(named.ToText()) == named);
  CHECK(!ParseNamedBlock(a.ToHex()));

  const auto lookup = ParseLookupMessage(ToJson(LookupMessage{7, {{a, b}, {b}}}));
  REQUIRE(lookup);
  CHECK(lookup->segments == std::vector<std::vector<BlockId>>{{a, b}, {b}});

  const std::vector<std::vector<EngineBelief>> beliefs = {{{"engine-1", 5, 2}}, {}};
  const auto answer = ParseLookupAnswer(ToJson(LookupAnswer{7, beliefs}));
  REQUIRE(answer);
  CHECK(answer->beliefs == beliefs);

  const auto note =
      ParseIndexNote(ToJson(IndexNote{IndexNoteKind::kCorrect, "engine-1", 5, {a}, 3, 1}));
  REQUIRE(note);
  CHECK(note->kind == IndexNoteKind::kCorrect);
  CHECK(note->believed_pieces == 3);

  CacheEventsMessage events{{"engine-1", 5, 2, 9, {{a, false}, {b, true}}}, false};
  const auto parsed = ParseCacheEventsMessage(ToJson(events));
  REQUIRE(parsed);
  CHECK(parsed->batch.changes == events.batch.changes);

  const std::vector<SentLoad> loads = {{"engine-1", 5, 100, 200}};
  CHECK(ParseSentLoads(ToJson(loads)) == loads);
}

}  // namespace
}  // namespace kumquat

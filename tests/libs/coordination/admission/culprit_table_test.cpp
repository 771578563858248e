// Tests CulpritTable: who is accused, what clears, and that tables of several processes agree.
#include "coordination/admission/culprit_table.h"

#include <fmt/format.h>

#include <set>
#include <string>
#include <vector>

#include "property.h"

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kNow = seconds(1000);

Suspect Request(const std::string& digest) { return {digest, kRequestDepth}; }

// Records that each of the suspects was lost with the crashes of these servers, a second apart.
void AddCrashes(CulpritTable& table, const std::vector<Suspect>& suspects, int first, int last) {
  for (int i = first; i <= last; ++i) {
    const Instant at = kNow + seconds(i);
    for (const Suspect& suspect : suspects) table.AddCrash(suspect, CrashId("s", i), at, at);
  }
}

TEST_CASE("A request lost with three crashes is accused, with the same crash thrice it isn't") {
  CulpritTable table;
  for (int i = 0; i < 3; ++i) table.AddCrash(Request("r"), CrashId("s1", 1), kNow, kNow);
  CHECK_FALSE(table.IsAccused("r"));
  CHECK(table.AddCrash(Request("r"), CrashId("s1", 2), kNow + seconds(1), kNow + seconds(1)));
  CHECK_FALSE(table.IsAccused("r"));
  CHECK(table.AddCrash(Request("r"), CrashId("s2", 1), kNow + seconds(2), kNow + seconds(2)));
  CHECK(table.IsAccused("r"));
  CHECK_FALSE(table.IsAccused("other"));
}

TEST_CASE("A request that a server survived is cleared; older crashes that are heard of late too") {
  CulpritTable table;
  AddCrashes(table, {Request("r")}, 0, 2);
  REQUIRE(table.IsAccused("r"));
  CHECK(table.Clear("r", kNow + seconds(5)));
  CHECK_FALSE(table.IsAccused("r"));
  CHECK_FALSE(table.Clear("r", kNow + seconds(5)));
  for (int i = 3; i < 6; ++i) {
    CHECK_FALSE(table.AddCrash(Request("r"), CrashId("s", i), kNow, kNow + seconds(6)));
  }
  CHECK_FALSE(table.IsAccused("r"));
  AddCrashes(table, {Request("r")}, 6, 8);
  CHECK(table.IsAccused("r"));
}

TEST_CASE("Entries expire, and a full table keeps the suspects with the most crashes") {
  CulpritTable table({.max_entries = 10, .max_age = seconds(60)});
  AddCrashes(table, {Request("culprit")}, 0, 2);
  for (int i = 0; i < 100; ++i)
    table.AddCrash(Request(std::to_string(i)), CrashId("s", 0), kNow, kNow);
  CHECK(table.size() == 10);
  CHECK(table.IsAccused("culprit"));
  AddCrashes(table, {Request("culprit")}, 0, 999);
  CHECK(table.EntryOf("culprit", kNow)->crashes.size() <= 16);
  table.Expire(kNow + seconds(999 + 59));
  CHECK(table.IsAccused("culprit"));
  table.Expire(kNow + seconds(999 + 60));
  CHECK_FALSE(table.IsAccused("culprit"));
  CHECK(table.size() == 0);
}

TEST_CASE("An accused suspect gets another chance after a minute, then after two, then four") {
  CulpritTable table;
  AddCrashes(table, {Request("r")}, 0, 2);
  Instant last_crash = kNow + seconds(2);
  for (const int minutes : {1, 2, 4}) {
    const Instant parole = last_crash + std::chrono::minutes(minutes);
    table.Expire(parole - seconds(1));
    CHECK(table.IsAccused("r"));
    table.Expire(parole);
    CHECK_FALSE(table.IsAccused("r"));
    last_crash = parole + seconds(1);
    table.AddCrash(Request("r"), CrashId("later", minutes), last_crash, last_crash);
    CHECK(table.IsAccused("r"));
  }
  // An innocent one is cleared by its first answer.
  const Instant answered = last_crash + std::chrono::minutes(8);
  table.Expire(answered);
  CHECK(table.Clear("r", answered));
  const Instant now = answered + seconds(1);
  table.AddCrash(Request("r"), CrashId("last", 1), now, now);
  CHECK_FALSE(table.IsAccused("r"));
}

TEST_CASE(
    "A message that clears an accused request and tells of a later crash leaves it a suspect") {
  CulpritTable table;
  AddCrashes(table, {Request("r")}, 0, 2);
  const Instant now = kNow + seconds(20);
  const SuspectEntry message{Request("r"), {{CrashId("s", 9), seconds(5)}}, seconds(10)};
  CHECK(table.Merge(message, now));
  CHECK_FALSE(table.IsAccused("r"));
  CHECK(table.EntryOf("r", now)->crashes.size() == 1);
}

TEST_CASE("A part of prompts is accused after four crashes, whatever requests it comes with") {
  CulpritTable table;
  const Suspect part{"part", 1};
  for (int i = 0; i < 4; ++i) {
    CHECK_FALSE(table.IsAccused("part"));
    AddCrashes(table, {part, Request(fmt::format("q{}", i))}, i, i);
  }
  CHECK(table.IsAccused("part"));
  CHECK_FALSE(table.IsAccused("q0"));
}

TEST_CASE("Of parts that were lost together the deepest is accused, or the one lost more often") {
  const Suspect preamble{"preamble", 0};
  const Suspect book{"book", 1};
  const Suspect history{"history", 2};
  CulpritTable deepest;
  AddCrashes(deepest, {preamble, book, history}, 0, 4);
  CHECK(deepest.accused() == std::set<std::string>{"history"});
  CulpritTable more_often;
  AddCrashes(more_often, {preamble, book, history}, 0, 2);
  AddCrashes(more_often, {preamble, book, {"another history", 2}}, 3, 4);
  CHECK(more_often.accused() == std::set<std::string>{"book"});
  // What has been cleared doesn't count, however often it was lost before.
  CulpritTable cleared;
  AddCrashes(cleared, {preamble, book}, 0, 4);
  CHECK(cleared.Clear("book", kNow + seconds(1)));
  CHECK(cleared.accused() == std::set<std::string>{"preamble"});
}

TEST_CASE("Two culprits with crashes of their own are both accused") {
  CulpritTable table;
  AddCrashes(table, {{"preamble", 0}, {"one", 1}}, 0, 3);
  CHECK(table.Clear("preamble", kNow));
  AddCrashes(table, {{"two", 1}}, 10, 14);
  AddCrashes(table, {Request("three")}, 20, 22);
  CHECK(table.accused() == std::set<std::string>{"one", "three", "two"});
}

TEST_CASE("A second culprit that was lost with the same crash doesn't undo the first accusation") {
  CulpritTable table;
  AddCrashes(table, {{"one", 1}}, 0, 3);
  AddCrashes(table, {Request("two")}, 3, 6);
  CHECK(table.accused() == std::set<std::string>{"one", "two"});
  // Neither does one with many more crashes.
  AddCrashes(table, {Request("three")}, 2, 12);
  CHECK(table.IsAccused("one"));
}

// Guards against a deadly request that is sent on while a sound part, which was lost in its crashes
// too, is accused of them.
TEST_CASE("A request with enough crashes is accused whatever else explains them") {
  CulpritTable table;
  AddCrashes(table, {{"popular", 0}}, 0, 3);
  AddCrashes(table, {{"popular", 0}, Request("deadly")}, 4, 6);
  CHECK(table.accused() == std::set<std::string>{"deadly", "popular"});
}

TEST_CASE("A part that goes on crashing engines is accused in place of a deeper one") {
  CulpritTable table;
  AddCrashes(table, {{"book", 1}, {"history", 2}}, 0, 3);
  REQUIRE(table.accused() == std::set<std::string>{"history"});
  AddCrashes(table, {{"book", 1}, {"another history", 2}}, 4, 4);
  CHECK(table.accused() == std::set<std::string>{"book"});
}

TEST_CASE("An unrelated crash before doesn't blame the part that a deadly request comes with") {
  CulpritTable table;
  AddCrashes(table, {{"book", 1}}, 0, 0);
  AddCrashes(table, {{"book", 1}, Request("deadly")}, 1, 3);
  CHECK(table.accused() == std::set<std::string>{"deadly"});
  // One more of its runs had begun before the accusation.
  AddCrashes(table, {{"book", 1}, Request("deadly")}, 4, 4);
  CHECK(table.accused() == std::set<std::string>{"deadly"});
}

// Guards against crashes that don't count as they lie close together: a client that repeats a
// deadly request at once crashes servers as fast as a loss of power does.
TEST_CASE("Crashes accuse however close together they are, until an answer clears") {
  for (const Suspect& suspect : {Suspect{"preamble", 0}, Request("r")}) {
    for (const Duration gap : {Duration(0), Duration(milliseconds(10)), Duration(seconds(1))}) {
      CulpritTable table;
      for (int server = 0; server < 4; ++server) {
        const Instant at = kNow + gap * server;
        table.AddCrash(suspect, CrashId("s", server), at, at);
      }
      CHECK(table.IsAccused(suspect.digest));
      CHECK(table.Clear(suspect.digest, kNow + gap * 4));
      CHECK(table.accused().empty());
    }
  }
}

TEST_CASE("A request that runs on two servers at once is accused after crashes of both") {
  CulpritTable table;
  for (int i = 0; i < 3; ++i) {
    const Instant at = kNow + milliseconds(400) * (i / 2) + milliseconds(50) * i;
    table.AddCrash(Request("r"), CrashId("s", i), at, at);
  }
  CHECK(table.IsAccused("r"));
}

TEST_CASE("A clearing that comes back by another process doesn't clear later crashes") {
  CulpritTable table;
  table.AddCrash(Request("r"), CrashId("s", 0), kNow, kNow);
  table.Clear("r", kNow);
  const SuspectEntry echo = *table.EntryOf("r", kNow);
  table.AddCrash(Request("r"), CrashId("s", 1), kNow + milliseconds(5), kNow + milliseconds(5));
  CHECK_FALSE(table.Merge(echo, kNow + milliseconds(40)));
  CHECK(table.EntryOf("r", kNow)->crashes.size() == 1);
}

// Guards against one crash that counts twice because two processes number it differently.
TEST_CASE("Further crashes of an incarnation count for runs that were sent after the ones before") {
  CulpritTable one;
  CulpritTable two;
  const auto lose = [](CulpritTable& table, const std::string& digest, int sent, int lost) {
    const auto crash = table.CrashSince(digest, "s", 1, kNow + seconds(sent));
    table.AddCrash(Request(digest), crash, kNow + seconds(lost), kNow + seconds(lost));
    return table.EntryOf(digest, kNow + seconds(lost))->crashes.size();
  };
  CHECK(lose(one, "r", 0, 1) == 1);
  // Sent before the crash was known: lost with the same.
  CHECK(lose(one, "r", 1, 2) == 1);
  CHECK(lose(one, "r", 2, 3) == 2);
  // The other process saw the second crash only, and the first process saw it with another request.
  CHECK(lose(two, "r", 2, 3) == 1);
  CHECK(lose(two, "q", 2, 3) == 1);
  CHECK(lose(one, "q", 2, 3) == 1);
  for (const std::string digest : {"r", "q"}) {
    two.Merge(*one.EntryOf(digest, kNow + seconds(3)), kNow + seconds(4));
    one.Merge(*two.EntryOf(digest, kNow + seconds(4)), kNow + seconds(4));
    const std::size_t happened = digest == "r" ? 2 : 1;
    CHECK(one.EntryOf(digest, kNow)->crashes.size() == happened);
    CHECK(two.EntryOf(digest, kNow)->crashes.size() == happened);
  }
  // What was merged counts as known from then on.
  CHECK(lose(two, "r", 3, 5) == 2);
  CHECK_FALSE(two.IsAccused("r"));
  CHECK(lose(two, "r", 5, 6) == 3);
  CHECK(two.IsAccused("r"));
  // A clearing starts the count again.
  two.Clear("r", kNow + seconds(7));
  CHECK(lose(two, "r", 7, 8) == 1);
}

TEST_CASE("Tables that merge the same entries in any order accuse the same requests") {
  CheckProperty("any order", [] {
    CulpritTable source;
    std::vector<SuspectEntry> entries;
    Instant now = kNow;
    for (int i = 0; i < 30; ++i) {
      // Events lie further apart than the tolerance for the time of one clearing.
      now += milliseconds(300);
      const std::string digest = std::to_string(*rc::gen::inRange(0, 4));
      if (*rc::gen::inRange(0, 6) == 0) {
        source.Clear(digest, now);
      } else {
        source.AddCrash(Request(digest), CrashId("s", *rc::gen::inRange(0, 8)), now, now);
      }
      const auto entry = source.EntryOf(digest, now);
      if (!entry) continue;
      // Ages count from the moment of the merge below.
      SuspectEntry aged = *entry;
      for (CrashSighting& sighting : aged.crashes) sighting.age += kNow + seconds(20) - now;
      if (aged.cleared_age) *aged.cleared_age += kNow + seconds(20) - now;
      entries.push_back(aged);
    }
    CulpritTable merged;
    const auto order = *rc::gen::container<std::vector<std::size_t>>(
        60, rc::gen::inRange<std::size_t>(0, entries.size()));
    for (const std::size_t i : order) merged.Merge(entries[i], kNow + seconds(20));
    for (const SuspectEntry& entry : entries) merged.Merge(entry, kNow + seconds(20));
    RC_ASSERT(merged.accused() == source.accused());
    RC_ASSERT(merged.AccusedHash() == source.AccusedHash());
  });
}

}  // namespace
}  // namespace kumquat

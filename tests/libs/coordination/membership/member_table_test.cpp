#include "coordination/membership/member_table.h"

#include <algorithm>
#include <random>

#include "property.h"

namespace kumquat {
namespace {

// Generates records of two members with few distinct values, so that equal incarnations and
// sequences are frequent.
rc::Gen<MemberRecord> GenRecord() {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(0, 2), rc::gen::inRange(1, 4), rc::gen::inRange(0, 5),
                     rc::gen::inRange(0, 8), rc::gen::inRange(0, 3)),
      [](const std::tuple<int, int, int, int, int>& values) {
        const auto [member, incarnation, sequence, state, load] = values;
        MemberRecord record;
        record.id = "engine-" + std::to_string(member);
        record.incarnation = incarnation;
        record.sequence = sequence;
        record.down = (state & 1) != 0;
        record.leaving = (state & 2) != 0;
        record.is_silent = record.down && (state & 4) != 0;
        Announcement announcement;
        announcement.backend_id = record.id;
        announcement.load.running_requests = load;
        record.backend = announcement;
        return record;
      });
}

struct ExpectedMember {
  std::int64_t incarnation = 0;
  bool leaving = false;
  std::int64_t newest_serving = -1;
  std::int64_t newest_down = -1;
};

// Returns the state expected after all records were merged in any order.
ExpectedMember ExpectedAfterMerge(const std::vector<MemberRecord>& records, const std::string& id) {
  ExpectedMember expected;
  for (const MemberRecord& record : records) {
    if (record.id == id) expected.incarnation = std::max(expected.incarnation, record.incarnation);
  }
  for (const MemberRecord& record : records) {
    if (record.id != id || record.incarnation != expected.incarnation) continue;
    expected.leaving = expected.leaving || record.leaving;
    auto& newest = record.down ? expected.newest_down : expected.newest_serving;
    newest = std::max(newest, record.sequence);
  }
  return expected;
}

TEST_CASE(
    "Records merge to the same table in any order, and older ones never clear down or leaving") {
  CheckProperty("records merged in any order give the same table", [] {
    auto records = *rc::gen::container<std::vector<MemberRecord>>(GenRecord());
    MemberTable table;
    for (const MemberRecord& record : records) table.Merge(record, Instant(0));

    std::mt19937_64 shuffle(*rc::gen::arbitrary<std::uint64_t>());
    std::shuffle(records.begin(), records.end(), shuffle);
    MemberTable shuffled;
    for (const MemberRecord& record : records) shuffled.Merge(record, Instant(0));
    // Merging the same record again changes nothing.
    for (const MemberRecord& record : records) {
      RC_ASSERT(shuffled.Merge(record, Instant(0)) != MergeOutcome::kChanged);
    }

    RC_ASSERT(table.size() == shuffled.size());
    shuffled.ForEach([&](const Member& member) {
      const ExpectedMember expected = ExpectedAfterMerge(records, member.record.id);
      RC_ASSERT(member.record.incarnation == expected.incarnation);
      RC_ASSERT(member.record.leaving == expected.leaving);
      RC_ASSERT(member.record.down == (expected.newest_down >= expected.newest_serving));
    });
    table.ForEach([&](const Member& member) {
      const Member* other = shuffled.Find(member.record.id);
      RC_ASSERT(other->record.leaving == member.record.leaving);
      RC_ASSERT(other->record.down == member.record.down);
      RC_ASSERT(other->record.sequence == member.record.sequence);
    });
    RC_ASSERT(table.digest() == shuffled.digest());
  });
}

MemberRecord RecordOfEngine(BackendState state) {
  Announcement announcement;
  announcement.backend_id = "engine-1";
  announcement.state = state;
  return RecordOf(announcement);
}

// Regression test, found by membership_test with seed=11: tables with the same knowledge had
// different digests, because learning later that a member is leaving changed its record but not the
// announcement in the record.
TEST_CASE("The digest is the same whether leaving was learned at once or later") {
  MemberTable leaving_later;
  leaving_later.Merge(RecordOfEngine(BackendState::kServing), Instant(0));
  leaving_later.Merge(RecordOfEngine(BackendState::kLeaving), Instant(0));
  MemberTable leaving_at_once;
  leaving_at_once.Merge(RecordOfEngine(BackendState::kLeaving), Instant(0));
  CHECK(leaving_later.digest() == leaving_at_once.digest());
}

TEST_CASE("Proven down takes precedence over silent in either order of merging") {
  MemberRecord silent = RecordOfEngine(BackendState::kServing);
  silent.down = true;
  silent.is_silent = true;
  MemberRecord proven = silent;
  proven.is_silent = false;
  MemberTable silent_first;
  silent_first.Merge(silent, Instant(0));
  CHECK(silent_first.Merge(proven, Instant(0)) == MergeOutcome::kChanged);
  MemberTable proven_first;
  proven_first.Merge(proven, Instant(0));
  CHECK(proven_first.Merge(silent, Instant(0)) == MergeOutcome::kStale);
  CHECK(silent_first.digest() == proven_first.digest());
}

TEST_CASE("A failed connection marks only the incarnation it was made to as down") {
  MemberTable table;
  MemberRecord record;
  record.id = "router-1";
  record.incarnation = 2;
  table.Merge(record, Instant(0));
  CHECK(!table.ConnectionFailed("router-1", 1, false, Instant(0)));
  CHECK(table.LiveRouters() == std::vector<std::string>{"router-1"});
  CHECK(table.ConnectionFailed("router-1", 2, false, Instant(0)));
  CHECK(table.LiveRouters().empty());

  record.sequence = 1;
  CHECK(table.Merge(record, Instant(1)) == MergeOutcome::kChanged);
  CHECK(table.LiveRouters().size() == 1);
}

}  // namespace
}  // namespace kumquat

#include "coordination/forwarding/stream_origins.h"

#include <doctest/doctest.h>

namespace kumquat {
namespace {

using std::chrono::milliseconds;

const StreamOrigin kOld{"lm", "v1"};
const StreamOrigin kNew{"lm", "v2"};

TEST_CASE("A stream has its origin for as long as it may be taken up") {
  StreamOrigins origins;
  origins.Add({StreamKey("a", "1"), kOld, milliseconds(500)}, Instant(0));
  CHECK(origins.Find(StreamKey("a", "1"), milliseconds(499)) == kOld);
  CHECK_FALSE(origins.Find(StreamKey("a", "1"), milliseconds(500)));
  CHECK_FALSE(origins.Find(StreamKey("a", "2"), Instant(0)));
  origins.Expire(milliseconds(500));
  CHECK(origins.size() == 0);
}

TEST_CASE("Going on with a stream extends the life of its record, and never shortens it") {
  StreamOrigins origins;
  origins.Add({StreamKey("a", "1"), kOld, milliseconds(500)}, Instant(0));
  origins.Add({StreamKey("a", "1"), kOld, milliseconds(500)}, milliseconds(300));
  origins.Add({StreamKey("a", "1"), kOld, milliseconds(1)}, milliseconds(400));
  origins.Expire(milliseconds(600));
  CHECK(origins.Find(StreamKey("a", "1"), milliseconds(799)) == kOld);
  CHECK_FALSE(origins.Find(StreamKey("a", "1"), milliseconds(800)));
}

TEST_CASE("An id that was used for streams of two versions has no origin") {
  StreamOrigins origins;
  origins.Add({StreamKey("a", "1"), kOld, milliseconds(500)}, Instant(0));
  origins.Add({StreamKey("a", "1"), kNew, milliseconds(500)}, Instant(0));
  origins.Add({StreamKey("a", "1"), kOld, milliseconds(500)}, Instant(0));
  CHECK_FALSE(origins.Find(StreamKey("a", "1"), Instant(0)));
  CHECK(origins.Records(Instant(0)).empty());
}

TEST_CASE("Organisations that choose the same ids don't meet") {
  CHECK(StreamKey("a", "1") != StreamKey("b", "1"));
  CHECK(StreamKey("a1", "2") != StreamKey("a", "12"));
  CHECK(StreamKey("a", "1").size() == kStreamKeyBytes);
}

TEST_CASE("The number of records is bounded, and those that end first go") {
  StreamOrigins origins(2);
  origins.Add({StreamKey("a", "1"), kOld, milliseconds(900)}, Instant(0));
  origins.Add({StreamKey("a", "2"), kOld, milliseconds(100)}, Instant(0));
  origins.Add({StreamKey("a", "3"), kOld, milliseconds(500)}, Instant(0));
  CHECK(origins.size() == 2);
  CHECK_FALSE(origins.Find(StreamKey("a", "2"), Instant(0)));
  CHECK(origins.Find(StreamKey("a", "3"), Instant(0)) == kOld);
}

TEST_CASE("Records that are told on keep what is left of their lives, ten minutes at most") {
  StreamOrigins origins;
  origins.Add({StreamKey("a", "1"), kOld, milliseconds(500)}, Instant(0));
  const StreamRecord rest{StreamKey("a", "1"), kOld, milliseconds(300)};
  CHECK(origins.Records(milliseconds(200)) == std::vector{rest});
  origins.Add({StreamKey("a", "2"), kOld, std::chrono::hours(1000)}, Instant(0));
  CHECK_FALSE(origins.Find(StreamKey("a", "2"), std::chrono::minutes(10)));
}

}  // namespace
}  // namespace kumquat

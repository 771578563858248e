#include "coordination/forwarding/run_move.h"

#include <doctest/doctest.h>

#include <chrono>
#include <optional>
#include <string>

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using Kind = MoveStep::Kind;

const BackendChoice kSource{"source", 1};
const BackendChoice kTarget{"target", 1};
const Endpoint kSourceEndpoint{"10.0.0.1", 1};
constexpr Instant kNow = std::chrono::seconds(100);
constexpr Instant kOpen = kNow + milliseconds(350);
const MoveAnswer kCopied{true, "h1", true};
const MoveAnswer kNoAnswer{};
const MoveAnswer kRefused{true, "", false};

// A move whose copy has arrived at the target.
RunMove CopiedMove() {
  RunMove move(kSource, kSourceEndpoint);
  REQUIRE(move.MayBegin(kOpen, kNow));
  REQUIRE(move.Begin(kTarget, kNow).kind == Kind::kCopy);
  REQUIRE(move.OnAnswer(kCopied, kNow).kind == Kind::kNone);
  return move;
}

RunMove StoppingMove() {
  RunMove move = CopiedMove();
  REQUIRE(move.MayStop(kOpen, kNow));
  REQUIRE(move.Stop().kind == Kind::kStop);
  return move;
}

void CheckResumes(const MoveStep& step, const BackendChoice& at, const std::string& handle) {
  REQUIRE(step.kind == Kind::kResume);
  REQUIRE(step.copy);
  CHECK(step.copy->backend == at);
  CHECK(step.copy->holder == kSourceEndpoint);
  CHECK(step.copy->handle == handle);
}

TEST_CASE("A run is copied while it goes on, then stopped, and goes on at the target") {
  RunMove move = StoppingMove();
  CHECK(move.is_stopping());
  CHECK(move.OnStreamFailed().kind == Kind::kNone);
  CheckResumes(move.OnAnswer({true, "h2", true}, kNow), kTarget, "h2");
  CHECK_FALSE(move.TakeUnusedHandle());
}

// Guards against streams that were cut as their engine or the target had an order by then.
TEST_CASE("A run isn't stopped once an engine may get an order before the run goes on") {
  RunMove late(kSource, kSourceEndpoint);
  CHECK_FALSE(late.MayBegin(kNow, kNow));
  CHECK_FALSE(late.MayBegin(Instant(0), kNow));
  CHECK_FALSE(late.MayBegin(kNow + milliseconds(100), kNow));

  RunMove move = CopiedMove();
  CHECK_FALSE(move.MayStop(kOpen, kOpen - milliseconds(100)));
  CHECK(move.TakeUnusedHandle() == "h1");
  CHECK_FALSE(move.TakeUnusedHandle());
  // The stream's own failure is handled as any other.
  CHECK(move.OnStreamFailed().kind == Kind::kFail);
}

TEST_CASE("A target that doesn't take the copy leaves the run as it is, and isn't asked again") {
  for (const MoveAnswer& answer : {kNoAnswer, kRefused, MoveAnswer{true, "h1", false}}) {
    RunMove move(kSource, kSourceEndpoint);
    move.Begin(kTarget, kNow);
    CHECK(move.OnAnswer(answer, kNow).kind == Kind::kNone);
    REQUIRE(move.refused().size() == 1);
    CHECK(move.refused()[0] == kTarget);
    CHECK(move.MayBegin(kOpen, kNow));
    CHECK_FALSE(move.MayStop(kOpen, kNow));
  }
}

TEST_CASE("A run that stopped while the rest didn't reach the target goes on at its source") {
  RunMove move = StoppingMove();
  CheckResumes(move.OnAnswer({true, "h2", false}, kNow), kSource, "h2");
}

TEST_CASE("A stop without an answer resumes the run from the copy, as soon as its stream ends") {
  RunMove before = StoppingMove();
  CHECK(before.OnStreamFailed().kind == Kind::kNone);
  CheckResumes(before.OnAnswer(kNoAnswer, kNow), kTarget, "h1");

  RunMove after = StoppingMove();
  CHECK(after.OnAnswer(kNoAnswer, kNow).kind == Kind::kNone);
  CHECK(after.is_under_way());
  CHECK_FALSE(after.MayBegin(kOpen, kNow));
  CheckResumes(after.OnStreamFailed(), kTarget, "h1");
}

// Guards against a copy that was freed while the stop could still take effect.
TEST_CASE("After a stop without an answer the copy is kept until the run has ended") {
  RunMove move = StoppingMove();
  CHECK(move.OnAnswer(kNoAnswer, kNow).kind == Kind::kNone);
  CHECK_FALSE(move.TakeUnusedHandle());
  CHECK(move.End() == "h1");
  CHECK_FALSE(move.End());
}

TEST_CASE("A run isn't stopped where a second copy as slow as the first might come too late") {
  RunMove move(kSource, kSourceEndpoint);
  move.Begin(kTarget, kNow);
  const Instant copied_at = kNow + milliseconds(120);
  move.OnAnswer(kCopied, copied_at);
  CHECK_FALSE(move.MayStop(kOpen, copied_at));
  CHECK(move.TakeUnusedHandle() == "h1");
}

TEST_CASE("A copy whose target may refuse the run by now is given up") {
  RunMove move = CopiedMove();
  move.GiveUpCopy();
  CHECK(move.TakeUnusedHandle() == "h1");
  CHECK_FALSE(move.MayStop(kOpen, kNow));
  CHECK(move.MayBegin(kOpen, kNow));
}

TEST_CASE(
    "A stop that is refused leaves the run as it is; if the stream has failed, it has failed") {
  RunMove going = StoppingMove();
  CHECK(going.OnAnswer(kRefused, kNow).kind == Kind::kNone);
  CHECK(going.TakeUnusedHandle() == "h1");
  CHECK_FALSE(going.is_under_way());

  RunMove failed = StoppingMove();
  CHECK(failed.OnStreamFailed().kind == Kind::kNone);
  CHECK(failed.OnAnswer(kRefused, kNow).kind == Kind::kFail);
}

TEST_CASE("A stream that fails while it is only copied has failed, and its copy is freed") {
  RunMove move = CopiedMove();
  CHECK(move.OnStreamFailed().kind == Kind::kFail);
  CHECK(move.End() == "h1");
}

}  // namespace
}  // namespace kumquat

#include "model_queues.h"

#include <doctest/doctest.h>

namespace kumquat {
namespace {

const ModelVersion kModel{"seat-spec", "", "v1"};

struct Waiting {
  int turns = 0;
  int refusals = 0;

  ModelQueues::Hooks Hooks() {
    return {[this] { ++turns; }, [this](const Error& /*refusal*/) { ++refusals; }};
  }
};

TEST_CASE("A request runs at once, waits for its turn, or is refused when it can't start in time") {
  bool has_room = true;
  Instant now = std::chrono::seconds(1);
  ModelQueues queues(
      {}, [&](const ModelVersion&) { return has_room; }, [&] { return now; });
  QueuedRequest request;
  request.organisation = "workshop";
  request.start_by = std::chrono::seconds(3);

  Waiting at_once;
  queues.Enter(kModel, request, at_once.Hooks());
  CHECK(at_once.turns == 1);

  has_room = false;
  Waiting waits;
  Waiting gone;
  Waiting late;
  queues.Enter(kModel, request, waits.Hooks());
  const auto gone_id = queues.Enter(kModel, request, gone.Hooks());
  queues.Enter(kModel, request, late.Hooks());
  queues.Remove(kModel, gone_id);
  CHECK(queues.waiting() == 2);

  // Places come free.
  has_room = true;
  queues.Drain();
  CHECK(waits.turns == 1);
  CHECK(gone.turns + gone.refusals == 0);
  CHECK(late.turns == 1);

  has_room = false;
  Waiting expired;
  queues.Enter(kModel, request, expired.Hooks());
  now = std::chrono::seconds(4);
  queues.Drain();
  CHECK(expired.refusals == 1);
  CHECK(queues.waiting() == 0);
}

}  // namespace
}  // namespace kumquat

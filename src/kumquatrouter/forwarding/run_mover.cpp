#include "forwarding/run_mover.h"

#include <algorithm>
#include <utility>

#include "utils/durations.h"
#include "utils/log.h"

namespace kumquat {
namespace {

// Within one region a connection is established within milliseconds.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(250);
// Copying a run normally takes milliseconds.
constexpr Duration kMoveTimeout = std::chrono::milliseconds(1000);
// From the decision to resume a run until its engine has got it.
constexpr Duration kTimeToResume = std::chrono::milliseconds(30);
constexpr GatherLimits kMoveLimits{kConnectTimeout + kMoveTimeout, 64 * 1024};

}  // namespace

RunMover::RunMover(ForwardServices& services, BackendChoice source, Endpoint endpoint,
                   std::string request_id, RunMoverHooks hooks)
    : services_(services),
      source_(source),
      endpoint_(endpoint),
      request_id_(std::move(request_id)),
      hooks_(std::move(hooks)),
      move_(std::move(source), std::move(endpoint)) {}

RunMover::~RunMover() { Free(move_.End()); }

// The target has to be free of orders until the run goes on, and so has this router of its end.
Instant RunMover::closes_at() const {
  const Instant closes_at = services_.move_window.closes_at();
  return services_.drain ? std::min(closes_at, services_.drain->answers_due()) : closes_at;
}

bool RunMover::IsTargetReady() const {
  const PooledBackend* target = services_.pool.Find(move_.target());
  return target && !target->is_leaving && target->is_usable(services_.clock());
}

void RunMover::Advance() {
  if (call_) return;
  const Instant now = services_.clock();
  if (move_.MayBegin(closes_at(), now)) {
    const auto target = hooks_.choose_target(move_.refused());
    // A copy is of use only if the run can be stopped afterwards.
    if (target && hooks_.reserve_repeats()) Call(move_.Begin(*target, now));
    return;
  }
  if (!IsTargetReady()) move_.GiveUpCopy();
  if (move_.MayStop(closes_at(), now)) return Call(move_.Stop());
  GiveUpUnlessStopped();
}

// Frees the copy and returns the repeats of a move that has been given up.
void RunMover::GiveUpUnlessStopped() {
  const auto given_up = move_.TakeUnusedHandle();
  if (!move_.is_under_way()) hooks_.return_repeats();
  Free(given_up);
}

void RunMover::Call(const MoveStep& step) {
  const PooledBackend* target = services_.pool.Find(step.target);
  // A target that has gone meanwhile refuses, as any other address does.
  const Endpoint to = target ? target->endpoint : Endpoint{};
  const bool stops_run = step.kind == MoveStep::Kind::kStop;
  BackendCallRequest call =
      services_.codec.encode_move({source_, endpoint_, to, request_id_, stops_run});
  // A run that has stopped goes on from its first copy if the answer doesn't come in time: the
  // target takes it only while the window is open.
  const Duration timeout =
      stops_run ? std::min(kMoveTimeout, closes_at() - services_.clock() - kTimeToResume)
                : kMoveTimeout;
  call.timeouts = {kConnectTimeout, timeout, timeout};
  const auto on_answer = [this](int status, std::string_view body) {
    OnAnswer(services_.codec.decode_move(status, body));
  };
  const GatherLimits limits{stops_run ? timeout : kMoveLimits.time, kMoveLimits.body_bytes};
  call_ = StartGathered(*services_.client, std::move(call), limits, on_answer);
}

void RunMover::OnAnswer(const MoveAnswer& answer) {
  DestroyLater(std::move(call_));
  const bool was_stopping = move_.is_stopping();
  Log(was_stopping ? "stop" : "copy", answer);
  const MoveStep step = move_.OnAnswer(answer, services_.clock());
  if (step.kind != MoveStep::Kind::kNone) return Perform(step);
  // The window is short, so the run is stopped as soon as its copy is complete.
  if (!was_stopping) return Advance();
  GiveUpUnlessStopped();
}

bool RunMover::HoldsFailure() {
  const bool was_stopping = move_.is_stopping();
  const MoveStep step = move_.OnStreamFailed();
  if (step.kind == MoveStep::Kind::kFail) return false;
  if (!was_stopping) Perform(step);
  return true;
}

// Either hook destroys this object.
void RunMover::Perform(const MoveStep& step) {
  if (step.kind == MoveStep::Kind::kResume) {
    const auto resume = hooks_.resume;
    resume(*step.copy);
  } else if (step.kind == MoveStep::Kind::kFail) {
    hooks_.return_repeats();
    const auto fail = hooks_.fail;
    fail();
  }
}

void RunMover::Free(const std::optional<std::string>& handle) {
  if (!handle) return;
  BackendCallRequest call = services_.codec.encode_free_copy({source_, endpoint_, *handle});
  call.timeouts = {kConnectTimeout, kMoveTimeout, kMoveTimeout};
  // The copy would be freed some seconds later anyway, so the answer doesn't matter. The call owns
  // itself, as it outlives the attempt.
  const auto owner = std::make_shared<std::unique_ptr<BackendCall>>();
  *owner = StartGathered(
      *services_.client, std::move(call), kMoveLimits,
      [owner](int /*status*/, std::string_view /*body*/) { DestroyLater(std::move(*owner)); });
}

void RunMover::Log(std::string_view step, const MoveAnswer& answer) const {
  LogEvent(LogLevel::kInfo, "run_moved",
           {{"request", request_id_},
            {"step", step},
            {"from", source_.backend_id},
            {"to", move_.target().backend_id},
            {"handle", answer.handle},
            {"answered", answer.is_answered ? "yes" : "no"},
            {"arrived", answer.has_arrived ? "yes" : "no"},
            {"window_ms", Milliseconds(closes_at() - services_.clock())}});
}

}  // namespace kumquat

#include "coordination/forwarding/run_move.h"

#include <algorithm>
#include <utility>

namespace kumquat {
namespace {

// From the call that stops a run until its next engine has taken it: two round trips, and the turns
// of a loop that has other runs to move.
constexpr Duration kStopTime = std::chrono::milliseconds(120);
// The same as a multiple of the time that the copy took: moves of other runs wait on the same link.
constexpr int kCopyTimesToStop = 2;
// From the call that copies the run to its answer.
constexpr Duration kCopyTime = std::chrono::milliseconds(40);

}  // namespace

RunMove::RunMove(BackendChoice source, Endpoint endpoint)
    : source_(std::move(source)), endpoint_(std::move(endpoint)) {}

bool RunMove::MayBegin(Instant closes_at, Instant now) const {
  return state_ == State::kIdle && now + kCopyTime + kStopTime <= closes_at;
}

MoveStep RunMove::Begin(const BackendChoice& target, Instant now) {
  state_ = State::kCopying;
  copied_from_ = now;
  target_ = target;
  return {MoveStep::Kind::kCopy, target_, std::nullopt};
}

bool RunMove::MayStop(Instant closes_at, Instant now) {
  if (state_ != State::kCopied) return false;
  if (now + std::max(kStopTime, kCopyTimesToStop * copy_time_) <= closes_at) return true;
  GiveUp();
  return false;
}

void RunMove::GiveUpCopy() {
  if (state_ == State::kCopied) GiveUp();
}

MoveStep RunMove::Stop() {
  state_ = State::kStopping;
  return {MoveStep::Kind::kStop, target_, std::nullopt};
}

MoveStep RunMove::OnAnswer(const MoveAnswer& answer, Instant now) {
  if (state_ == State::kCopying) return OnCopied(answer, now);
  if (state_ == State::kStopping) return OnStopped(answer);
  return {};
}

MoveStep RunMove::OnCopied(const MoveAnswer& answer, Instant now) {
  if (!answer.has_arrived) {
    refused_.push_back(target_);
    handle_ = answer.handle;
    GiveUp();
    return {};
  }
  state_ = State::kCopied;
  handle_ = answer.handle;
  copy_time_ = now - copied_from_;
  return {};
}

MoveStep RunMove::OnStopped(const MoveAnswer& answer) {
  if (!answer.handle.empty()) {
    return Resume(answer.has_arrived ? target_ : source_, answer.handle);
  }
  if (answer.is_answered) {
    // The source knows no such run, or didn't stop it.
    GiveUp();
    if (stream_has_failed_) return {MoveStep::Kind::kFail, target_, std::nullopt};
    return {};
  }
  if (stream_has_failed_) return Resume(target_, handle_);
  state_ = State::kMayStop;
  return {};
}

MoveStep RunMove::OnStreamFailed() {
  if (state_ == State::kStopping) {
    stream_has_failed_ = true;
    return {};
  }
  if (state_ == State::kMayStop) return Resume(target_, handle_);
  return {MoveStep::Kind::kFail, target_, std::nullopt};
}

MoveStep RunMove::Resume(const BackendChoice& backend, const std::string& handle) {
  state_ = State::kResumed;
  return {MoveStep::Kind::kResume, target_, RunCopy{backend, endpoint_, handle}};
}

void RunMove::GiveUp() {
  state_ = State::kIdle;
  if (!handle_.empty()) unused_handle_ = std::exchange(handle_, {});
}

std::optional<std::string> RunMove::TakeUnusedHandle() {
  return std::exchange(unused_handle_, std::nullopt);
}

std::optional<std::string> RunMove::End() {
  if (state_ == State::kCopied || state_ == State::kMayStop) GiveUp();
  return TakeUnusedHandle();
}

}  // namespace kumquat

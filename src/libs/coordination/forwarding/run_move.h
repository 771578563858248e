// The state machine that moves a run to another engine without the risk of losing it.
//
// The run's memory is copied while the run goes on, which reserves room and a place at the target.
// Only then the run is stopped, its last tokens follow, and it goes on from the copy. It is stopped
// only while the target surely gets no order to load, as an engine under an order refuses runs. If
// the target refuses for another reason, the source takes the run back until its own order comes.
// Where that isn't sure the run stays, and ends where it is.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "coordination/forwarding/forward_request.h"
#include "coordination/requests/backend_choice.h"
#include "utils/endpoint.h"
#include "utils/hooks.h"

namespace kumquat {

// What the source of a move answered.
struct MoveAnswer {
  // False if the call failed: it may have had its effect.
  bool is_answered = false;
  // The name under which the run's memory can be used; empty if there is none.
  std::string handle;
  // Whether the memory reached the target; if not, it is at the source only.
  bool has_arrived = false;
};

// What is to be done next.
struct MoveStep {
  enum class Kind {
    // Nothing; the run goes on.
    kNone,
    // Ask the source to copy the run to `target`.
    kCopy,
    // Ask the source to stop the run and copy the rest. Requires a repeat that is reserved, as the
    // send that follows may become one.
    kStop,
    // The run has stopped: end the attempt and resume the run from `copy`.
    kResume,
    // The run has ended, and there is no memory of it to go on from: handle the failure of its
    // stream.
    kFail,
  };
  Kind kind = Kind::kNone;
  BackendChoice target;
  std::optional<RunCopy> copy;
};

class RunMove {
 public:
  // The run is at `source`, which is reached at `endpoint`.
  RunMove(BackendChoice source, Endpoint endpoint);

  // Returns whether a copy may begin: none has, and enough of the window is left.
  bool MayBegin(Instant closes_at, Instant now) const;

  // Begins a copy to `target`. Requires MayBegin().
  MoveStep Begin(const BackendChoice& target, Instant now);

  // Returns whether the copy is complete and the run may be stopped now. If too little of the
  // window is left, for another copy that takes longer than the first one too, gives the move up
  // instead.
  bool MayStop(Instant closes_at, Instant now);

  // Gives up a copy that is complete, as its target may refuse the run by now.
  void GiveUpCopy();

  // Stops the run. Requires MayStop().
  MoveStep Stop();

  // The source answered the call for the last kCopy or kStop step, or the call failed.
  MoveStep OnAnswer(const MoveAnswer& answer, Instant now);

  // The stream of the run failed. kNone if it failed because the run was stopped: the answer to the
  // call that is under way tells how the run goes on. kFail if it has to be handled as any failure.
  MoveStep OnStreamFailed();

  // Returns a copy that has been given up, which is to be freed at the source, at most once.
  std::optional<std::string> TakeUnusedHandle();

  // The run has ended, or was ended. Returns a copy that is to be freed.
  std::optional<std::string> End();

  // Returns the engines that didn't take a copy.
  const std::vector<BackendChoice>& refused() const { return refused_; }
  const BackendChoice& target() const { return target_; }
  // Returns whether the source was asked to stop the run, and the outcome isn't known yet.
  bool is_stopping() const { return state_ == State::kStopping; }
  // Returns whether the run goes on elsewhere.
  bool has_resumed() const { return state_ == State::kResumed; }
  // Returns whether the run is copied, or may have been stopped.
  bool is_under_way() const { return state_ != State::kIdle && state_ != State::kResumed; }

 private:
  enum class State {
    kIdle,
    kCopying,
    kCopied,
    kStopping,
    // The call that was to stop the run has failed, and the stream goes on so far.
    kMayStop,
    kResumed,
  };

  MoveStep OnCopied(const MoveAnswer& answer, Instant now);
  MoveStep OnStopped(const MoveAnswer& answer);
  MoveStep Resume(const BackendChoice& backend, const std::string& handle);
  void GiveUp();

  BackendChoice source_;
  Endpoint endpoint_;
  State state_ = State::kIdle;
  BackendChoice target_;
  // The copy that was made while the run went on, since when, and how long that took.
  std::string handle_;
  Instant copied_from_{0};
  Duration copy_time_{0};
  bool stream_has_failed_ = false;
  std::vector<BackendChoice> refused_;
  std::optional<std::string> unused_handle_;
};

}  // namespace kumquat

// Carries out the steps of RunMove for one attempt: calls the engine that runs the request.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "coordination/forwarding/run_move.h"
#include "forwarding/forward_services.h"

namespace kumquat {

struct RunMoverHooks {
  // Chooses an engine that takes the run and is none of these; nullopt if there is none.
  std::function<std::optional<BackendChoice>(std::span<const BackendChoice> avoid)> choose_target;
  // Reserves the repeats that the sends of a stopped run may become; false if they can't be spared.
  std::function<bool()> reserve_repeats;
  // The run wasn't stopped; gives the reserved repeats back.
  std::function<void()> return_repeats;
  // Resumes the run, which has stopped, from the copy.
  std::function<void(const RunCopy& copy)> resume;
  // Handles the failure of the stream, which was held back by HoldsFailure().
  std::function<void()> fail;
};

class RunMover {
 public:
  RunMover(ForwardServices& services, BackendChoice source, Endpoint endpoint,
           std::string request_id, RunMoverHooks hooks);
  // Frees a copy that wasn't used.
  ~RunMover();
  RunMover(const RunMover&) = delete;
  RunMover& operator=(const RunMover&) = delete;

  // Takes the next step that may be taken now. Call it when the engine is to load weights, and
  // again every few 10 ms while it gets no order.
  void Advance();

  // The stream failed. Returns true if that is due to the move; then `resume` or `fail` follows.
  bool HoldsFailure();

  bool is_stopping() const { return move_.is_stopping(); }
  bool has_resumed() const { return move_.has_resumed(); }
  bool is_under_way() const { return move_.is_under_way(); }

 private:
  Instant closes_at() const;
  bool IsTargetReady() const;
  void Call(const MoveStep& step);
  void OnAnswer(const MoveAnswer& answer);
  void Perform(const MoveStep& step);
  void GiveUpUnlessStopped();
  void Free(const std::optional<std::string>& handle);
  void Log(std::string_view step, const MoveAnswer& answer) const;

  ForwardServices& services_;
  BackendChoice source_;
  Endpoint endpoint_;
  std::string request_id_;
  RunMoverHooks hooks_;
  RunMove move_;
  std::unique_ptr<BackendCall> call_;
};

}  // namespace kumquat

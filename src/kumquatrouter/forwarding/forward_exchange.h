// Carries out one forwarded request: what ForwardRequest decides, between its caller and the
// backend servers.
#pragma once

#include <QTimer>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "coordination/forwarding/forward_request.h"
#include "forwarding/forward_services.h"
#include "transport/event_splitter.h"
#include "transport/http_server.h"

namespace kumquat {

class ForwardExchange : public std::enable_shared_from_this<ForwardExchange> {
 public:
  ForwardExchange(ForwardServices& services, CallerRequest request,
                  std::shared_ptr<HttpResponder> responder);
  ~ForwardExchange();

  // Begins. `on_done` runs once, after the caller has its answer or is gone.
  void Start(std::function<void()> on_done);

  // A backend server may be able to take the request by now.
  void OnPlaceFree();

  // Returns how urgent the request is, once it has begun; 0 goes first.
  std::int64_t Rank() const;

  Instant received() const { return received_; }

  bool waits() const { return decisions_ && decisions_->waits(); }

  // Moves the stream away from this engine, which is about to load weights or to leave.
  void MoveAwayFrom(const BackendChoice& backend);

  // Returns the engine that has been silent for this long in the middle of the answer; nothing when
  // there is none.
  std::optional<BackendChoice> SilentBackend(Duration silence) const;

  // A new connection to this backend server failed; an attempt that waits for it in vain is given
  // up where the request can go on elsewhere.
  void OnBackendDead(const BackendChoice& backend, Duration silence);

  // Returns whether an attempt still waits at an engine that may begin nothing any more on the
  // weights that it has.
  bool HasOutdatedAttempt() const;

  // Takes that attempt back; the request goes elsewhere where it may, and ends otherwise.
  void CancelOutdatedAttempt();

 private:
  // The attempt in progress.
  struct Attempt {
    std::int64_t number = 0;
    BackendChoice backend;
    std::optional<PromptChoice> placed;
    DispatchId dispatch = 0;
    bool has_event = false;
    std::unique_ptr<BackendCall> call;
    EventSplitter events;
    std::size_t bytes_without_id = 0;
    int status = 0;
    HttpHeaders headers;
    std::string body;
    bool is_event_stream = false;
    Instant sent_at{0};
    Instant last_received_at{0};
    // The engine that keeps a copy of the run.
    std::optional<BackendChoice> backup;
    // The run is being moved.
    std::unique_ptr<BackendCall> move;
    BackendChoice move_to;
    // What became of the attempt while it was being moved.
    std::optional<CallFailure> failure_during_move;
  };

  // Finds route, organisation and service; refuses and returns false where one is missing.
  bool ResolveRoute();
  ForwardPolicy Policy() const;
  ForwardHooks Hooks();
  std::optional<BackendChoice> Choose(std::span<const BackendChoice> avoid);
  std::vector<PooledBackend*> EnginesFor(std::vector<PooledBackend*> candidates) const;
  // Weights that were replaced must not begin a request after the longest lag.
  bool BeginsTooLate(const PooledBackend& backend, Duration expected_wait) const;
  void Send(const SendCommand& command);
  void LogSent(const SendCommand& command) const;
  void OnFirstEvent();
  // Gives the request up if its caller has left more than this unread.
  void AbortIfCallerTooSlow(std::int64_t max_pending_bytes);
  std::string RouteLabel() const;
  ForwardCall CallTo(const PooledBackend& backend, const SendCommand& command) const;
  std::optional<RunCopy> FindCopy();
  PooledBackend* AlternativeEngineFor(const PooledBackend& backend);
  // Returns an engine with these weights, other than those to avoid, that could go on with the run.
  PooledBackend* ChooseAlternativeEngine(std::span<const BackendChoice> avoid,
                                         std::int64_t weights);
  void OnMoveAnswered(std::int64_t number, const MoveAnswer& answer);
  CallTimeouts Timeouts() const;
  BackendCallHooks CallHooks(std::int64_t number);
  void OnHeaders(std::int64_t number, int status, const HttpHeaders& headers);
  void OnData(std::int64_t number, std::string_view data);
  void OnAnswerEnd(std::int64_t number);
  void OnCallFailed(std::int64_t number, CallFailure failure, std::string_view reason);
  void EndAttempt();
  void RelayHead();
  void RelayBufferedAnswer();
  void Refuse(const Refusal& refusal);
  void OnCallerGone();
  void Finish(std::string_view outcome);
  std::optional<Duration> RetryAfter() const;
  std::string CacheIsolationKey() const;
  std::optional<Endpoint> LiveStore() const;
  Instant Now() const { return services_.clock(); }

  ForwardServices& services_;
  CallerRequest request_;
  std::shared_ptr<HttpResponder> responder_;
  // Keeps the table that the request was identified by.
  std::shared_ptr<const RouteIndex> routes_;
  const Route* route_ = nullptr;
  const RoutedOrganisation* organisation_ = nullptr;
  const Service* service_ = nullptr;
  Instant received_{0};
  std::optional<Instant> first_event_at_;
  Instant deadline_{0};
  std::optional<ForwardRequest> decisions_;
  std::unique_ptr<Attempt> attempt_;
  std::optional<PromptChoice> placed_;
  // The weights that the last run began on; a copy of it goes on with no others.
  std::int64_t run_weights_ = 0;
  // The engine that kept a copy of the attempt that ended last.
  std::optional<BackendChoice> last_backup_;
  QTimer deadline_timer_;
  bool is_head_relayed_ = false;
  bool is_done_ = false;
  std::function<void()> on_done_;
};

}  // namespace kumquat

// Carries out the decisions of ForwardRequest for one forwarded request: exchanges the messages
// with its caller and the backend servers.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/forwarding/forward_request.h"
#include "coordination/forwarding/run_cache_scope.h"
#include "coordination/forwarding/stream_version.h"
#include "forwarding/engines_of_run.h"
#include "forwarding/forward_services.h"
#include "forwarding/request_suspects.h"
#include "forwarding/run_mover.h"
#include "protocol/suspect_entry.h"
#include "transport/event_splitter.h"
#include "transport/http_server.h"
#include "utils/deadline_timer.h"

namespace kumquat {

class ForwardExchange : public std::enable_shared_from_this<ForwardExchange> {
 public:
  ForwardExchange(ForwardServices& services, CallerRequest request,
                  std::shared_ptr<HttpResponder> responder);
  ~ForwardExchange();

  // Starts processing the request. `on_done` is called once, after the caller has been answered or
  // has disconnected.
  void Start(std::function<void()> on_done);

  // Tries again to send a waiting request; call it when a backend server may have become free.
  void OnCapacityFree();

  // Describes the request for WaitingOrder, and names its service. Only valid while it waits.
  WaitingRequest Waiting() const { return {Rank(), OrganisationName(), received_}; }
  const std::string& service_name() const { return service_->name; }

  // The process is about to end: answers the caller at once, or cuts a stream that has begun.
  void EndForShutdown();

  bool is_waiting() const { return decisions_ && decisions_->is_waiting(); }

  // Returns whether it waits for a trial of its suspects, not for a backend server.
  bool is_held() const { return is_waiting() && held_until_; }

  // Moves a running stream away from an engine that is to load weights, or takes the next step of a
  // move that has begun. Does nothing if the stream runs elsewhere or can't be moved.
  void AdvanceMove();

  // Returns the backend server of the streamed attempt in progress if it has sent nothing for
  // longer than `silence`; nullopt otherwise.
  std::optional<BackendChoice> SilentBackend(Duration silence) const;

  // Call when a new connection to this backend server failed. Fails a streamed attempt that has
  // received nothing from it for longer than `silence`, if the request may be repeated within its
  // budget or an engine keeps a copy of the run. Does nothing while the run is being stopped to be
  // moved.
  void OnBackendUnreachable(const BackendChoice& backend, Duration silence);

  // Returns whether the attempt in progress is still queued at an engine whose weights are too old
  // for new requests.
  bool HasOutdatedAttempt() const;

  // Cancels that attempt. The request is sent elsewhere if it may be repeated, and ends otherwise.
  // Requires HasOutdatedAttempt().
  void CancelOutdatedAttempt();

 private:
  // The attempt in progress.
  struct Attempt {
    std::int64_t number = 0;
    BackendChoice backend;
    std::string software_version;
    // The engine chosen for a request with a prompt, and the estimates that led to the choice.
    std::optional<PromptChoice> prompt_choice;
    DispatchId dispatch = 0;
    // The trial of its suspects that it is, until the outcome is known.
    std::optional<std::uint64_t> trial;
    // Whether any data of a streamed answer has arrived, even if no event is complete yet.
    bool has_stream_data = false;
    // Events with a number that have come.
    std::int64_t event_count = 0;
    // The attempt goes on with a run that had begun before.
    bool continues_run = false;
    // It does so from a copy of that run's memory.
    bool resumes_copy = false;
    std::unique_ptr<BackendCall> call;
    EventSplitter events;
    std::size_t bytes_without_id = 0;
    int status = 0;
    HttpHeaders headers;
    std::string body;
    bool is_event_stream = false;
    Instant sent_at{0};
    Instant last_received_at{0};
    // The answer isn't read on, as its caller is slow.
    bool is_paused = false;
    // The engine that keeps a copy of the run, if there is one.
    std::optional<BackendChoice> backup;
    // Moves the run to another engine; null unless its engine is to load weights.
    std::unique_ptr<RunMover> mover;
    // How the stream failed while it was being stopped, and why; handled only if the run can't go
    // on from its memory.
    CallFailure failure_at_stop = CallFailure::kBroken;
    std::string reason_at_stop;

    bool is_stopping() const { return mover && mover->is_stopping(); }
  };

  // Finds the route, organisation and service of the request. Refuses the request and returns false
  // if there is no routing table, no route, or no valid key where one is needed.
  bool ResolveRoute();
  // Returns the priority rank of the request; lower ranks are served first, 0 is the most urgent.
  std::int64_t Rank() const;
  // Returns whether the caller has events of a stream that this request is to go on with.
  bool TakesUpStream() const;
  // Finds out where the stream began that the caller takes up, and goes on there.
  void FindOrigin();
  void OnOriginFound(const OriginAnswer& answer);
  // The request goes to this service from now on.
  void UseService(std::string_view service);
  // The caller gets an event, and may take the stream up from now on.
  void RecordOrigin() const;
  // Returns whether no server is left that may go on with the stream.
  bool IsVersionGone() const;
  // Decides on the request by its organisation's quota, and begins to forward it.
  void AcquireQuota();
  void OnQuotaDecided(const QuotaDecision& decision);
  std::int64_t QuotaUnits() const;
  void Begin();
  const RequestSuspects& Suspects();
  bool IsCondemned();
  bool IsRunCondemned();
  // Returns whether the whole run may crash servers, so that it must not go on from a copy.
  bool IsRunAccused();
  // Returns the suspects that the next send would have.
  std::span<const Suspect> SuspectsOfNextSend();
  // Returns whether a send to one of this many servers may be made now, by its suspects; sets
  // is_trial_ and held_until_.
  bool PassesSuspects(std::size_t servers);
  ForwardPolicy Policy() const;
  ForwardHooks Hooks();
  // Takes a repeat from the budget, and logs what decided it.
  bool TryRepeat();
  std::optional<BackendChoice> Choose(std::span<const BackendChoice> avoid);
  // Returns whether an engine with this queue must be left to others while requests wait.
  bool LeavesRoom(Duration queue_time) const;
  bool IsHopeless() const;
  void Send(const SendCommand& command);
  void LogSent(const SendCommand& command) const;
  void OnFirstEvent();
  void ObserveExpectation();
  void OnBeginningSurvived();
  // Returns the run in progress as one that is lost now.
  LostRun RunLostNow();
  // Records that the run in progress was lost.
  void ReportLoss();
  // The trial that the attempt in progress is, if it is one, has ended, or hasn't run.
  void EndTrial();
  void WithdrawTrial();
  // Ends the attempt in progress, whose server may go on with the run and still crash by it.
  void AbandonAttempt();
  // Stops reading from the backend server while too much of its answer waits for the caller, and
  // reads on once nothing waits any more.
  void PaceReading();
  std::string RouteLabel() const;
  ForwardCall CallTo(const PooledBackend& backend, const SendCommand& command) const;
  std::optional<RunCopy> TakeCopy();
  std::unique_ptr<RunMover> MakeMover(const PooledBackend& source);
  CallTimeouts Timeouts() const;
  BackendCallHooks CallHooks(std::int64_t number);
  void OnHeaders(std::int64_t number, int status, const HttpHeaders& headers);
  void OnData(std::int64_t number, std::string_view data);
  // Gives up the attempt whose answer takes too much of this process's memory.
  void DropAnswer();
  std::int64_t kept_bytes() const;
  void OnAnswerEnd(std::int64_t number);
  void OnCallFailed(std::int64_t number, CallFailure failure, std::string_view reason);
  void EndAttempt();
  void RelayHead();
  void RelayBufferedAnswer();
  void Refuse(const Refusal& refusal);
  void OnCallerGone();
  void Finish(std::string_view outcome);
  std::optional<Duration> RetryAfter() const;
  std::string OrganisationName() const { return organisation_ ? organisation_->name : ""; }
  // Returns the scope that is in force for what is sent now without memory.
  std::string CacheScope() const;
  // Sets the scope of the send that the command asks for.
  void ChooseCacheScope(const SendCommand& command);
  const CacheStore* LiveStore() const;
  PromptContext PlacementContext() const;
  Instant Now() const { return services_.clock(); }

  ForwardServices& services_;
  CallerRequest request_;
  std::shared_ptr<HttpResponder> responder_;
  // Keeps the routing table alive that route_, organisation_ and service_ point into.
  std::shared_ptr<const RouteIndex> routes_;
  const Route* route_ = nullptr;
  const RoutedOrganisation* organisation_ = nullptr;
  const Service* service_ = nullptr;
  StreamVersion stream_version_;
  // Set for a request with a prompt.
  std::optional<EnginesOfRun> engines_;
  // Until when the request may wait for a trial of its suspects; nullopt if it isn't held back.
  std::optional<Instant> held_until_;
  // The next send is a trial of its suspects.
  bool is_trial_ = false;
  // Computed when first needed, since a long body takes time to hash.
  std::optional<RequestSuspects> suspects_;
  Instant received_{0};
  std::optional<Instant> first_event_at_;
  Instant deadline_{0};
  std::optional<ForwardRequest> decisions_;
  std::unique_ptr<Attempt> attempt_;
  // When a prompt that was too late for its objective was expected to begin, counted from the last
  // try; nullopt if nothing was expected.
  std::optional<Duration> expected_wait_;
  // The choice for the next attempt of a request with a prompt; Send() moves it into the attempt.
  std::optional<PromptChoice> next_choice_;
  // Version of the weights that the last run began on; a copy of the run can only continue on the
  // same version.
  std::int64_t run_weights_ = 0;
  // The scope under which engines cache what the last run computed.
  RunCacheScope cache_scope_;
  // The engine that kept a copy of the run of the last ended attempt.
  std::optional<BackendChoice> last_backup_;
  // The engine that the run was stopped at to be moved.
  std::optional<BackendChoice> moved_from_;
  // Counts what has come of the attempt's answer and isn't passed on yet.
  std::unique_ptr<AnswerMemory::Account> answer_account_;
  // The wait for the quota; 0 while there is none.
  std::int64_t quota_wait_ = 0;
  // The units that were admitted, until the request may have run.
  std::int64_t quota_units_ = 0;
  DeadlineTimer deadline_timer_;
  bool is_head_relayed_ = false;
  bool is_done_ = false;
  std::function<void()> on_done_;
};

}  // namespace kumquat

// Carries out a chat request: admission, attempts on engines, the answer to the caller.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chat_request.h"
#include "coordination/admission/strike_table.h"
#include "coordination/forwarding/stream_version.h"
#include "coordination/requests/stream_request.h"
#include "engine_selector.h"
#include "exchange.h"
#include "protocol/suspect_entry.h"
#include "transport/backend_client.h"
#include "transport/sse_parser.h"

namespace kumquat {

// The attempt whose answer counts.
struct ChatAttempt {
  std::string id;
  BackendChoice backend;
  EngineDispatch dispatch;
  std::unique_ptr<BackendCall> call;
  SseParser parser;
  bool is_open = true;
  // The request was a suspect when this was placed, so no other suspect runs beside it.
  bool is_isolated = false;
  // The request went out; before that a suspect's engine is asked for a life sign.
  bool is_sent = false;
  // When it went out.
  Instant sent_at{0};
  // The run was lost, or never reached its engine.
  bool has_failed = false;
  // Events of the answer that have come.
  std::int64_t event_count = 0;
  // It goes on with a run that had begun before.
  bool continues_run = false;
  // The trial of its suspects that it is, until the outcome is known.
  std::optional<std::uint64_t> trial;
};

// Everything that decides is in StreamRequest; this class carries its commands out.
class ChatExchange : public std::enable_shared_from_this<ChatExchange> {
 public:
  ChatExchange(const RouterServices& services, ExchangeStart start, ChatRequest request,
               EngineDemand demand);
  ~ChatExchange();

  // Begins. `on_done` runs once, after the caller has its whole answer or is gone.
  void Start(std::function<void()> on_done);

  const ModelVersion& model() const { return demand_.model; }

  // The backend server is known to have died.
  void OnBackendDown(const BackendChoice& backend);

 private:
  void EnterQueue();
  void LookUpPrefix();
  void Run();
  void Execute(const StreamCommands& commands);
  void Execute(const stream_command::StartAttempt& command);
  void Execute(const stream_command::CancelAttempt& command);
  void Execute(const stream_command::EmitText& command);
  void Execute(const stream_command::EmitEnd& command);
  void Execute(const stream_command::EmitError& command);
  void Execute(const stream_command::Refuse& command);
  void Execute(const stream_command::WakeAt& command);
  void Execute(const stream_command::RecordStrike& command);
  void Execute(const stream_command::RecordSuccess& command);
  void Execute(const stream_command::ProbeBackend& command);

  void Send(const stream_command::StartAttempt& command);
  void AskForLifeSign(const stream_command::StartAttempt& command);
  bool IsCurrent(const std::string& attempt_id) const;
  Endpoint EndpointOf(const BackendChoice& backend) const;
  BackendCallRequest CallFor(const stream_command::StartAttempt& command) const;
  BackendCallHooks HooksFor(const std::string& attempt_id);
  StreamRequestHooks DecisionHooks();
  bool MayWaitForPlace();
  bool IsCondemned();
  const std::vector<Suspect>& PartSuspects();
  std::vector<Suspect> SuspectsOfNextSend();
  bool PassesSuspects();
  // The trial that the attempt is, if it is one, has ended.
  void EndTrial();
  std::vector<Suspect> RunSuspects() const { return {{digest_, kRequestDepth}}; }
  bool IsDead(const BackendChoice& backend) const;
  // Returns the version of the server's software; empty if it isn't known.
  std::string SoftwareOf(std::string_view backend_id) const;
  void OnData(const std::string& attempt_id, std::string_view data);
  void OnCallFailed(const std::string& attempt_id, CallFailure failure);
  // Gives up the answer, which takes too much of this process's memory.
  void DropAnswer();
  std::int64_t kept_bytes() const;
  void NoteLoss();
  // Records that the attempt ends while its engine may go on with the run.
  void NoteAbandoned();
  void OnBeginningSurvived();
  void OnCallerGone();
  void EndAttempt(bool whole, std::int64_t cached_tokens);
  void StartAnswer();
  void NoteTokenTimes();
  void Refuse(const Error& error);
  void Finish(std::string_view outcome);
  std::string MetricLabels() const;

  const RouterServices& services_;
  ExchangeStart start_;
  ChatRequest request_;
  EngineDemand demand_;
  std::string digest_;
  // Computed when first needed.
  std::optional<std::vector<Suspect>> part_suspects_;
  ShareTicket ticket_;
  std::optional<StreamRequest> decisions_;
  StreamVersion version_;
  std::optional<ChatAttempt> attempt_;
  // Whether the last choice kept suspects apart.
  bool is_choice_isolated_ = false;
  // The next attempt is a trial of the chat's suspects, or waits for one.
  bool is_trial_ = false;
  bool is_held_ = false;
  std::optional<Instant> held_since_;
  // Runs that were lost; a strike follows once their backend server is proven dead.
  std::vector<Strike> losses_;
  std::function<void()> on_done_;
  std::uint64_t queue_id_ = 0;
  bool is_answer_started_ = false;
  bool is_done_ = false;
  std::string text_;
  // Counts the answer's bytes that aren't passed on yet.
  std::unique_ptr<AnswerMemory::Account> answer_account_;
  std::int64_t tokens_sent_ = 0;
  Instant running_since_{0};
  Instant last_token_at_{0};
};

}  // namespace kumquat

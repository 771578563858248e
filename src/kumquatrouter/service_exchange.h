// Carries out a call to a plain service: claim, attempts, the answer to the caller.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/requests/service_call.h"
#include "exchange.h"
#include "protocol/suspect_entry.h"
#include "service_directory.h"
#include "transport/backend_client.h"
#include "transport/http_message.h"

namespace kumquat {

// Everything that decides is in ServiceCall; this class carries its commands out.
class ServiceExchange : public std::enable_shared_from_this<ServiceExchange> {
 public:
  ServiceExchange(const RouterServices& services, ServiceDirectory* directory, ExchangeStart start,
                  HttpRequest request, ServiceTarget target);
  ~ServiceExchange();

  // Begins. `on_done` runs once, after the call has ended and the caller has its answer.
  void Start(std::function<void()> on_done);

 private:
  struct Attempt {
    BackendChoice backend;
    std::unique_ptr<BackendCall> call;
    RecordedAnswer answer;
    Instant sent_at{0};
    // The trial that it is, if it is one.
    std::optional<std::uint64_t> trial;
    // Whether the server may have got the call, once the attempt is taken out.
    bool may_run = false;
  };

  void Run();
  void Execute(const ServiceCommands& commands);
  void Execute(const service_command::BeginClaim& command);
  void Execute(const service_command::FinishClaim& command);
  void Execute(const service_command::ReleaseClaim& command);
  void Execute(const service_command::StartAttempt& command);
  void Execute(const service_command::CancelAttempt& command);
  void Execute(const service_command::Answer& command);
  void Execute(const service_command::Refuse& command);
  void Execute(const service_command::WakeAt& command);
  void Execute(const service_command::RecordSuccess& command);

  ServiceCallOptions OptionsFor() const;
  bool IsCondemned();
  std::optional<BackendChoice> Choose(std::span<const BackendChoice> avoid);
  const std::vector<Suspect>& Suspects();
  BackendCallRequest CallFor(const service_command::StartAttempt& command) const;
  BackendCallHooks HooksFor(const std::string& attempt_id);
  void OnCallFailed(const std::string& attempt_id, CallFailure failure);
  // Gives up all attempts: their answers take too much of this process's memory.
  void DropAnswers();
  std::int64_t kept_bytes() const;
  std::optional<Attempt> TakeAttempt(const std::string& attempt_id);
  void Answered(std::string_view outcome);
  void CheckDone();

  const RouterServices& services_;
  ServiceDirectory* directory_;
  ExchangeStart start_;
  HttpRequest request_;
  ServiceTarget target_;
  ShareTicket ticket_;
  // Computed when first needed.
  std::optional<std::vector<Suspect>> suspects_;
  std::optional<ServiceCall> decisions_;
  std::map<std::string, Attempt> attempts_;
  // Counts the bytes of the attempts' answers.
  std::unique_ptr<AnswerMemory::Account> answer_account_;
  std::function<void()> on_done_;
  bool is_answered_ = false;
  // The next attempt is a trial of the call's suspects.
  bool is_trial_ = false;
};

}  // namespace kumquat

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

  bool waits() const { return decisions_ && decisions_->waits(); }

 private:
  // The attempt in progress.
  struct Attempt {
    std::int64_t number = 0;
    BackendChoice backend;
    std::optional<PromptChoice> placed;
    std::unique_ptr<BackendCall> call;
    EventSplitter events;
    int status = 0;
    HttpHeaders headers;
    std::string body;
    bool is_event_stream = false;
    Instant sent_at{0};
  };

  // Finds route, organisation and service; refuses and returns false where one is missing.
  bool Identify();
  ForwardPolicy Policy() const;
  ForwardHooks Hooks();
  std::optional<BackendChoice> Choose(std::span<const BackendChoice> avoid);
  std::vector<PooledBackend*> EnginesFor(std::vector<PooledBackend*> candidates) const;
  void Send(std::int64_t number, const BackendChoice& backend,
            std::optional<std::int64_t> resume_after);
  ForwardCall CallTo(const PooledBackend& backend, std::optional<std::int64_t> resume_after) const;
  CallTimeouts Timeouts() const;
  BackendCallHooks CallHooks(std::int64_t number);
  void OnHeaders(std::int64_t number, int status, const HttpHeaders& headers);
  void OnData(std::int64_t number, std::string_view data);
  void OnAnswerEnd(std::int64_t number);
  void OnCallFailed(std::int64_t number, CallFailure failure, std::string_view reason);
  void EndAttempt();
  void RelayHead();
  void RelayWhole();
  void Refuse(const Refusal& refusal);
  void OnCallerGone();
  void Finish(std::string_view outcome);
  std::optional<Duration> RetryAfter() const;
  std::string CacheSalt(const PooledBackend& backend) const;
  std::string Wall() const;
  std::optional<Endpoint> LiveStore() const;
  std::int64_t Rank() const;
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
  Instant deadline_{0};
  std::optional<ForwardRequest> decisions_;
  std::optional<Attempt> attempt_;
  std::optional<PromptChoice> placed_;
  QTimer deadline_timer_;
  bool is_head_relayed_ = false;
  bool is_done_ = false;
  std::function<void()> on_done_;
};

}  // namespace kumquat

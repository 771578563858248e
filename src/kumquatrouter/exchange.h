// One request of a caller, from its admission to its answer.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "protocol/error_kind.h"
#include "router_services.h"
#include "transport/http_server.h"

namespace kumquat {

class BackendCall;

// Longest wait of a request for a share from control.
inline constexpr Duration kShareWait = std::chrono::milliseconds(1500);

// What every exchange starts from.
struct ExchangeStart {
  std::string request_id;
  std::string organisation;
  // The organisation's weight, from its allowance.
  std::int64_t share = 1;
  Instant received{0};
  Instant deadline{0};
  std::shared_ptr<HttpResponder> responder;
};

// Takes the organisation's share for a request, waiting for control where the router has none, and
// gives it back. The owner keeps it alive as long as the request runs.
class ShareTicket {
 public:
  ShareTicket(const RouterServices& services, std::string organisation, std::int64_t tokens);
  ~ShareTicket();
  ShareTicket(const ShareTicket&) = delete;
  ShareTicket& operator=(const ShareTicket&) = delete;

  // Asks for a place. Exactly one of the hooks runs, perhaps before this returns.
  void Acquire(Instant give_up_at, std::function<void()> on_acquired,
               std::function<void(const Error& refusal)> on_refused);

  // Notes the tokens that were really used.
  void Settle(std::int64_t tokens);

 private:
  const RouterServices& services_;
  std::string organisation_;
  std::int64_t tokens_;
  bool is_held_ = false;
  std::optional<Instant> asked_first_;
  // Ends the retries of Acquire() when this is destroyed.
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

// Sends an error as a whole answer, with its Retry-After.
void SendError(HttpResponder& responder, const std::string& request_id, const Error& error);

}  // namespace kumquat

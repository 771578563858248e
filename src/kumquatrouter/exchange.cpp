#include "exchange.h"

#include <algorithm>
#include <utility>

#include "control_client.h"
#include "transport/backend_client.h"
#include "utils/deadline_timer.h"
#include "utils/log.h"

namespace kumquat {
namespace {

constexpr Duration kShareRetryInterval = std::chrono::milliseconds(20);

Error LimitExceeded(Duration after) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(after);
  return {ErrorKind::kLimitExceeded, "", std::max(seconds, std::chrono::seconds(1))};
}

}  // namespace

ShareTicket::ShareTicket(const RouterServices& services, std::string organisation,
                         std::int64_t tokens)
    : services_(services), organisation_(std::move(organisation)), tokens_(tokens) {}

ShareTicket::~ShareTicket() {
  if (is_held_) services_.control->share_holder().Release(organisation_);
}

void ShareTicket::Acquire(Instant give_up_at, std::function<void()> on_acquired,
                          std::function<void(const Error&)> on_refused) {
  const Instant now = services_.clock();
  const AdmissionAnswer answer =
      services_.control->share_holder().TryAcquire(organisation_, tokens_, now, asked_first_);
  if (!asked_first_) asked_first_ = now;
  if (answer.verdict == AdmissionVerdict::kAdmitted) {
    is_held_ = true;
    on_acquired();
    return;
  }
  if (answer.verdict == AdmissionVerdict::kRefused || now >= give_up_at) {
    const Capacity held = services_.control->share_holder().Held(organisation_, now);
    LogEvent(LogLevel::kError, "share_refused",
             {{"organisation", organisation_},
              {"requests_per_second", held.requests_per_second},
              {"tokens_per_second", held.tokens_per_second},
              {"concurrent_requests", held.concurrent_requests},
              {"waited_ms", (now - *asked_first_).count() / 1000}});
    on_refused(LimitExceeded(answer.after));
    return;
  }
  RunAt(now + kShareRetryInterval, services_.clock,
        [this, alive = std::weak_ptr<bool>(is_alive_), give_up_at,
         acquired = std::move(on_acquired), refused = std::move(on_refused)] {
          if (!alive.expired()) Acquire(give_up_at, acquired, refused);
        });
}

void ShareTicket::Settle(std::int64_t tokens) {
  if (!is_held_) return;
  services_.control->share_holder().Settle(organisation_, tokens_, tokens, services_.clock());
}

void SendError(HttpResponder& responder, const std::string& request_id, const Error& error) {
  HttpHeaders headers = {{"Content-Type", "application/json"}, {"X-Request-Id", request_id}};
  if (const auto retry_after = RetryAfter(error)) {
    headers.emplace_back("Retry-After", std::to_string(retry_after->count()));
  }
  responder.Send(AnswerFor(error.kind).http_status, headers, ErrorBody(error));
}

}  // namespace kumquat

#include "common/announcer.h"

#include <utility>

#include "protocol/json_fields.h"
#include "utils/log.h"

namespace kumquat {
namespace {

constexpr int kFirstErrorStatus = 400;
constexpr CallTimeouts kTimeouts{std::chrono::milliseconds(300), std::chrono::milliseconds(500),
                                 std::chrono::milliseconds(500)};

}  // namespace

Announcer::Announcer(const FakeSettings& settings, std::function<void(Announcement*)> describe)
    : settings_(settings), describe_(std::move(describe)), client_(MakeHttpBackendClient()) {
  QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { Announce(); });
}

void Announcer::Start() {
  if (settings_.routers.empty()) return;
  timer_.start(std::chrono::duration_cast<std::chrono::milliseconds>(settings_.announce_interval));
  Announce();
}

void Announcer::Leave() {
  state_ = BackendState::kLeaving;
  if (!settings_.routers.empty()) Announce();
}

void Announcer::Announce() {
  Announcement announcement;
  announcement.backend_id = settings_.id;
  announcement.endpoint = settings_.announced;
  announcement.failure_domain = settings_.failure_domain;
  announcement.software_version = settings_.software_version;
  announcement.incarnation = settings_.incarnation;
  announcement.sequence = ++sequence_;
  announcement.state = state_;
  describe_(&announcement);
  body_ = ToJsonText(ToJson(announcement));
  SendTo(0);
}

void Announcer::SendTo(std::size_t router) {
  call_.reset();
  if (router >= settings_.routers.size()) return;
  BackendCallRequest request;
  request.endpoint = settings_.routers[router].endpoint;
  request.target = "/v1/backends/announce";
  request.headers = {{"Content-Type", "application/json"}};
  request.body = body_;
  request.timeouts = kTimeouts;
  BackendCallHooks hooks;
  hooks.on_headers = [this, router](int status, const HttpHeaders&) {
    if (status < kFirstErrorStatus) return;
    LogEvent(LogLevel::kWarning, "announcement_refused",
             {{"router", settings_.routers[router].name}, {"status", status}});
  };
  hooks.on_failure = [this, router](CallFailure, std::string_view) { SendTo(router + 1); };
  call_ = client_->Start(std::move(request), std::move(hooks));
}

}  // namespace kumquat

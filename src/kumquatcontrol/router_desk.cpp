#include "router_desk.h"

#include <algorithm>
#include <utility>

#include "utils/log.h"

namespace kumquat {
namespace {

// Routers greet every second.
constexpr Duration kSilenceLimit = std::chrono::milliseconds(3500);
// A digest that differs once may be that of a change on its way; the tables of a large fleet take
// some 30 KB each way to compare.
constexpr int kMismatchesToExchange = 2;
// A router whose link holds more unsent bytes than this gets documents once it has read them, the
// newest ones then. Hints stop at less.
constexpr std::int64_t kMaxWaitingBytes = 256 * 1024;
// Bytes of documents that one push queues, to all routers together.
constexpr std::int64_t kMaxPushBytes = 16 * 1024 * 1024;

}  // namespace

void RouterDesk::Receive(const std::shared_ptr<FrameConnection>& connection,
                         const RouterHello& hello) {
  const auto [entry, is_new] = routers_.try_emplace(hello.router);
  Router& router = entry->second;
  if (!is_new && hello.incarnation < router.hello.incarnation) return;
  const bool is_new_run = is_new || hello.incarnation > router.hello.incarnation;
  if (is_new_run) {
    LogEvent(LogLevel::kInfo, "router_linked",
             {{"router", hello.router}, {"incarnation", hello.incarnation}});
  }
  if (is_new_run || router.connection != connection) hooks_.on_linked(hello.router);
  router.connection = connection;
  router.hello = hello;
  router.heard_at = hooks_.clock();
  SendMissingDocuments(&router, hooks_.documents());
  CompareMembers(&router, is_new_run);
  FleetNews fleet = Fleet();
  fleet.greeted_at = hello.sent_at;
  fleet.answered_at = router.heard_at;
  Send(hello.router, fleet);
}

void RouterDesk::CompareMembers(Router* router, bool is_new_run) {
  if (router->hello.members_digest == hooks_.members_digest()) {
    router->mismatches = 0;
    return;
  }
  ++router->mismatches;
  if (!is_new_run && router->mismatches < kMismatchesToExchange) return;
  router->mismatches = 0;
  hooks_.exchange_members(router->hello.router);
}

FleetNews RouterDesk::Fleet() {
  return {hooks_.replicas(), static_cast<std::int64_t>(LiveRouters().size()), hooks_.stores()};
}

void RouterDesk::PushFleet() { SendAll(Fleet()); }

std::int64_t RouterDesk::SendMissingDocuments(Router* router,
                                              std::span<const Document* const> documents) {
  const auto is_missing = [router](const Document* document) {
    return document->version > router->hello.versions[document->name];
  };
  if (std::none_of(documents.begin(), documents.end(), is_missing)) return 0;
  if (router->connection->waiting_bytes() > kMaxWaitingBytes) {
    has_unsent_documents_ = true;
    return 0;
  }
  DocumentNews news;
  for (const Document* document : documents) {
    if (!is_missing(document)) continue;
    router->hello.versions[document->name] = document->version;
    news.documents.push_back(*document);
  }
  const std::string encoded = Encode(news);
  router->connection->Send(FrameKind::kNews, encoded);
  return static_cast<std::int64_t>(encoded.size());
}

void RouterDesk::PushDocuments() {
  has_unsent_documents_ = false;
  const std::vector<const Document*> documents = hooks_.documents();
  std::int64_t room = kMaxPushBytes;
  // Begins behind the router that was served last, so that all get their turn.
  auto next = routers_.upper_bound(last_served_);
  for (std::size_t i = 0; i < routers_.size(); ++i, ++next) {
    if (next == routers_.end()) next = routers_.begin();
    if (room <= 0) {
      has_unsent_documents_ = true;
      return;
    }
    const std::int64_t sent = SendMissingDocuments(&next->second, documents);
    room -= sent;
    if (sent > 0) last_served_ = next->first;
  }
}

void RouterDesk::PushUnsentDocuments() {
  if (has_unsent_documents_) PushDocuments();
}

void RouterDesk::Send(const std::string& router, const ControlNews& news) {
  SendEncoded(router, Encode(news));
}

void RouterDesk::SendEncoded(const std::string& router, std::string_view news) {
  const auto found = routers_.find(router);
  if (found != routers_.end()) found->second.connection->Send(FrameKind::kNews, news);
}

void RouterDesk::SendAll(const ControlNews& news) {
  const std::string encoded = Encode(news);
  DropSilent();
  for (const auto& [name, router] : routers_) router.connection->Send(FrameKind::kNews, encoded);
}

std::int64_t RouterDesk::WaitingBytes(const std::string& router) const {
  const auto found = routers_.find(router);
  return found != routers_.end() ? found->second.connection->waiting_bytes() : 0;
}

std::vector<std::string> RouterDesk::LiveRouters() {
  DropSilent();
  std::vector<std::string> names;
  names.reserve(routers_.size());
  for (const auto& [name, router] : routers_) names.push_back(name);
  return names;
}

void RouterDesk::DropSilent() {
  const Instant now = hooks_.clock();
  std::erase_if(routers_, [now](const auto& entry) {
    const bool is_silent = now - entry.second.heard_at > kSilenceLimit;
    if (is_silent) LogEvent(LogLevel::kInfo, "router_lost", {{"router", entry.first}});
    return is_silent;
  });
}

}  // namespace kumquat

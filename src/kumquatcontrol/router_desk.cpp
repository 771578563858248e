#include "router_desk.h"

#include <utility>

#include "utils/log.h"

namespace kumquat {
namespace {

// Routers greet every second.
constexpr Duration kSilenceLimit = std::chrono::milliseconds(3500);
// A digest that differs once may be that of a change on its way; the tables of a large fleet take
// some 30 KB each way to compare.
constexpr int kMismatchesToExchange = 2;

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
  SendMissingDocuments(&router);
  CompareMembers(&router, is_new_run);
  Send(hello.router, Fleet());
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

void RouterDesk::SendMissingDocuments(Router* router) {
  DocumentNews news;
  for (const Document* document : hooks_.documents()) {
    std::int64_t& known = router->hello.versions[document->name];
    if (document->version <= known) continue;
    known = document->version;
    news.documents.push_back(*document);
  }
  if (!news.documents.empty()) router->connection->Send(FrameKind::kNews, Encode(news));
}

void RouterDesk::PushDocuments() {
  for (auto& [name, router] : routers_) SendMissingDocuments(&router);
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

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

void SendTo(FrameConnection& connection, const ControlNews& news) {
  connection.Send(FrameKind::kNews, Encode(news));
}

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

void RouterDesk::PushFleet() {
  const FleetNews news = Fleet();
  for (auto& [name, router] : routers_) SendTo(*router.connection, news);
}

void RouterDesk::SendMissingDocuments(Router* router) {
  DocumentNews news;
  for (const Document* document : hooks_.documents()) {
    std::int64_t& known = router->hello.versions[document->name];
    if (document->version <= known) continue;
    known = document->version;
    news.documents.push_back(*document);
  }
  if (!news.documents.empty()) SendTo(*router->connection, news);
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
  for (const std::string& name : LiveRouters()) SendEncoded(name, encoded);
}

std::vector<std::string> RouterDesk::LiveRouters() {
  const Instant now = hooks_.clock();
  std::vector<std::string> names;
  for (auto router = routers_.begin(); router != routers_.end();) {
    if (now - router->second.heard_at > kSilenceLimit) {
      LogEvent(LogLevel::kInfo, "router_lost", {{"router", router->first}});
      router = routers_.erase(router);
      continue;
    }
    names.push_back(router->first);
    ++router;
  }
  return names;
}

}  // namespace kumquat

// The routers that are linked to this control replica, and the news that they get.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/control_news.h"
#include "transport/frame_link.h"
#include "utils/hooks.h"

namespace kumquat {

struct RouterDeskHooks {
  Clock clock;
  // Returns the committed documents in the form that routers use. They stay until the next call.
  std::function<std::vector<const Document*>()> documents;
  // Returns the digest of this replica's table of backend servers.
  std::function<std::uint64_t()> members_digest;
  // Tells a router all that is known of backend servers, and asks for what it knows.
  std::function<void(const std::string& router)> exchange_members;
  // A router started anew or came on another connection; what it was sent before may be lost.
  std::function<void(const std::string& router)> on_linked;
  // Returns the addresses of the control replicas.
  std::function<std::vector<std::string>()> replicas;
  // Returns which stores are alive, by address.
  std::function<std::map<std::string, bool>()> stores;
};

class RouterDesk {
 public:
  explicit RouterDesk(RouterDeskHooks hooks) : hooks_(std::move(hooks)) {}

  // A router greeted; it gets what it lacks.
  void Receive(const std::shared_ptr<FrameConnection>& connection, const RouterHello& hello);

  // Sends documents to the routers that lack them, but for routers that haven't read what they were
  // sent before, and within a limit of bytes.
  void PushDocuments();

  // Goes on where PushDocuments() left something out; call it every few 10 ms.
  void PushUnsentDocuments();

  // Tells all routers which processes there are.
  void PushFleet();

  // Sends to one router; nothing happens when it isn't linked.
  void Send(const std::string& router, const ControlNews& news);

  // The same for news that are encoded already.
  void SendEncoded(const std::string& router, std::string_view news);

  // Sends to all routers that greeted lately.
  void SendAll(const ControlNews& news);

  bool IsLinked(const std::string& router) const { return routers_.contains(router); }

  // Returns the bytes that wait on the router's link; 0 when it isn't linked.
  std::int64_t WaitingBytes(const std::string& router) const;

  // Returns the names of the routers that greeted lately, after dropping the others.
  std::vector<std::string> LiveRouters();

 private:
  struct Router {
    std::shared_ptr<FrameConnection> connection;
    RouterHello hello;
    Instant heard_at{0};
    // Greetings in a row whose digest of backend servers was another one than here.
    int mismatches = 0;
  };

  // Returns the bytes that were queued.
  std::int64_t SendMissingDocuments(Router* router, std::span<const Document* const> documents);
  void CompareMembers(Router* router, bool is_new_run);
  FleetNews Fleet();
  void DropSilent();

  RouterDeskHooks hooks_;
  std::map<std::string, Router> routers_;
  std::string last_served_;
  bool has_unsent_documents_ = false;
};

}  // namespace kumquat

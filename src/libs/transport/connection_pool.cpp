#include "transport/connection_pool.h"

#include <algorithm>
#include <utility>

namespace kumquat::Internal {
namespace {

// Further ones are closed: servers take some 100 connections from all routers together, those that
// carry a request included, and reset what comes beyond that.
constexpr std::size_t kMaxIdlePerServer = 4;

}  // namespace

std::unique_ptr<TcpStream> ConnectionPool::Take(const Endpoint& endpoint) {
  const auto found = idle_.find(endpoint);
  if (found == idle_.end()) return nullptr;
  std::vector<Idle>& idle = found->second;
  DropEnded(&idle);
  std::unique_ptr<TcpStream> stream;
  if (!idle.empty()) {
    stream = std::move(idle.back().stream);
    idle.pop_back();
  }
  if (idle.empty()) idle_.erase(found);
  return stream;
}

void ConnectionPool::Keep(const Endpoint& endpoint, std::unique_ptr<TcpStream> stream,
                          Duration kept_for) {
  std::vector<Idle>& idle = idle_[endpoint];
  DropEnded(&idle);
  if (idle.size() >= kMaxIdlePerServer) return;
  const std::int64_t number = ++last_number_;
  TcpStream::Hooks hooks;
  hooks.on_data = [this, endpoint, number](std::string_view) { Drop(endpoint, number); };
  hooks.on_end = [this, endpoint, number](TcpEnd) { Drop(endpoint, number); };
  stream->SetHooks(std::move(hooks));
  idle.push_back({number, std::move(stream), clock_() + kept_for});
}

void ConnectionPool::Drop(const Endpoint& endpoint, std::int64_t number) {
  const auto found = idle_.find(endpoint);
  if (found == idle_.end()) return;
  std::erase_if(found->second, [number](const Idle& one) { return one.number == number; });
  if (found->second.empty()) idle_.erase(found);
}

void ConnectionPool::DropEnded(std::vector<Idle>* idle) {
  const Instant now = clock_();
  std::erase_if(*idle, [now](const Idle& one) { return one.ends <= now; });
}

}  // namespace kumquat::Internal

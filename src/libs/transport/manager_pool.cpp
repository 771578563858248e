#include "transport/manager_pool.h"

#include <QNetworkProxy>
#include <utility>

namespace kumquat::Internal {
namespace {

constexpr std::size_t kMaxIdle = 64;

}  // namespace

ManagerPool::Manager ManagerPool::MakeNew() {
  auto manager = std::make_unique<QNetworkAccessManager>();
  manager->setProxy(QNetworkProxy::NoProxy);
  manager->setRedirectPolicy(QNetworkRequest::ManualRedirectPolicy);
  return manager;
}

ManagerPool::Manager ManagerPool::Take(const Endpoint& endpoint) {
  const auto found = idle_.find(endpoint);
  if (found == idle_.end()) return MakeNew();
  Manager manager = std::move(found->second.back());
  found->second.pop_back();
  if (found->second.empty()) idle_.erase(found);
  --idle_count_;
  return manager;
}

void ManagerPool::Return(const Endpoint& endpoint, Manager manager) {
  if (idle_count_ >= kMaxIdle) return;
  idle_[endpoint].push_back(std::move(manager));
  ++idle_count_;
}

}  // namespace kumquat::Internal

#include "coordination/forwarding/route_index.h"

#include <fmt/format.h>

#include <QByteArray>
#include <QCryptographicHash>
#include <algorithm>
#include <cctype>
#include <set>
#include <utility>

#include "protocol/key_digest.h"

namespace kumquat {
namespace {

// Digits of the hash that names a shared cache scope. Engines report it with each cached part.
constexpr qsizetype kSharedScopeDigits = 16;
// Before the name in the scope of an isolated organisation, so that it is no shared scope.
constexpr std::string_view kIsolatedPrefix = "=";

// Returns the host in lower case, without its port.
std::string NormalisedHost(std::string_view host) {
  std::string host_name(host.substr(0, host.rfind(':')));
  std::transform(host_name.begin(), host_name.end(), host_name.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return host_name;
}

}  // namespace

RouteIndex::RouteIndex(RoutingTable table) : table_(std::move(table)) {
  for (const Route& route : table_.routes) {
    const std::string_view prefix = route.path_prefix;
    routes_[route.host][std::string(prefix.substr(0, prefix.size() - 1))] = &route;
  }
  for (const RoutedOrganisation& organisation : table_.organisations) {
    for (const std::string& digest : organisation.key_digests) {
      organisations_[digest] = &organisation;
    }
  }
  for (const Service& service : table_.services) services_[service.name] = &service;
  FindUrgentRanks();
  NameSharedCacheScope();
}

// It stays empty while no organisation is isolated.
void RouteIndex::NameSharedCacheScope() {
  QCryptographicHash hash(QCryptographicHash::Sha256);
  for (const RoutedOrganisation& organisation : table_.organisations) {
    if (organisation.is_isolated) isolated_.insert(organisation.name);
  }
  if (isolated_.empty()) return;
  for (const std::string& name : isolated_) {
    hash.addData(QByteArray::number(static_cast<qulonglong>(name.size())) + ':');
    hash.addData(QByteArrayView(name.data(), static_cast<qsizetype>(name.size())));
  }
  shared_cache_scope_ = hash.result().toHex().first(kSharedScopeDigits).toStdString();
}

std::string RouteIndex::CacheScopeOf(std::string_view organisation) const {
  if (!IsIsolated(organisation)) return shared_cache_scope_;
  return fmt::format("{}{}", kIsolatedPrefix, organisation);
}

// A request has the rank of its organisation, or of its route if that has none.
void RouteIndex::FindUrgentRanks() {
  std::map<std::string, std::set<std::int64_t>> ranks;
  for (const Route& route : table_.routes) {
    std::set<std::int64_t> of_route;
    if (route.is_public || table_.organisations.empty()) of_route.insert(route.rank);
    for (const RoutedOrganisation& organisation : table_.organisations) {
      of_route.insert(organisation.rank.value_or(route.rank));
    }
    for (const ServiceShare& share : route.services) {
      ranks[share.service].insert(of_route.begin(), of_route.end());
    }
  }
  for (const auto& [service, of_service] : ranks) {
    if (of_service.size() > 1) urgent_ranks_[service] = *of_service.begin();
  }
}

std::optional<std::int64_t> RouteIndex::UrgentRank(std::string_view service) const {
  const auto found = urgent_ranks_.find(service);
  return found != urgent_ranks_.end() ? std::optional(found->second) : std::nullopt;
}

const Route* RouteIndex::FindRoute(std::string_view host, std::string_view path) const {
  const auto of_host = routes_.find(NormalisedHost(host));
  if (of_host == routes_.end()) return nullptr;
  // Every prefix ends with a slash, so a lookup is needed only at each slash of the path.
  for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
    const auto found = of_host->second.find(std::string(path.substr(0, slash)));
    if (found != of_host->second.end()) return found->second;
  }
  return nullptr;
}

const RoutedOrganisation* RouteIndex::FindOrganisation(std::string_view key) const {
  if (key.empty()) return nullptr;
  const auto found = organisations_.find(KeyDigest(key));
  return found != organisations_.end() ? found->second : nullptr;
}

const Service* RouteIndex::FindService(std::string_view name) const {
  const auto found = services_.find(name);
  return found != services_.end() ? found->second : nullptr;
}

const std::string& RouteIndex::PickService(const Route& route, const Random& random) {
  std::int64_t sum = 0;
  for (const ServiceShare& share : route.services) sum += share.weight;
  auto drawn = static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(sum));
  for (const ServiceShare& share : route.services) {
    drawn -= share.weight;
    if (drawn < 0) return share.service;
  }
  return route.services.back().service;
}

bool RouteIndex::LeadsTo(const Route& route, std::string_view service) {
  return std::any_of(route.services.begin(), route.services.end(),
                     [service](const ServiceShare& share) { return share.service == service; });
}

}  // namespace kumquat

// Looks up the route, organisation and service of a request in the routing table.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "protocol/routing_table.h"
#include "utils/hooks.h"

namespace kumquat {

// One version of the routing table, indexed for lookups. Returned pointers and references point
// into the index and are valid as long as it lives.
class RouteIndex {
 public:
  explicit RouteIndex(RoutingTable table);
  RouteIndex(const RouteIndex&) = delete;
  RouteIndex& operator=(const RouteIndex&) = delete;

  const RoutingTable& table() const { return table_; }

  // Returns the route of the host with the longest path prefix that matches `path`; null when there
  // is none. A port in `host` is ignored.
  const Route* FindRoute(std::string_view host, std::string_view path) const;

  // Returns the organisation that the API key belongs to; null when there is none.
  const RoutedOrganisation* FindOrganisation(std::string_view key) const;

  // Returns the service of this name; null when there is none.
  const Service* FindService(std::string_view name) const;

  // Returns the lowest rank that a request to the service can have, if they can have different
  // ones; nullopt if all are equally urgent.
  std::optional<std::int64_t> UrgentRank(std::string_view service) const;

  bool IsIsolated(std::string_view organisation) const { return isolated_.contains(organisation); }

  // Returns the scope within which the organisation's requests may use cached parts of others: its
  // own if it is isolated, else one that is shared by the organisations which aren't. The shared
  // scope is another one for each set of isolated organisations. So what an organisation left there
  // before it was isolated isn't found by others afterwards, by any process, whichever versions of
  // the table it has seen.
  std::string CacheScopeOf(std::string_view organisation) const;

  // Returns one of the route's services, drawn at random in proportion to their weights. The result
  // is a part of `route`.
  static const std::string& PickService(const Route& route, const Random& random);

  // Returns whether the service is one of the route's.
  static bool LeadsTo(const Route& route, std::string_view service);

 private:
  void FindUrgentRanks();
  void NameSharedCacheScope();

  RoutingTable table_;
  // By host, and by path prefix without its trailing slash. A caller may write what it likes into
  // the host, slashes too.
  std::unordered_map<std::string, std::unordered_map<std::string, const Route*>> routes_;
  // By digest of the API key.
  std::unordered_map<std::string, const RoutedOrganisation*> organisations_;
  std::map<std::string, const Service*, std::less<>> services_;
  // By service; only those whose requests can have different ranks.
  std::map<std::string, std::int64_t, std::less<>> urgent_ranks_;
  // Names of the isolated organisations.
  std::set<std::string, std::less<>> isolated_;
  std::string shared_cache_scope_;
};

}  // namespace kumquat

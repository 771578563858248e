// Finds what a request is about in the routing table.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "protocol/routing_table.h"
#include "utils/hooks.h"

namespace kumquat {

// One version of the routing table, made ready for lookups. What it returns lives as long as it.
class RouteIndex {
 public:
  explicit RouteIndex(RoutingTable table);
  RouteIndex(const RouteIndex&) = delete;
  RouteIndex& operator=(const RouteIndex&) = delete;

  const RoutingTable& table() const { return table_; }

  // Returns the route of this host (a port behind it doesn't count) with the longest prefix that
  // begins the path; null when there is none.
  const Route* FindRoute(std::string_view host, std::string_view path) const;

  // Returns the organisation that holds the key; null when nobody does.
  const RoutedOrganisation* FindOrganisation(std::string_view key) const;

  // Returns null for an unknown name.
  const Service* FindService(std::string_view name) const;

  // Returns one of the route's services, each as often as its weight says.
  static const std::string& PickService(const Route& route, const Random& random);

 private:
  RoutingTable table_;
  // By host and prefix, without the prefix's last slash.
  std::unordered_map<std::string, const Route*> routes_;
  std::unordered_map<std::string, const RoutedOrganisation*> organisations_;
  std::map<std::string, const Service*, std::less<>> services_;
};

}  // namespace kumquat

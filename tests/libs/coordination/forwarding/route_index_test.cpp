#include "coordination/forwarding/route_index.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "property.h"
#include "protocol/key_digest.h"

namespace kumquat {
namespace {

Route RouteAt(const std::string& host, const std::string& prefix) {
  Route route;
  route.name = host + prefix;
  route.host = host;
  route.path_prefix = prefix;
  route.services = {{"s", 1}};
  return route;
}

TEST_CASE("FindRoute returns the route of the host with the longest matching path prefix") {
  RoutingTable table;
  table.routes = {RouteAt("a.example", "/x/"), RouteAt("a.example", "/x/y/"),
                  RouteAt("b.example", "/")};
  const RouteIndex index(table);
  const auto name_of = [&](std::string_view host, std::string_view path) {
    const Route* route = index.FindRoute(host, path);
    return route ? route->name : std::string("-");
  };
  CHECK(name_of("a.example", "/x/y/z") == "a.example/x/y/");
  CHECK(name_of("A.Example:8080", "/x/yz") == "a.example/x/");
  CHECK(name_of("a.example", "/x/") == "a.example/x/");
  CHECK(name_of("a.example", "/x") == "-");
  CHECK(name_of("a.example", "/xy/") == "-");
  CHECK(name_of("a.example", "/") == "-");
  CHECK(name_of("b.example", "/anything") == "b.example/");
  CHECK(name_of("c.example", "/x/") == "-");
  CHECK(name_of("a.example", "") == "-");
}

// Guards against callers that reach any path of a service, its interface for orders too.
TEST_CASE("A host that holds a part of a route's path selects no route") {
  RoutingTable table;
  table.routes = {RouteAt("a.example", "/x/"), RouteAt("a.example", "/x/y/")};
  const RouteIndex index(table);
  for (const std::string host : {"a.example/x", "A.EXAMPLE/x", "a.example/x:80", "a.example/x/y",
                                 "a.example/x/", "/a.example/x", ""}) {
    CAPTURE(host);
    for (const char* path : {"/order", "/", "/y/z", "/x/y/z"}) {
      CHECK(index.FindRoute(host, path) == nullptr);
    }
  }
}

TEST_CASE("FindRoute agrees with a linear search over random routes") {
  CheckProperty("longest prefix", [] {
    const auto any_path = rc::gen::map(
        rc::gen::container<std::vector<int>>(*rc::gen::inRange(0, 4), rc::gen::inRange(0, 3)),
        [](const std::vector<int>& parts) {
          std::string path = "/";
          for (const int part : parts) path += std::string(1, static_cast<char>('a' + part)) + "/";
          return path;
        });
    RoutingTable table;
    for (const std::string& prefix : *rc::gen::container<std::vector<std::string>>(6, any_path)) {
      table.routes.push_back(RouteAt("h", prefix));
    }
    const RouteIndex index(table);
    const std::string path = *any_path + *rc::gen::element<std::string>("", "a", "b");
    std::size_t longest = 0;
    for (const Route& route : table.routes) {
      if (path.starts_with(route.path_prefix)) {
        longest = std::max(longest, route.path_prefix.size());
      }
    }
    const Route* found = index.FindRoute("h", path);
    RC_ASSERT((found ? found->path_prefix.size() : 0) == longest);
  });
}

TEST_CASE("An API key finds its organisation, and services are picked in proportion to weight") {
  RoutingTable table;
  table.organisations = {{"workshop", {KeyDigest("k1"), KeyDigest("k2")}, {}, false, {}}};
  Route route = RouteAt("h", "/");
  route.services = {{"never", 0}, {"often", 3}, {"seldom", 1}};
  const RouteIndex index(table);
  CHECK(index.FindOrganisation("k2")->name == "workshop");
  CHECK(!index.FindOrganisation("k3"));
  CHECK(!index.FindOrganisation(""));
  std::map<std::string, int> picked;
  for (std::uint64_t draw = 0; draw < 400; ++draw) {
    ++picked[RouteIndex::PickService(route, [draw] { return draw; })];
  }
  CHECK(picked["never"] == 0);
  CHECK(picked["often"] == 300);
  CHECK(picked["seldom"] == 100);
}

// Guards against requests that are taken for less urgent where all are equal, and the reverse.
TEST_CASE("A service has an urgent rank only if its requests can have different ones") {
  RoutingTable table;
  Route first = RouteAt("h", "/a/");
  first.rank = 4;
  Route second = RouteAt("h", "/b/");
  second.rank = 4;
  second.services = {{"s", 1}, {"t", 1}};
  table.routes = {first, second};
  CHECK(!RouteIndex(table).UrgentRank("s"));
  CHECK(!RouteIndex(table).UrgentRank("unknown"));
  table.routes[1].rank = 2;
  CHECK(RouteIndex(table).UrgentRank("s") == 2);
  CHECK(!RouteIndex(table).UrgentRank("t"));
  // An organisation's rank goes before the route's. Without a key, only public routes are open.
  table.organisations = {{"workshop", {KeyDigest("k")}, 3, false, {}}};
  CHECK(!RouteIndex(table).UrgentRank("s"));
  table.routes[0].is_public = true;
  CHECK(RouteIndex(table).UrgentRank("s") == 3);
  table.organisations.push_back({"desk", {KeyDigest("l")}, {}, false, {}});
  CHECK(RouteIndex(table).UrgentRank("s") == 2);
  CHECK(RouteIndex(table).UrgentRank("t") == 2);
}

// Whatever was cached under a scope in any earlier version may still be there. Guards against parts
// that cross the border of an isolated organisation after a change of the configuration.
TEST_CASE(
    "No history of configurations lets cached parts cross an isolated organisation's border") {
  CheckProperty("two organisations with one scope aren't isolated", [] {
    const std::vector<std::string> names = {"a", "b", "=b", "c"};
    std::map<std::string, std::set<std::string>> makers;
    const int versions = *rc::gen::inRange(1, 12);
    for (int version = 0; version < versions; ++version) {
      RoutingTable table;
      std::set<std::string> isolated;
      for (const std::string& name : names) {
        const int state = *rc::gen::inRange(0, 3);
        if (state == 0) continue;
        RoutedOrganisation organisation;
        organisation.name = name;
        organisation.is_isolated = state == 1;
        if (organisation.is_isolated) isolated.insert(name);
        table.organisations.push_back(organisation);
      }
      const RouteIndex index(table);
      for (const RoutedOrganisation& organisation : table.organisations) {
        std::set<std::string>& of_scope = makers[index.CacheScopeOf(organisation.name)];
        of_scope.insert(organisation.name);
        for (const std::string& maker : of_scope) {
          if (maker == organisation.name) continue;
          RC_ASSERT_FALSE(isolated.contains(maker));
          RC_ASSERT_FALSE(isolated.contains(organisation.name));
        }
      }
    }
  });
}

TEST_CASE(
    "The shared cache scope depends on which organisations are isolated and on nothing else") {
  const auto scope_with = [](const std::vector<RoutedOrganisation>& organisations,
                             std::int64_t version) {
    RoutingTable table;
    table.version = version;
    table.organisations = organisations;
    return RouteIndex(table).CacheScopeOf("");
  };
  RoutedOrganisation shared;
  shared.name = "shared";
  RoutedOrganisation isolated;
  isolated.name = "isolated";
  isolated.is_isolated = true;
  CHECK(scope_with({}, 1).empty());
  CHECK(scope_with({shared}, 2).empty());
  CHECK(scope_with({isolated}, 3) == scope_with({shared, isolated}, 4));
  CHECK(scope_with({isolated, shared}, 5) == scope_with({shared, isolated}, 6));
  CHECK(scope_with({isolated}, 7) != scope_with({shared}, 7));
}

}  // namespace
}  // namespace kumquat

// What operators configure about forwarding: routes, services, organisations and limits. Whatever
// interface a configuration came through, it compiles into this table.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "utils/endpoint.h"
#include "utils/hooks.h"

namespace kumquat {

// What may be repeated of a route's requests.
enum class RepeatRule {
  // A request may run any number of times.
  kRepeatable,
  // A request may run once at most.
  kOnce,
};

// One service among those that share a route's requests.
struct ServiceShare {
  std::string service;
  // Its part of the requests, against the sum over the route; 0 gets none.
  std::int64_t weight = 1;

  bool operator==(const ServiceShare&) const = default;
};

struct Route {
  std::string name;
  // In lower case.
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  RepeatRule repeat_rule = RepeatRule::kOnce;
  // The answer is a stream of events.
  bool is_stream = false;
  // A broken stream may be gone on with by another run, after the last event that went out.
  bool is_resumable = false;
  // The requests carry a prompt, so that where they run matters.
  bool has_prompt = false;
  // No key is needed.
  bool is_public = false;
  // How long a request may be kept waiting for the end of its answer.
  Duration timeout = std::chrono::seconds(30);
  // The time within which an answer, or a stream's first event, is of full use.
  Duration objective = std::chrono::seconds(1);
  // The longest pause between events of a stream that is on time; 0 where none is set.
  Duration longest_pause{0};
  // Most backend servers that one request may run on.
  std::int64_t attempts = 1;
  // 0 goes first.
  std::int64_t rank = 0;
  std::vector<ServiceShare> services;

  // Whether a request may be sent again after an attempt that may have run.
  bool may_repeat() const { return repeat_rule == RepeatRule::kRepeatable || is_resumable; }

  bool operator==(const Route&) const = default;
};

// What the engines of a service are like.
struct EngineProfile {
  // Requests that run at once.
  std::int64_t slots = 1;
  // Tokens that running requests and cached parts share.
  std::int64_t memory_tokens = 0;
  std::int64_t bytes_per_token = 0;
  std::int64_t link_mbps = 0;
  // Reads of cache events that one engine holds open at once.
  std::int64_t event_reads = 0;
  // A run can be stopped and gone on with at another engine.
  bool moves_runs = false;
  // Another engine can keep a copy of a run while it runs.
  bool backs_up_runs = false;
  std::vector<std::string> models;

  bool operator==(const EngineProfile&) const = default;
};

// A store of kept cache, which no request is routed to.
struct CacheStore {
  Endpoint endpoint;
  std::string failure_domain;
  std::int64_t memory_tokens = 0;
  std::int64_t link_mbps = 0;
  std::int64_t event_reads = 0;

  bool operator==(const CacheStore&) const = default;
};

struct Service {
  std::string name;
  std::string health_path;
  // Connections that each of its backend servers takes, from all callers together.
  std::int64_t max_connections = 0;
  std::optional<EngineProfile> engine;
  std::optional<CacheStore> store;

  bool operator==(const Service&) const = default;
};

// How much an organisation may send over all routers together, in units.
struct OrganisationQuota {
  std::int64_t rate_per_second = 0;
  std::int64_t burst = 0;
  // A unit is a token of the prompt or of the longest answer; otherwise each request is one unit.
  bool counts_tokens = false;
  // The units of a request that names no tokens, where tokens are counted.
  std::int64_t units_without_count = 1;

  bool operator==(const OrganisationQuota&) const = default;
};

struct RoutedOrganisation {
  std::string name;
  // SHA-256 digests of its keys, in hexadecimal.
  std::vector<std::string> key_digests;
  // Goes before the rank of the route where it is given; 0 goes first.
  std::optional<std::int64_t> rank;
  // Shares no cached part with any other organisation.
  bool is_isolated = false;
  // Nothing where it may send without limit.
  std::optional<OrganisationQuota> quota;

  bool operator==(const RoutedOrganisation&) const = default;
};

// What callers may send, and how long they may take. Nothing set means the instance's own limits.
struct CallerLimits {
  std::optional<std::int64_t> max_header_bytes;
  std::optional<std::int64_t> max_body_bytes;
  std::optional<Duration> header_timeout;
  std::optional<Duration> idle_timeout;

  bool operator==(const CallerLimits&) const = default;
};

struct RoutingTable {
  std::int64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  // Where there are any, requests need a key, unless their route is public.
  std::vector<RoutedOrganisation> organisations;
  CallerLimits limits;

  bool operator==(const RoutingTable&) const = default;
};

// Returns why the table can't be obeyed, in one sentence; nothing when it can: a route to an
// unknown service, two routes at one place, weights that add up to 0, a timeout of 0, a key of two
// organisations, a malformed prefix.
std::optional<std::string> ProblemOf(const RoutingTable& table);

// Encodes the table in CBOR.
std::string Encode(const RoutingTable& table);

// Returns nothing when the bytes aren't a table.
std::optional<RoutingTable> DecodeRoutingTable(std::string_view bytes);

}  // namespace kumquat

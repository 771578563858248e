#include "router_settings.h"

namespace kumquat {
namespace {

constexpr SettingRange kPositive{1, 1'000'000'000};
constexpr SettingRange kMillis{1, 3'600'000};

}  // namespace

SettingsReader DeclareRouterSettings(RouterSettings* s) {
  SettingsReader reader;
  reader.Add("instance", &s->instance, "Name of this instance, unique among the routers.")
      .Required();
  reader.Add("failure_domain", &s->failure_domain, "Failure domain that this instance is in.")
      .Required();
  reader.Add("log_level", &s->log_level, "Lowest level logged: debug, info, warning or error.");
  reader.Add("listen", &s->listen, "Where callers and backend servers reach this router.");
  reader.Add("peer_listen", &s->peer_listen, "Where the other routers reach this router.");
  reader.Add("peers", &s->peers, "The other routers, each as \"name@ip:port\" of its peer_listen.");
  reader.Add("control", &s->control, "The control replicas, each as \"name@ip:port\".").Required();
  reader.Add("limits.max_header_bytes", &s->max_header_bytes, {1024, 1024 * 1024},
             "Longest header of a request, in bytes.");
  reader.Add("limits.max_body_bytes", &s->max_body_bytes, kPositive,
             "Longest body of a request, in bytes.");
  reader.Add("limits.max_connections", &s->max_connections, kPositive,
             "Connections of callers and backend servers at once.");
  reader.Add("limits.max_pending_bytes", &s->max_pending_bytes, kPositive,
             "Bytes kept for a caller that reads slowly; past them its request is cancelled.");
  reader.Add("limits.max_queued_requests", &s->max_queued_requests, kPositive,
             "Requests that wait for a backend server.");
  reader.Add("limits.max_index_entries", &s->max_index_entries, kPositive,
             "Beliefs kept in the prefix index.");
  reader.Add("timeouts.connect_ms", &s->connect_timeout, kMillis,
             "Longest time to connect to a backend server, in milliseconds.");
  reader.Add("timeouts.first_byte_ms", &s->first_byte_timeout, kMillis,
             "Longest silence before an engine's first byte, in milliseconds.");
  reader.Add("timeouts.between_bytes_ms", &s->between_bytes_timeout, kMillis,
             "Longest silence within an answer, in milliseconds.");
  reader.Add("timeouts.service_ms", &s->service_timeout, kMillis,
             "Longest silence before a plain service's first byte, in milliseconds.");
  reader.Add("timeouts.request_ms", &s->request_deadline, kMillis,
             "Longest time for a whole request, in milliseconds.");
  reader.Add("membership.keeper_silence_ms", &s->keeper_silence, kMillis,
             "Silence of a backend server before its keepers probe it, in milliseconds.");
  reader.Add("membership.cache_poll_ms", &s->cache_poll_interval, kMillis,
             "Interval between reads of an engine's cache events, in milliseconds.");
  reader.Add("lease.renew_ms", &s->lease_interval, {50, 2500},
             "Interval between renewals of the plan lease, in milliseconds.");
  return reader;
}

}  // namespace kumquat

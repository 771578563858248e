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
  AddLogSettings(reader, &s->log);
  reader.Add("listen", &s->listen, "Where callers and backend servers reach this router.");
  reader.Add("peer_listen", &s->peer_listen, "Where the other routers reach this router.");
  reader.Add("peers", &s->peers, "The other routers, each as \"name@ip:port\" of its peer_listen.");
  reader.Add("control", &s->control,
             "The control replicas, each as \"name@ip:port\", where the chat interface is served.");
  ForwardSettings& f = s->forward;
  reader.Add(
      "forward.control_seeds", &f.control_seeds,
      "Control replicas through which the others are found. Where there are any, this router "
      "forwards requests by the routing table instead of serving the chat interface.");
  reader.Add("forward.control_port", &s->control_port, {0, 65535},
             "The port at which control replicas talk to routers, instead of that of the seeds.");
  reader.Add("forward.ready_listen", &f.ready_listen,
             "Where the balancer asks whether this router takes requests.");
  reader.Add("forward.metrics_listen", &f.metrics_listen, "Where the metrics are served.");
  reader.Add("forward.repeat_ratio", &f.repeats.ratio,
             "Arrivals beyond the first of each request that a service allows, for each request.");
  reader.Add("forward.repeat_slack", &f.repeats.slack,
             "The same beside that, in ten seconds, over all routers.");
  reader.Add("forward.memory_mb", &f.memory_mb, {16, 1'000'000},
             "Memory that this process may use, in megabytes.");
  reader.Add("forward.max_descriptors", &f.max_descriptors, {0, 1'000'000},
             "Descriptors that this process may have open; 0 for the limit that it is started "
             "with. Callers get a part of them.");
  reader.Add("forward.weights_longest_lag_ms", &f.weights_longest_lag, kMillis,
             "An engine whose weights have been replaced for longer gets no requests.");
  reader.Add("forward.begin_within", &f.admission.begin_within,
             "A request is sent if it is expected to begin within this part of its objective.");
  reader.Add("forward.prior_us_per_token", &f.engine_model.prior_us_per_token,
             "Microseconds that an engine is taken to need for a prompt token until answers show "
             "it.");
  reader.Add("forward.learn_engine_speeds", &f.engine_model.learns,
             "Whether engines' times until their first events are learnt from answers.");
  reader.Add("forward.move_runs", &f.moves_runs,
             "Whether streams are moved off engines that load weights.");
  reader.Add("forward.back_up_runs", &f.backs_up_runs,
             "Whether streams that can't resume are backed up at a second engine.");
  reader.Add("forward.grace_ms", &f.grace, kMillis,
             "Longest time for a graceful stop, in milliseconds.");
  reader.Add("limits.max_header_bytes", &s->max_header_bytes, {1024, 1024 * 1024},
             "Longest header of a request, in bytes.");
  reader.Add("limits.max_body_bytes", &s->max_body_bytes, kPositive,
             "Longest body of a request, in bytes.");
  reader.Add("limits.max_connections", &s->max_connections, kPositive,
             "Connections of callers and backend servers at once.");
  reader.Add("limits.max_request_bytes", &s->max_request_bytes, kPositive,
             "Bytes kept of all requests; past them those that don't come on are refused.");
  reader.Add("limits.max_pending_bytes", &s->max_pending_bytes, kPositive,
             "Bytes kept for a caller that reads slowly; past them its request is cancelled.");
  reader.Add("limits.max_answer_bytes", &s->max_answer_bytes, kPositive,
             "Bytes kept of all answers; past them the largest are given up.");
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

ForwardSettings RouterSettings::ForForwarding() const {
  ForwardSettings settings = forward;
  settings.instance = instance;
  settings.failure_domain = failure_domain;
  settings.listen = listen;
  if (control_port == 0) return settings;
  for (Endpoint& seed : settings.control_seeds) {
    seed.port = static_cast<std::uint16_t>(control_port);
  }
  return settings;
}

}  // namespace kumquat

// The settings of kumquat-router.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "forwarding/forward_settings.h"
#include "utils/endpoint.h"
#include "utils/hooks.h"
#include "utils/log_settings.h"
#include "utils/settings.h"

namespace kumquat {

struct RouterSettings {
  std::string instance;
  std::string failure_domain;
  LogSettings log;
  Endpoint listen{"127.0.0.1", 8080};
  Endpoint peer_listen{"127.0.0.1", 8081};
  std::vector<NamedEndpoint> peers;
  std::vector<NamedEndpoint> control;

  std::int64_t max_header_bytes = 32 * 1024;
  std::int64_t max_body_bytes = 16 * 1024 * 1024;
  std::int64_t max_connections = 10'000;
  std::int64_t max_request_bytes = 32 * 1024 * 1024;
  std::int64_t max_pending_bytes = 1024 * 1024;
  std::int64_t max_answer_bytes = 32 * 1024 * 1024;
  std::int64_t max_queued_requests = 1'000;
  std::int64_t max_index_entries = 200'000;

  Duration connect_timeout = std::chrono::milliseconds(500);
  Duration first_byte_timeout = std::chrono::seconds(20);
  Duration between_bytes_timeout = std::chrono::seconds(3);
  Duration service_timeout = std::chrono::seconds(30);
  Duration request_deadline = std::chrono::seconds(120);
  Duration keeper_silence = std::chrono::milliseconds(1500);
  Duration cache_poll_interval = std::chrono::milliseconds(200);
  Duration lease_interval = std::chrono::seconds(1);

  // Used instead of most of the above where it names control seeds.
  ForwardSettings forward;
  std::int64_t control_port = 0;

  bool forwards() const { return !forward.control_seeds.empty(); }

  // Returns the settings for forwarding, completed by those that both interfaces share.
  ForwardSettings ForForwarding() const;
};

// Declares every key; the reader writes into `settings`.
SettingsReader DeclareRouterSettings(RouterSettings* settings);

}  // namespace kumquat

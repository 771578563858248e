// What a backend server says of itself.
#pragma once

#include <QJsonObject>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/lists.h"
#include "utils/endpoint.h"

namespace kumquat {

enum class BackendKind { kEngine, kService, kCacheStore };
enum class BackendState { kServing, kLeaving };

// An operation of a plain service: a method and a path below the service's name.
struct ServiceOperation {
  std::string method;
  std::string path;
  // Whether the call may be sent again after an attempt that may have run.
  bool repeatable = false;

  bool operator==(const ServiceOperation&) const = default;
};

// The load that an engine reports; it lags behind the truth.
struct BackendLoad {
  std::int64_t running_requests = 0;
  std::int64_t queued_requests = 0;
  // Prompt tokens that wait for prefill.
  std::int64_t queued_tokens = 0;

  bool operator==(const BackendLoad&) const = default;
};

// One announcement. Announcements of a backend server are ordered by (incarnation, sequence).
struct Announcement {
  std::string backend_id;
  Endpoint endpoint;
  std::string failure_domain;
  BackendKind kind = BackendKind::kEngine;
  // Grows with each start of the process; its cache is empty at the start.
  std::int64_t incarnation = 0;
  std::int64_t sequence = 0;
  BackendState state = BackendState::kServing;
  // Version of the server's software, not of its models; empty if it names none.
  std::string software_version;
  // Engines: what is loaded.
  std::vector<ModelVersion> models;
  // Engines: most models that can be loaded at once; 0 for as many as are loaded now.
  std::int64_t model_slots = 0;
  // Services: name and operations.
  std::string service;
  std::vector<ServiceOperation> operations;
  // Whether an order with an old fencing number is refused.
  bool checks_fencing = false;
  // Requests that may run at once.
  std::int64_t concurrent_requests = 1;
  // Milliseconds of prefill for a thousand prompt tokens.
  double prefill_ms_per_1k_tokens = 0;
  BackendLoad load;

  bool operator==(const Announcement&) const = default;
};

QJsonObject ToJson(const Announcement& announcement);

// Returns nothing for an absurd announcement and puts the reason in `reason`.
std::optional<Announcement> ParseAnnouncement(const QJsonObject& json, std::string* reason);

}  // namespace kumquat

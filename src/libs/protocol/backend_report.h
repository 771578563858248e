// What a router tells the control leader of the backend servers: parameters of backends.report.
#pragma once

#include <QJsonObject>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "protocol/announcement.h"
#include "protocol/lists.h"

namespace kumquat {

// Requests that run or wait for a model at one router.
struct ModelRequests {
  ModelVersion model;
  std::int64_t requests = 0;

  bool operator==(const ModelRequests&) const = default;
};

// The newest announcement of each engine that the router keeps, and the router's own demand. Sent
// about once a second; what isn't repeated for some seconds counts as gone.
struct BackendReport {
  std::string router_id;
  std::vector<Announcement> announcements;
  std::vector<ModelRequests> demand;

  bool operator==(const BackendReport&) const = default;
};

QJsonObject ToJson(const BackendReport& report);

// Returns nothing for content that is not valid, with the reason in `reason`.
std::optional<BackendReport> ParseBackendReport(const QJsonObject& json, std::string* reason);

}  // namespace kumquat

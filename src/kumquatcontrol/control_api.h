// What a control replica offers to backend servers and operators, whatever way they speak.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "protocol/announcement.h"
#include "protocol/document.h"

namespace kumquat {

struct ControlApi {
  using OnDone = std::function<void(bool acknowledged)>;

  // A backend server says how it is. Acknowledged only by a replica in contact with a majority,
  // since only then all routers are sure to learn of it; if the server is leaving, see `leave`.
  std::function<void(const Announcement& announcement, OnDone done)> announce;

  // A backend server says that it goes. Acknowledged once a majority of the replicas holds that, so
  // that it isn't lost with this one.
  std::function<void(const std::string& backend_id, OnDone done)> leave;

  // Sets a document. Acknowledged once a majority has stored it or one of a higher version.
  std::function<void(const Document& document, OnDone done)> put_document;

  // Reads the newest document of this name; not confirmed where the replica can't be sure.
  using OnRead = std::function<void(bool is_confirmed, const std::optional<Document>& document)>;
  std::function<void(const std::string& name, OnRead done)> read_document;
};

}  // namespace kumquat

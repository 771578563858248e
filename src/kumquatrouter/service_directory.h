// Finds the plain services that backend servers offer.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "coordination/requests/backend_choice.h"
#include "utils/hooks.h"

namespace kumquat {

class MemberTable;

// What a call needs to know of the operation that it names.
struct ServiceTarget {
  std::string service;
  std::string method;
  // Below the service's name, with the leading slash.
  std::string path;
  bool repeatable = false;
};

class ServiceDirectory {
 public:
  ServiceDirectory(const MemberTable* table, Clock clock);

  // Returns the operation; nothing when no backend server that is known offers it. It counts as
  // repeatable only when all that offer it say so.
  std::optional<ServiceTarget> Find(std::string_view service, std::string_view method,
                                    std::string_view path) const;

  // Returns the backend server with the fewest of this router's calls: none of `avoid` where
  // another one can serve, and one that is said to be down only when there is no other.
  std::optional<BackendChoice> Choose(const ServiceTarget& target,
                                      std::span<const BackendChoice> avoid) const;

  // Returns how many backend servers can serve it that aren't said to be down.
  std::size_t CountUp(const ServiceTarget& target) const;

  // Count the calls under way.
  void Started(const std::string& backend_id) { ++running_[backend_id]; }
  void Stopped(const std::string& backend_id) { --running_[backend_id]; }

 private:
  const MemberTable* table_;
  Clock clock_;
  std::map<std::string, std::int64_t> running_;
};

}  // namespace kumquat

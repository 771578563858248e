// The backend servers that a router may send requests to, with the health that the router itself
// has observed of each.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/membership/member_record.h"
#include "coordination/requests/backend_choice.h"
#include "transport/backend_client.h"
#include "utils/endpoint.h"
#include "utils/hooks.h"

namespace kumquat {

// One incarnation of a backend server: what control announces about it, and what this router
// observed.
struct PooledBackend {
  std::string id;
  std::int64_t incarnation = 0;
  Endpoint endpoint;
  std::string failure_domain;
  std::string service;
  // Version of its software; empty if it isn't known.
  std::string software_version;
  std::int64_t slots = 1;
  bool is_leaving = false;
  // Last known version of the weights, by model.
  std::map<std::string, std::int64_t, std::less<>> weights;

  // Until this time, according to control, the server loads weights and takes no new requests.
  Instant loading_until{0};
  // Until this time, according to control, a server that is to load surely gets no order; 0 if it
  // may have one.
  Instant unordered_until{0};

  // Requests of this router that are in progress on the server.
  std::int64_t in_flight = 0;
  // Consecutive failures, and the end of the backoff that they cause.
  int failures = 0;
  Instant backoff_until{0};
  // After the backoff, a probe must connect before requests are sent again: a request sent to a
  // server that is gone costs its caller the whole connect timeout.
  bool needs_probe = false;
  // How often another server answered at its address since its last own answer.
  int misdirected = 0;
  // Moving average of the share of its answers that failed, from 0 to 1.
  double failure_rate = 0;

  BackendChoice choice() const { return {id, incarnation}; }

  bool is_usable(Instant now) const {
    return !needs_probe && now >= backoff_until && now >= loading_until;
  }

  // Returns the version of the model's weights; 0 when it isn't known.
  std::int64_t VersionOf(std::string_view model) const;
};

class BackendPool {
 public:
  // Applies a membership record from control. A newer incarnation starts with a clean health state;
  // records of an older one are ignored.
  void Update(const MemberRecord& record);

  // Removes the backend servers that are no longer known and have no request in flight.
  void Retain(const std::function<bool(std::string_view id)>& is_known);

  // Returns the backend server, owned by the pool; null when this incarnation isn't known.
  PooledBackend* Find(const BackendChoice& choice);

  using Filter = std::function<bool(const PooledBackend& backend)>;

  // Returns the backend servers of the service that are neither leaving nor in `avoid` and pass the
  // filter, if there is one, and of these only the usable ones (is_usable) if there are any.
  // Otherwise the unusable ones are returned, since wrong health data must not take the whole
  // service down.
  std::vector<PooledBackend*> Candidates(std::string_view service,
                                         std::span<const BackendChoice> avoid, Instant now,
                                         const Filter& filter = {});

  // Returns the backend servers that need a probe and whose backoff is over.
  std::vector<PooledBackend*> DueForProbe(Instant now);

  // Returns a random healthy backend server other than the suspect, to be probed along with it;
  // null when there is none.
  const PooledBackend* PickProbeWitness(const BackendChoice& suspect, Instant now,
                                        const Random& random);

  // Returns whether the pool has a backend server of the service that isn't leaving.
  bool HasAny(std::string_view service) const;

  // The same for servers with this version of their software, other than `except`.
  bool HasVersion(std::string_view service, std::string_view software_version,
                  const BackendChoice& except = {}) const;

  void OnSent(PooledBackend& backend) { ++backend.in_flight; }
  void OnEnded(PooledBackend& backend) { --backend.in_flight; }

  // The server answered, in full or with the beginning of a stream; `is_failure` when the answer is
  // an error that the server itself returned.
  static void OnAnswer(PooledBackend& backend, bool is_failure);

  // A call failed before it was answered in full.
  static void OnFailure(PooledBackend& backend, CallFailure failure, Instant now);

  // Another server answered at its address. The backoff grows each time, since it may be that no
  // other process ever reports that the server is gone.
  static void OnMisdirected(PooledBackend& backend, Instant now);

  // A probe connected to the server. `failures` is kept until the server answers a request, so that
  // another failure before that leads to a longer backoff.
  static void OnReachable(PooledBackend& backend);

 private:
  std::map<std::string, std::unique_ptr<PooledBackend>, std::less<>> backends_;
};

// Chooses a backend server by load: the one with the fewest requests per slot. Servers in another
// failure domain and servers that fail part of their requests count as busier. Ties are broken at
// random. Returns null when there are no candidates.
PooledBackend* ChooseLeastBusy(std::span<PooledBackend* const> candidates,
                               std::string_view failure_domain, const Random& random);

}  // namespace kumquat

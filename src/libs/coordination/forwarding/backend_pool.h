// The backend servers that a router may send requests to, with what it found out about each itself.
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

// One incarnation of a backend server.
struct PooledBackend {
  std::string id;
  std::int64_t incarnation = 0;
  Endpoint endpoint;
  std::string failure_domain;
  std::string service;
  std::int64_t slots = 1;
  bool is_leaving = false;
  // Version of the weights by model, as last heard.
  std::map<std::string, std::int64_t, std::less<>> weights;

  // Until when control says that it takes no new requests, as it loads weights.
  Instant loading_until{0};

  // Requests of this router that it has now.
  std::int64_t in_flight = 0;
  // Failures in a row, and until when nothing is sent because of them.
  int failures = 0;
  Instant backoff_until{0};
  // Nothing is sent after that either, until a new connection to it has come about: whatever is
  // sent to a server that is gone costs a caller the whole connect timeout.
  bool needs_probe = false;
  // How often in a row another server answered at its address.
  int misdirected = 0;
  // Share of its latest answers that failed, from 0 to 1.
  double failure_rate = 0;

  BackendChoice choice() const { return {id, incarnation}; }

  bool is_usable(Instant now) const {
    return !needs_probe && now >= backoff_until && now >= loading_until;
  }

  // Returns the version of this model's weights; 0 when it isn't known.
  std::int64_t VersionOf(std::string_view model) const;
};

class BackendPool {
 public:
  // Takes in what control tells.
  void Update(const MemberRecord& record);

  // Drops those that the table doesn't hold any more and that have nothing in flight.
  void Retain(const std::function<bool(std::string_view id)>& is_known);

  // Returns null when this incarnation isn't known.
  PooledBackend* Find(const BackendChoice& choice);

  // Returns those of the service that may be sent new requests: neither leaving nor in the list to
  // avoid, and neither loading nor shunned at the moment. Where all others are, those come too: a
  // wrong finding must not take the whole service out.
  std::vector<PooledBackend*> Candidates(std::string_view service,
                                         std::span<const BackendChoice> avoid, Instant now);

  // Returns those that have been left alone long enough for a new connection to be tried.
  std::vector<PooledBackend*> DueForProbe(Instant now);

  // Returns one of the others that nothing speaks against, drawn by lot; null when there is none.
  const PooledBackend* DrawWitness(const BackendChoice& suspect, Instant now, const Random& random);

  // Returns whether any backend server of the service is known that isn't leaving.
  bool HasAny(std::string_view service) const;

  void OnSent(PooledBackend& backend) { ++backend.in_flight; }
  void OnEnded(PooledBackend& backend) { --backend.in_flight; }

  // An answer came, whole or as a stream that has begun; `is_failure` for one of its own errors.
  static void OnAnswer(PooledBackend& backend, bool is_failure);

  // A call to it failed without an answer.
  static void OnFailure(PooledBackend& backend, CallFailure failure, Instant now);

  // Another server answered at its address. It is left alone for longer each time, as nobody else
  // may ever say that it is gone.
  static void OnMisdirected(PooledBackend& backend, Instant now);

  // A new connection to it came about. Its failures still count until it has answered a request.
  static void OnReachable(PooledBackend& backend);

 private:
  std::map<std::string, std::unique_ptr<PooledBackend>, std::less<>> backends_;
};

// Chooses a backend server for a request where only its load matters: the least busy one for its
// size, the nearer one among equals, and seldom one that fails part of its requests.
PooledBackend* ChooseLeastBusy(std::span<PooledBackend* const> candidates,
                               std::string_view failure_domain, const Random& random);

}  // namespace kumquat

// Acknowledges that a backend server leaves, once enough replicas hold that for it to survive the
// loss of the one that acknowledges.
#pragma once

#include <QJsonObject>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/membership/backend_directory.h"
#include "coordination/membership/member_record.h"
#include "protocol/departure.h"
#include "utils/hooks.h"

namespace kumquat {

// Asks a replica to hold that a backend server leaves.
struct DepartureRequest {
  std::string backend_id;
  // The record of the leaving incarnation; nullopt if the asking replica doesn't know the server.
  std::optional<MemberRecord> record;
};

// What the replica knows of the server now; nullopt if nothing.
struct DepartureAnswer {
  std::optional<MemberRecord> record;
};

QJsonObject ToJson(const DepartureRequest& request);
QJsonObject ToJson(const DepartureAnswer& answer);
// Both return nullopt if the message is malformed.
std::optional<DepartureRequest> ParseDepartureRequest(const QJsonObject& json);
std::optional<DepartureAnswer> ParseDepartureAnswer(const QJsonObject& json);

struct DepartureServiceHooks {
  using OnAnswer = std::function<void(const std::optional<DepartureAnswer>& answer)>;

  Clock clock;
  // The name of this replica.
  std::string self;
  // Returns the names of the replicas that vote in the log.
  std::function<std::vector<std::string>()> voters;
  // Returns whether this replica is in contact with a majority of them.
  std::function<bool()> in_contact;
  // Records the departure so that it outlasts a loss of all processes.
  std::function<void(const Departure& departure, std::function<void(bool recorded)> done)> record;
  // Asks a replica; the answer is nullopt if it couldn't be asked or didn't answer in time.
  std::function<void(const std::string& replica, const DepartureRequest& request,
                     OnAnswer on_answer)>
      ask;
};

// A server may say only once that it leaves, so nobody would learn of it again if it were lost with
// the replica that took it. Therefore a majority of the voters holds the record before the server
// gets its acknowledgement. Those that are left when some of them are lost tell the routers. The
// log has it too, for the case that all processes are lost at once.
class DepartureService {
 public:
  using OnDone = std::function<void(bool acknowledged)>;

  // `directory` is this replica's and outlives the service.
  DepartureService(DepartureServiceHooks hooks, BackendDirectory* directory);

  // The backend server says that it leaves and doesn't say which incarnation it is, so the latest
  // known one is meant. `done` gets false if no majority holds that in time, if it isn't recorded,
  // if no replica knows the server, or if another replica knows a later incarnation: the server
  // then asks again.
  void Leave(const std::string& backend_id, OnDone done);

  // The same for the incarnation of this announcement, which says that the server leaves.
  void Announce(const MemberRecord& leaving, OnDone done);

  // Handles the request of another replica.
  DepartureAnswer OnAsked(const DepartureRequest& request);

  // Asks again where no answer came, and gives up what is overdue; call it every few 10 ms.
  void Tick();

  // Servers go to another replica if they get no answer within a second.
  static constexpr Duration kPatience = std::chrono::milliseconds(900);
  static constexpr Duration kRetryInterval = std::chrono::milliseconds(100);

 private:
  struct Departure {
    std::string backend_id;
    // The incarnation that leaves; nullopt while no replica has told of any.
    std::optional<std::int64_t> incarnation;
    Instant begun_at{0};
    Instant retry_at{0};
    // Replicas that hold that it leaves, and those that said that they don't know the server.
    std::set<std::string> holders;
    std::set<std::string> unaware;
    OnDone done;
  };

  void Begin(const std::string& backend_id, std::optional<std::int64_t> incarnation, OnDone done);
  void AskOthers(std::int64_t number);
  void OnAnswer(std::int64_t number, const std::string& replica, const DepartureAnswer& answer);
  // Ends the departure if its outcome is known.
  void Check(std::int64_t number);
  void End(std::int64_t number, bool acknowledged);
  // Returns what this replica knows of the server.
  std::optional<MemberRecord> RecordOf(const std::string& backend_id) const;

  DepartureServiceHooks hooks_;
  BackendDirectory* directory_;
  std::map<std::int64_t, Departure> departures_;
  std::int64_t last_number_ = 0;
};

}  // namespace kumquat

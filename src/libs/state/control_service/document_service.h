// Setting and reading documents, and recording departures, through any replica.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <string_view>

#include <QJsonObject>

#include "protocol/document.h"
#include "state/control/control_state.h"
#include "utils/hooks.h"

namespace kumquat {

struct DocumentServiceHooks {
  Clock clock;
  // Calls a method of the control service at the leader, which may be this replica. The result is
  // empty when the leader isn't known or doesn't answer in time.
  using OnResult = std::function<void(const std::optional<QJsonObject>& result)>;
  std::function<void(std::string_view method, const QJsonObject& params, OnResult on_result)>
      call_leader;
  // Returns the index in the log up to which this replica has applied commands.
  std::function<std::uint64_t()> applied_index;
};

// Passes what operators and backend servers ask of this replica on to the leader, and asks again
// for a while where there is none, as elections are short.
class DocumentService {
 public:
  // A document that is read; nothing where none of the name was ever set.
  using OnRead = std::function<void(bool is_confirmed, const std::optional<Document>& document)>;

  // The state is this replica's and outlives the service.
  DocumentService(DocumentServiceHooks hooks, const ControlState* state);

  // Sets the document. `taken` tells that a majority has stored it or one of a higher version; else
  // the outcome is unknown.
  void Put(const Document& document, std::function<void(bool taken)> done);

  // Records that a backend server leaves. `recorded` tells that a majority has stored it; else the
  // outcome is unknown.
  void Record(const Departure& departure, std::function<void(bool recorded)> done);

  // Reads the newest document of this name. Not confirmed, where this replica can't be sure which
  // one is the newest.
  void Read(std::string_view name, OnRead done);

  // Answers what has waited long enough; called every few 10 ms and when commands were applied.
  void Tick();

 private:
  struct Call {
    std::int64_t number = 0;
    std::string method;
    QJsonObject params;
    Instant deadline{0};
    // When to ask again; nothing while an answer is awaited.
    std::optional<Instant> retry_at;
    std::function<void(const std::optional<QJsonObject>& result)> done;
  };

  struct Reading {
    std::string name;
    std::uint64_t index = 0;
    Instant deadline{0};
    OnRead done;
  };

  void CallLeader(std::string_view method, const QJsonObject& params,
                  std::function<void(const std::optional<QJsonObject>& result)> done);
  void Ask(std::int64_t number);
  void HandleResult(std::int64_t number, const std::optional<QJsonObject>& result);
  void AnswerReads();

  DocumentServiceHooks hooks_;
  const ControlState* state_;
  std::list<Call> calls_;
  std::list<Reading> readings_;
  std::int64_t last_number_ = 0;
};

}  // namespace kumquat

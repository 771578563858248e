// Finds out at a router where the streams began that callers take up.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/forwarding/stream_origins.h"
#include "protocol/stream_record.h"
#include "utils/hooks.h"

namespace kumquat {

enum class OriginVerdict {
  kKnown,
  // No process that could know it does.
  kUnknown,
  // Not all processes that could know it have answered.
  kUnconfirmed,
};

// Returns the verdict's name for logs.
std::string_view OriginVerdictName(OriginVerdict verdict);

struct OriginAnswer {
  OriginVerdict verdict = OriginVerdict::kUnconfirmed;
  // Set if it is known.
  std::optional<StreamOrigin> origin;
};

struct OriginLookupHooks {
  Clock clock;
  // Asks all linked replicas for the stream; returns how many were asked. Each answers by OnTold()
  // with the number.
  std::function<std::size_t(std::int64_t number, const std::string& key)> ask;
};

// Keeps the records of the streams that this router began or went on with, and asks the control
// replicas for others.
class OriginLookup {
 public:
  using OnAnswer = std::function<void(const OriginAnswer& answer)>;

  explicit OriginLookup(OriginLookupHooks hooks) : hooks_(std::move(hooks)) {}

  // A stream's event was passed on to its caller. The record is told to replicas with the next
  // report.
  void Note(const StreamRecord& record);

  // Returns the records to report since the last call.
  std::vector<StreamRecord> TakeNews();

  // Returns all records, for replicas that may lack some.
  std::vector<StreamRecord> Records() const { return origins_.Records(hooks_.clock()); }

  // Looks the stream up. `on_answer` is called once, maybe before this returns.
  void Find(const std::string& key, OnAnswer on_answer);

  // A replica answers a question; `origin` is nullopt if it doesn't know the stream.
  void OnTold(std::int64_t number, const std::optional<StreamOrigin>& origin);

  // Ends questions that wait for too long, and asks again. Call it every few 10 ms.
  void Tick();

 private:
  struct Question {
    std::string key;
    OnAnswer on_answer;
    std::size_t unanswered = 0;
    int rounds = 1;
    Instant asked_at{0};
  };

  void Ask(Question question);
  void Answer(std::map<std::int64_t, Question>::iterator question, const OriginAnswer& answer);

  OriginLookupHooks hooks_;
  StreamOrigins origins_;
  std::vector<StreamRecord> news_;
  std::int64_t last_number_ = 0;
  std::map<std::int64_t, Question> questions_;
};

}  // namespace kumquat

#include "coordination/forwarding/origin_lookup.h"

#include <utility>

namespace kumquat {
namespace {

// Replicas of one region answer within milliseconds.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(250);
// A router reports the streams that it has begun every few 10 ms, and its caller may come back
// sooner: it is asked for once more after this time.
constexpr Duration kReportDelay = std::chrono::milliseconds(60);
constexpr int kRounds = 2;

}  // namespace

std::string_view OriginVerdictName(OriginVerdict verdict) {
  switch (verdict) {
    case OriginVerdict::kKnown:
      return "known";
    case OriginVerdict::kUnknown:
      return "unknown";
    case OriginVerdict::kUnconfirmed:
      break;
  }
  return "unconfirmed";
}

void OriginLookup::Note(const StreamRecord& record) {
  origins_.Add(record, hooks_.clock());
  news_.push_back(record);
}

std::vector<StreamRecord> OriginLookup::TakeNews() { return std::exchange(news_, {}); }

void OriginLookup::Find(const std::string& key, OnAnswer on_answer) {
  if (auto origin = origins_.Find(key, hooks_.clock())) {
    return on_answer({OriginVerdict::kKnown, std::move(origin)});
  }
  Ask({key, std::move(on_answer)});
}

void OriginLookup::Ask(Question question) {
  const std::int64_t number = ++last_number_;
  question.asked_at = hooks_.clock();
  question.unanswered = hooks_.ask(number, question.key);
  if (question.unanswered == 0) return question.on_answer({});
  questions_.emplace(number, std::move(question));
}

void OriginLookup::OnTold(std::int64_t number, const std::optional<StreamOrigin>& origin) {
  const auto question = questions_.find(number);
  if (question == questions_.end()) return;
  if (origin) return Answer(question, {OriginVerdict::kKnown, origin});
  if (--question->second.unanswered > 0 || question->second.rounds < kRounds) return;
  Answer(question, {OriginVerdict::kUnknown, std::nullopt});
}

void OriginLookup::Tick() {
  const Instant now = hooks_.clock();
  origins_.Expire(now);
  std::vector<std::int64_t> waiting;
  for (const auto& [number, question] : questions_) waiting.push_back(number);
  for (const std::int64_t number : waiting) {
    const auto found = questions_.find(number);
    if (found == questions_.end()) continue;
    Question& question = found->second;
    const Duration waited = now - question.asked_at;
    if (question.unanswered == 0 && waited >= kReportDelay) {
      Question again = std::move(question);
      questions_.erase(found);
      ++again.rounds;
      Ask(std::move(again));
    } else if (waited >= kAnswerTimeout) {
      Answer(found, {});
    }
  }
}

// The hook may ask further questions.
void OriginLookup::Answer(std::map<std::int64_t, Question>::iterator question,
                          const OriginAnswer& answer) {
  const auto on_answer = std::move(question->second.on_answer);
  questions_.erase(question);
  on_answer(answer);
}

}  // namespace kumquat

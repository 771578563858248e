#include "engine/engine_model.h"

#include <algorithm>

#include "property.h"

namespace kumquat {
namespace {

// Drives a model to its end in virtual time.
struct Bench {
  explicit Bench(const EngineModelSettings& settings) : model(settings, [this] { return now; }) {}

  std::vector<EngineModelEvent> Run() {
    std::vector<EngineModelEvent> all;
    while (const auto next = model.next_event()) {
      now = std::max(now, *next);
      for (const EngineModelEvent& event : model.Advance()) all.push_back(event);
    }
    return all;
  }

  Instant now{};
  EngineModel model;
};

EngineModelSettings OneAtATime() {
  EngineModelSettings settings;
  settings.cache_pieces = 3;
  settings.piece_tokens = 1000;
  settings.prefill_per_1k_tokens = std::chrono::milliseconds(100);
  settings.token_interval = std::chrono::milliseconds(10);
  settings.concurrent_requests = 1;
  return settings;
}

EngineJob Job(std::vector<std::string> prefix, std::int64_t prompt_tokens, std::int64_t answer,
              RequestClass request_class = RequestClass::kReply) {
  return {request_class, std::move(prefix), prompt_tokens, 0, answer};
}

TEST_CASE("Prefill costs what the cache doesn't hold, and the least recently used piece goes") {
  Bench bench(OneAtATime());
  const auto first_token = [&](const EngineJob& job) {
    const Instant start = bench.now;
    bench.model.Submit(job);
    return bench.Run().front().at - start;
  };
  using std::chrono::milliseconds;
  CHECK(first_token(Job({"a", "b"}, 2500, 1)) == milliseconds(260));
  CHECK(first_token(Job({"a", "b"}, 2500, 1)) == milliseconds(60));
  CHECK(first_token(Job({"a", "c"}, 2000, 1)) == milliseconds(110));
  CHECK(first_token(Job({"a", "d"}, 2000, 1)) == milliseconds(110));
  CHECK(first_token(Job({"a", "b"}, 2000, 1)) == milliseconds(110));
  EngineJob resumed = Job({"a", "b"}, 2000, 600);
  resumed.first_token = 500;
  CHECK(first_token(resumed) == milliseconds(60));
  CHECK(bench.model.cache().size() == 3);
}

TEST_CASE("Every request that isn't cancelled gets each token once, in order, and its end") {
  CheckProperty("complete", [] {
    EngineModelSettings settings = OneAtATime();
    settings.concurrent_requests = *rc::gen::inRange(1, 4);
    Bench bench(settings);
    std::map<std::uint64_t, EngineJob> expected;
    const int count = *rc::gen::inRange(1, 20);
    for (int i = 0; i < count; ++i) {
      EngineJob job = Job({*rc::gen::elementOf(std::vector<std::string>{"a", "b", "c", "d"})},
                          *rc::gen::inRange(0, 3000), *rc::gen::inRange(0, 5));
      job.first_token = *rc::gen::inRange<std::int64_t>(0, job.answer_tokens + 1);
      const std::uint64_t number = bench.model.Submit(job);
      if (*rc::gen::inRange(0, 4) == 0) {
        bench.model.Cancel(number);
      } else {
        expected[number] = job;
      }
    }
    std::map<std::uint64_t, std::int64_t> next;
    Instant last{};
    for (const EngineModelEvent& event : bench.Run()) {
      RC_ASSERT(expected.contains(event.job));
      RC_ASSERT(event.at >= last);
      last = event.at;
      const auto place = next.try_emplace(event.job, expected[event.job].first_token).first;
      RC_ASSERT(event.offset == place->second);
      if (!event.is_end) ++place->second;
      if (event.is_end) RC_ASSERT(event.offset == expected[event.job].answer_tokens);
    }
    RC_ASSERT(next.size() == expected.size());
    RC_ASSERT(bench.model.cache().size() <= 3u);
    RC_ASSERT(bench.model.load() == BackendLoad{});
  });
}

TEST_CASE("Replies go before drafts that still wait") {
  Bench bench(OneAtATime());
  std::vector<std::uint64_t> drafts;
  drafts.reserve(3);
  for (int i = 0; i < 3; ++i) {
    drafts.push_back(bench.model.Submit(Job({}, 1000, 1, RequestClass::kDraft)));
  }
  const std::uint64_t reply = bench.model.Submit(Job({}, 1000, 1));
  std::vector<std::uint64_t> ends;
  for (const EngineModelEvent& event : bench.Run()) {
    if (event.is_end) ends.push_back(event.job);
  }
  CHECK(ends == std::vector<std::uint64_t>{drafts[0], reply, drafts[1], drafts[2]});
}

}  // namespace
}  // namespace kumquat

// Measures what one decision, one cache event and one index entry cost, at several sizes.
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <QByteArray>
#include <QCborArray>
#include <QCborValue>
#include <QJsonDocument>
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <ctime>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/admission/culprit_table.h"
#include "coordination/placement/placement.h"
#include "protocol/engine_messages.h"
#include "state/index/prefix_index.h"
#include "state/index/shard_map.h"

DEFINE_int32(rounds, 15, "Rounds of each measurement; the median counts.");

namespace kumquat::bench {
namespace {

constexpr std::size_t kPromptPieces = 16;
constexpr std::size_t kHoldersOfBlock = 6;
constexpr std::size_t kBatchChanges = 16;
constexpr int kDecisions = 400;
constexpr double kNsPerUs = 1000;

std::uint64_t Mix(std::uint64_t value) {
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31U);
}

BlockId BlockNumber(std::uint64_t number) {
  return {.high = Mix(2 * number + 1), .low = Mix(2 * number + 2)};
}

double ThreadCpuUs() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / kNsPerUs;
}

// Returns the median processor time of one of `count` repetitions, in microseconds.
double MedianUs(int count, const std::function<void()>& body) {
  std::vector<double> rounds;
  for (int round = 0; round < FLAGS_rounds; ++round) {
    const double begin = ThreadCpuUs();
    body();
    rounds.push_back((ThreadCpuUs() - begin) / count);
  }
  std::sort(rounds.begin(), rounds.end());
  return rounds[rounds.size() / 2];
}

std::vector<std::string> BackendIds(std::size_t count) {
  std::vector<std::string> ids;
  for (std::size_t at = 0; at < count; ++at) ids.push_back("engine-" + std::to_string(at));
  return ids;
}

// Fills the index: blocks with some holders each, up to that many entries.
void Fill(PrefixIndex& index, const std::vector<std::string>& ids, std::size_t entries) {
  for (const std::string& id : ids) index.Observe(id, 1);
  for (std::size_t entry = 0; entry < entries; ++entry) {
    const std::size_t block = entry / kHoldersOfBlock;
    const std::size_t holder = (block / kPromptPieces * 7 + entry % kHoldersOfBlock) % ids.size();
    index.Computed(ids[holder], 1, std::vector{BlockNumber(block)});
  }
}

std::vector<BlockId> Prompt(std::size_t number, std::size_t entries) {
  const std::size_t prompts = std::max<std::size_t>(1, entries / kHoldersOfBlock / kPromptPieces);
  std::vector<BlockId> prompt;
  for (std::size_t at = 0; at < kPromptPieces; ++at) {
    prompt.push_back(BlockNumber(number % prompts * kPromptPieces + at));
  }
  return prompt;
}

std::vector<Candidate> Candidates(const std::vector<std::string>& ids) {
  std::vector<Candidate> candidates;
  for (const std::string& id : ids) {
    Candidate candidate;
    candidate.backend_id = id;
    candidate.incarnation = 1;
    candidate.concurrent_requests = 24;
    candidate.prefill_ms_per_1k_tokens = 100;
    candidates.push_back(candidate);
  }
  return candidates;
}

// One whole decision: lookup, choice, notes; with reports and dispatches under way everywhere.
void MeasureDecision(std::size_t backends, std::size_t entries) {
  const auto ids = BackendIds(backends);
  PrefixIndex index(entries);
  Fill(index, ids, entries);
  std::uint64_t state = 1;
  PlacementPolicy policy({.routers = 30}, [&state] { return Mix(++state); });
  auto candidates = Candidates(ids);
  Instant now = std::chrono::seconds(1);
  for (const Candidate& candidate : candidates) {
    policy.Reported(candidate.backend_id, 1, {.running_requests = 4}, now);
    const PlacementChoice choice{.missing_tokens = 2000};
    policy.Dispatched(candidate, {}, choice, now);
  }
  const auto decide = [&](std::size_t number) {
    now += Duration(10);
    const auto prompt = Prompt(number, entries);
    for (const PrefixBelief& belief : index.Lookup(prompt)) {
      const auto engine = std::stoul(std::string(belief.backend_id.substr(7)));
      candidates[engine].cached_tokens = belief.pieces * kPieceTokens;
    }
    const PlacementRequest request{.prompt_tokens = 33'000, .prefix_hash_seed = prompt.front().low};
    const auto choice = policy.Choose(candidates, request, now);
    const Candidate& chosen = candidates[choice->index];
    const auto dispatch = policy.Dispatched(chosen, request, *choice, now);
    index.Expect(chosen.backend_id, 1, prompt);
    policy.FirstToken(dispatch, now);
    index.Computed(chosen.backend_id, 1, prompt);
    policy.Finished(dispatch, now);
    for (Candidate& candidate : candidates) candidate.cached_tokens = 0;
  };
  const double decision_us = MedianUs(kDecisions, [&] {
    for (int number = 0; number < kDecisions; ++number) decide(static_cast<std::size_t>(number));
  });
  const double lookup_us = MedianUs(kDecisions, [&] {
    for (int number = 0; number < kDecisions; ++number) {
      index.Lookup(Prompt(static_cast<std::size_t>(number), entries));
    }
  });
  fmt::print("{:>9} {:>9} {:>14.2f} {:>14.2f}\n", backends, entries, decision_us, lookup_us);
}

// Event intake into a full index: each batch stores and removes blocks of one engine.
void MeasureEvents(std::size_t entries) {
  const auto ids = BackendIds(600);
  PrefixIndex index(entries);
  Fill(index, ids, entries);
  const double bytes = static_cast<double>(index.memory_bytes()) / static_cast<double>(entries);
  std::vector<std::int64_t> sequences(ids.size(), 0);
  std::uint64_t next_block = entries;
  constexpr int kBatches = 2000;
  const double batch_us = MedianUs(kBatches, [&] {
    for (int batch_number = 0; batch_number < kBatches; ++batch_number) {
      const auto engine = static_cast<std::size_t>(batch_number) % ids.size();
      CacheEventBatch batch{.backend_id = ids[engine],
                            .incarnation = 1,
                            .first_sequence = sequences[engine] + 1,
                            .last_sequence = sequences[engine] += kBatchChanges,
                            .changes = {}};
      for (std::size_t change = 0; change < kBatchChanges; ++change) {
        const bool is_stored = change % 2 == 0;
        const auto block = is_stored ? next_block++ : next_block - kBatchChanges;
        batch.changes.push_back({.block = BlockNumber(block), .stored = is_stored});
      }
      index.Apply(batch);
    }
  });
  fmt::print("{:>9} {:>14.3f} {:>14.1f} {:>12.1f}\n", entries, batch_us / kBatchChanges, bytes,
             static_cast<double>(index.memory_bytes()) / 1e6);
}

// The hash of a prompt's pieces, which each request pays once.
void MeasureIdentity(std::size_t pieces) {
  const std::string text(pieces * static_cast<std::size_t>(kPieceBytes), 'x');
  const std::vector<PromptMessage> messages{{"user", text}};
  constexpr int kPrompts = 20;
  std::size_t blocks = 0;
  const double prompt_us = MedianUs(kPrompts, [&] {
    for (int prompt = 0; prompt < kPrompts; ++prompt) {
      blocks += IdentifyPrefix({}, messages).blocks.size();
    }
  });
  fmt::print("{:>9} {:>14.1f} {:>14.2f}\n", pieces, prompt_us,
             prompt_us / static_cast<double>(std::max<std::size_t>(blocks != 0 ? pieces : 0, 1)));
}

void MeasureOwner(std::size_t routers) {
  ShardMap map;
  map.SetRouters(BackendIds(routers));
  std::size_t letters = 0;
  constexpr int kLookups = 2000;
  const double owner_us = MedianUs(kLookups, [&] {
    for (int number = 0; number < kLookups; ++number) {
      letters += map.OwnerOf(BlockNumber(static_cast<std::uint64_t>(number))).size();
    }
  });
  fmt::print("{:>9} {:>14.3f}\n", routers, letters == 0 ? 0 : owner_us);
}

// Sizes of what is said about an event, an index note and a load; without frames and TCP.
void MeasureMessages() {
  const std::string hex = BlockNumber(1).ToHex();
  const CacheEvent event{.sequence = 12'345'678, .stored = true, .block = hex + '.' + hex};
  const auto json = QJsonDocument(ToJson(event)).toJson(QJsonDocument::Compact).size();
  const auto text = QString::fromStdString(hex);
  const auto bytes = QByteArray::fromHex(text.toLatin1());
  const auto hex_cbor = QCborValue(QCborArray{text, true}).toCbor().size();
  const auto binary_cbor = QCborValue(QCborArray{bytes, true}).toCbor().size();
  const auto load_cbor = QCborValue(QCborArray{QStringLiteral("engine-123"), 1, 20'000, 20'000});
  fmt::print("\nBytes of a message\n{:<46} {:>6}\n{:<46} {:>6}\n{:<46} {:>6}\n{:<46} {:>6}\n",
             "cache event as an engine publishes it, JSON", json,
             "change passed to an owner, CBOR, hexadecimal", hex_cbor,
             "change passed to an owner, CBOR, binary", binary_cbor,
             "waiting load of one engine, CBOR", load_cbor.toCbor().size());
}

// A crash that took `kLostSuspects` suspects with it, in a full table with this many accused.
void MeasureCulprits(int accused) {
  constexpr int kLostSuspects = 128;
  constexpr int kCrashesToAccuse = 3;
  CulpritTableOptions options;
  CulpritTable table(options);
  Instant now = std::chrono::seconds(1);
  std::int64_t crash = 0;
  const auto lose = [&](const std::string& digest) {
    now += std::chrono::milliseconds(100);
    table.AddCrash({digest, kRequestDepth}, CrashId("server", ++crash), now, now);
  };
  for (std::size_t i = 0; i < options.max_entries; ++i) lose("bystander" + std::to_string(i));
  for (int i = 0; i < accused; ++i) {
    for (int j = 0; j < kCrashesToAccuse; ++j) lose("culprit" + std::to_string(i));
  }
  const auto lose_together = [&](const std::function<std::string(int)>& digest_of) {
    return MedianUs(kLostSuspects, [&] {
      ++crash;
      now += std::chrono::seconds(1);
      for (int i = 0; i < kLostSuspects; ++i) {
        table.AddCrash({digest_of(i), kRequestDepth}, CrashId("server", crash), now, now);
      }
    });
  };
  const double bystander_us = lose_together(
      [&](int i) { return "lost" + std::to_string(crash) + "-" + std::to_string(i); });
  const std::size_t before = table.accused().size();
  const double culprit_us =
      lose_together([&](int i) { return "culprit" + std::to_string(i % std::max(1, accused)); });
  fmt::print("{:>9} {:>14.1f} {:>14.1f}\n", before, bystander_us, culprit_us);
}

void Main() {
  fmt::print("One decision: lookup, choice and notes\n{:>9} {:>9} {:>14} {:>14}\n", "backends",
             "entries", "decision us", "lookup us");
  for (const std::size_t backends : {18, 75, 150, 300, 600}) MeasureDecision(backends, 200'000);
  for (const std::size_t entries : {25'000, 50'000, 100'000}) MeasureDecision(600, entries);
  fmt::print("\nEvent intake into a full index, 600 backends\n{:>9} {:>14} {:>14} {:>12}\n",
             "entries", "event us", "bytes/entry", "megabytes");
  for (const std::size_t entries : {25'000, 50'000, 100'000, 200'000}) MeasureEvents(entries);
  fmt::print("\nIdentity of a prompt\n{:>9} {:>14} {:>14}\n", "pieces", "prompt us", "piece us");
  for (const std::size_t pieces : {4, 16, 64}) MeasureIdentity(pieces);
  fmt::print("\nOwner of a segment\n{:>9} {:>14}\n", "routers", "owner us");
  for (const std::size_t routers : {7, 35, 350}) MeasureOwner(routers);
  fmt::print("\nA suspect lost with a crash, full table\n{:>9} {:>14} {:>14}\n", "accused",
             "bystander us", "culprit us");
  for (const int condemned : {0, 10, 100}) MeasureCulprits(condemned);
  MeasureMessages();
}

}  // namespace
}  // namespace kumquat::bench

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  kumquat::bench::Main();
  return 0;
}

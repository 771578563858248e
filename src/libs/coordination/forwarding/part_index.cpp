#include "coordination/forwarding/part_index.h"

namespace kumquat {
namespace {

// An expectation that no event confirms within this time is taken to be wrong. Events arrive about
// 0.1 s late, after a prefill that may have waited in a queue.
constexpr Duration kExpectationLifetime = std::chrono::milliseconds(1500);
// Expired expectations of a source are dropped once it has more than this.
constexpr std::size_t kMaxExpectations = 4096;

}  // namespace

bool PartIndex::Apply(const CacheNews& news) {
  Source& source = sources_[news.source];
  const bool is_new_epoch = news.epoch != source.epoch;
  const bool is_whole = news.is_snapshot || news.from == 0;
  // Another replica may have reported these events already. Parts that became wanted are reported
  // as of the last event, without a new one.
  if (!is_new_epoch && news.next < source.next) return true;
  if (!is_whole && (is_new_epoch || news.from > source.next)) return false;
  if (is_whole) {
    source.held.clear();
    source.epoch = news.epoch;
  }
  source.next = news.next;
  for (const PartChange& change : news.changes) {
    source.expected.erase(change.key);
    if (change.tokens > 0) {
      source.held[change.key] = change.tokens;
    } else {
      source.held.erase(change.key);
    }
  }
  return true;
}

void PartIndex::Expect(const std::string& source, std::span<const KeyedPart> parts, Instant now) {
  auto& expected = sources_[source].expected;
  if (expected.size() > kMaxExpectations) {
    std::erase_if(expected, [now](const auto& entry) { return entry.second <= now; });
  }
  for (const KeyedPart& part : parts) expected[part.key] = now + kExpectationLifetime;
}

bool PartIndex::IsKnown(std::string_view source) const {
  const auto found = sources_.find(source);
  return found != sources_.end() && found->second.epoch != 0;
}

std::int64_t PartIndex::LeadingTokens(std::string_view name, std::span<const KeyedPart> parts,
                                      Instant now) const {
  const auto found = sources_.find(name);
  if (found == sources_.end()) return 0;
  const Source& source = found->second;
  std::int64_t tokens = 0;
  for (const KeyedPart& part : parts) {
    const auto held = source.held.find(part.key);
    if (held != source.held.end() && held->second >= part.tokens) {
      tokens += part.tokens;
      continue;
    }
    const auto expected = source.expected.find(part.key);
    const bool is_expected = expected != source.expected.end() && now < expected->second;
    if (is_expected) {
      tokens += part.tokens;
      continue;
    }
    // Of a part that is held incompletely, the held tokens count, but nothing after them.
    if (held != source.held.end()) tokens += held->second;
    break;
  }
  return tokens;
}

void PartIndex::Forget(std::string_view source) {
  const auto found = sources_.find(source);
  if (found != sources_.end()) sources_.erase(found);
}

std::size_t PartIndex::size() const {
  std::size_t parts = 0;
  for (const auto& [name, source] : sources_) parts += source.held.size();
  return parts;
}

}  // namespace kumquat

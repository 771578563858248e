#include "index_service.h"

#include <QTimer>
#include <algorithm>
#include <utility>

#include "peer_network.h"
#include "protocol/json_fields.h"
#include "utils/histogram.h"

namespace kumquat {
namespace {

std::span<const BlockId> SegmentOf(std::span<const BlockId> prompt, std::size_t segment) {
  const std::size_t first = segment * kSegmentPieces;
  return prompt.subspan(first, std::min(kSegmentPieces, prompt.size() - first));
}

std::size_t SegmentCount(std::span<const BlockId> prompt) {
  return (prompt.size() + kSegmentPieces - 1) / kSegmentPieces;
}

// Joins the segments: an engine's prefix goes on in the next one only when it holds all of this.
std::vector<EngineBelief> Join(const std::vector<std::vector<EngineBelief>>& segments,
                               std::span<const std::size_t> sizes) {
  if (segments.empty()) return {};
  std::vector<EngineBelief> joined = segments.front();
  for (EngineBelief& belief : joined) {
    auto end_of_segment = static_cast<std::int64_t>(sizes.front());
    for (std::size_t i = 1; i < segments.size() && belief.pieces == end_of_segment; ++i) {
      const auto next =
          std::find_if(segments[i].begin(), segments[i].end(), [&](const EngineBelief& candidate) {
            return candidate.backend_id == belief.backend_id &&
                   candidate.incarnation == belief.incarnation;
          });
      if (next == segments[i].end()) break;
      belief.pieces += next->pieces;
      end_of_segment += static_cast<std::int64_t>(sizes[i]);
    }
  }
  return joined;
}

}  // namespace

IndexService::IndexService(std::string self, std::size_t max_entries, PeerNetwork* network,
                           Metrics* metrics)
    : self_(std::move(self)), network_(network), metrics_(metrics), shard_(max_entries) {
  owners_.SetRouters({self_});
  network_->SetHandler(
      PeerMessageType::kLookup,
      [this](const std::string& from, const QJsonObject& body) { ReceiveLookup(from, body); });
  network_->SetHandler(
      PeerMessageType::kLookupAnswer,
      [this](const std::string& from, const QJsonObject& body) { ReceiveAnswer(from, body); });
  network_->SetHandler(PeerMessageType::kIndexNote,
                       [this](const std::string& /*from*/, const QJsonObject& body) {
                         if (const auto note = ParseIndexNote(body)) Note(*note);
                       });
  network_->SetHandler(PeerMessageType::kCacheEvents,
                       [this](const std::string& /*from*/, const QJsonObject& body) {
                         if (const auto message = ParseCacheEventsMessage(body)) Apply(*message);
                       });
}

bool IndexService::SetRouters(std::vector<std::string> routers) {
  std::sort(routers.begin(), routers.end());
  if (routers == owners_.routers()) return false;
  owners_.SetRouters(std::move(routers));
  // A new owner knows nothing: whoever follows an engine sends its whole contents again.
  sent_.clear();
  return true;
}

void IndexService::Lookup(std::span<const BlockId> prompt, OnBeliefs on_beliefs) {
  const std::int64_t id = ++last_lookup_;
  PendingLookup& lookup = lookups_[id];
  lookup.on_beliefs = std::move(on_beliefs);
  lookup.segments.resize(SegmentCount(prompt));
  std::map<std::string, LookupMessage> messages;
  for (std::size_t i = 0; i < lookup.segments.size(); ++i) {
    const auto segment = SegmentOf(prompt, i);
    lookup.segment_sizes.push_back(segment.size());
    const std::string owner(owners_.OwnerOf(segment.front()));
    if (owner.empty() || owner == self_) {
      lookup.segments[i] = LookupHere(segment);
      continue;
    }
    messages[owner].segments.emplace_back(segment.begin(), segment.end());
    lookup.asked[owner].push_back(i);
  }
  for (auto& [owner, message] : messages) {
    message.id = id;
    if (!network_->Send(owner, PeerMessageType::kLookup, ToJson(message))) {
      lookup.asked.erase(owner);
    }
  }
  if (lookup.asked.empty()) return Complete(id);
  QTimer::singleShot(std::chrono::duration_cast<std::chrono::milliseconds>(kLookupPatience),
                     [this, id] {
                       if (lookups_.count(id) == 0) return;
                       metrics_->Count("kumquat_index_lookups_late_total");
                       Complete(id);
                     });
}

void IndexService::Complete(std::int64_t id) {
  const auto entry = lookups_.find(id);
  if (entry == lookups_.end()) return;
  const PendingLookup lookup = std::move(entry->second);
  lookups_.erase(entry);
  lookup.on_beliefs(Join(lookup.segments, lookup.segment_sizes));
}

std::vector<EngineBelief> IndexService::LookupHere(std::span<const BlockId> segment) {
  std::vector<EngineBelief> beliefs;
  for (const PrefixBelief& belief : shard_.Lookup(segment)) {
    beliefs.push_back({std::string(belief.backend_id), belief.incarnation, belief.pieces});
  }
  return beliefs;
}

void IndexService::ReceiveLookup(const std::string& from, const QJsonObject& body) {
  const auto message = ParseLookupMessage(body);
  if (!message) return;
  LookupAnswer answer;
  answer.id = message->id;
  for (const auto& segment : message->segments) answer.beliefs.push_back(LookupHere(segment));
  network_->Send(from, PeerMessageType::kLookupAnswer, ToJson(answer));
}

void IndexService::ReceiveAnswer(const std::string& from, const QJsonObject& body) {
  const auto answer = ParseLookupAnswer(body);
  if (!answer) return;
  const auto entry = lookups_.find(answer->id);
  if (entry == lookups_.end()) return;
  PendingLookup& lookup = entry->second;
  const auto asked = lookup.asked.find(from);
  if (asked == lookup.asked.end() || asked->second.size() != answer->beliefs.size()) return;
  for (std::size_t i = 0; i < asked->second.size(); ++i) {
    lookup.segments[asked->second[i]] = answer->beliefs[i];
  }
  lookup.asked.erase(asked);
  if (lookup.asked.empty()) Complete(answer->id);
}

void IndexService::Expect(std::string_view backend_id, std::int64_t incarnation,
                          std::span<const BlockId> prompt) {
  NoteEach(IndexNoteKind::kExpect, backend_id, incarnation, prompt);
}

void IndexService::Computed(std::string_view backend_id, std::int64_t incarnation,
                            std::span<const BlockId> prompt) {
  NoteEach(IndexNoteKind::kComputed, backend_id, incarnation, prompt);
}

void IndexService::Retract(std::string_view backend_id, std::int64_t incarnation,
                           std::span<const BlockId> prompt) {
  NoteEach(IndexNoteKind::kRetract, backend_id, incarnation, prompt);
}

void IndexService::Correct(std::string_view backend_id, std::int64_t incarnation,
                           std::span<const BlockId> prompt, std::int64_t believed_pieces,
                           std::int64_t cached_pieces) {
  if (cached_pieces >= believed_pieces) return;
  NoteEach(IndexNoteKind::kCorrect, backend_id, incarnation, prompt,
           [=](std::int64_t first_piece, IndexNote* note) {
             const auto size = static_cast<std::int64_t>(note->segment.size());
             note->believed_pieces =
                 std::clamp(believed_pieces - first_piece, std::int64_t{0}, size);
             note->cached_pieces = std::clamp(cached_pieces - first_piece, std::int64_t{0}, size);
             return note->cached_pieces < note->believed_pieces;
           });
}

void IndexService::NoteEach(IndexNoteKind kind, std::string_view backend_id,
                            std::int64_t incarnation, std::span<const BlockId> prompt,
                            const FillNote& fill) {
  for (std::size_t i = 0; i < SegmentCount(prompt); ++i) {
    const auto segment = SegmentOf(prompt, i);
    IndexNote note;
    note.kind = kind;
    note.backend_id = backend_id;
    note.incarnation = incarnation;
    note.segment.assign(segment.begin(), segment.end());
    if (fill && !fill(static_cast<std::int64_t>(i * kSegmentPieces), &note)) continue;
    const std::string owner(owners_.OwnerOf(segment.front()));
    if (owner.empty() || owner == self_) {
      Note(note);
    } else {
      network_->Send(owner, PeerMessageType::kIndexNote, ToJson(note));
    }
  }
}

void IndexService::Note(const IndexNote& note) {
  switch (note.kind) {
    case IndexNoteKind::kExpect:
      return shard_.Expect(note.backend_id, note.incarnation, note.segment);
    case IndexNoteKind::kComputed:
      return shard_.Computed(note.backend_id, note.incarnation, note.segment);
    case IndexNoteKind::kCorrect:
      return shard_.Correct(note.backend_id, note.incarnation, note.believed_pieces,
                            note.cached_pieces);
    case IndexNoteKind::kRetract:
      return shard_.Retract(note.backend_id, note.incarnation, note.segment);
  }
}

void IndexService::Observe(std::string_view backend_id, std::int64_t incarnation) {
  shard_.Observe(backend_id, incarnation);
}

void IndexService::Forget(std::string_view backend_id) {
  shard_.Forget(backend_id);
  sent_.erase(std::string(backend_id));
}

void IndexService::TakeEvents(const std::string& backend_id, std::int64_t incarnation,
                              std::int64_t last_sequence, std::span<const BlockChange> changes,
                              std::span<const BlockId> segment_roots) {
  std::map<std::string, CacheEventsMessage> messages;
  for (std::size_t i = 0; i < changes.size(); ++i) {
    const std::string owner(owners_.OwnerOf(segment_roots[i]));
    messages[owner].batch.changes.push_back(changes[i]);
  }
  auto& [sent_incarnation, sent_to] = sent_[backend_id];
  if (sent_incarnation != incarnation) sent_to.clear();
  sent_incarnation = incarnation;
  for (auto& [owner, message] : messages) {
    // Each owner has its own run of numbers, without the events of other owners in between.
    std::int64_t& last_sent = sent_to[owner];
    message.batch.backend_id = backend_id;
    message.batch.incarnation = incarnation;
    message.batch.first_sequence = last_sent + 1;
    message.batch.last_sequence = last_sequence;
    last_sent = last_sequence;
    SendToOwner(owner, message);
  }
}

void IndexService::TakeContents(const std::string& backend_id, std::int64_t incarnation,
                                std::int64_t last_sequence, std::span<const NamedBlock> blocks) {
  std::map<std::string, CacheEventsMessage> messages;
  for (const std::string& router : owners_.routers()) messages[router].is_contents = true;
  for (const NamedBlock& named : blocks) {
    const std::string owner(owners_.OwnerOf(named.segment_root));
    messages[owner].batch.changes.push_back({named.block, true});
  }
  auto& [sent_incarnation, sent_to] = sent_[backend_id];
  sent_incarnation = incarnation;
  for (auto& [owner, message] : messages) {
    message.is_contents = true;
    message.batch.backend_id = backend_id;
    message.batch.incarnation = incarnation;
    message.batch.first_sequence = last_sequence;
    message.batch.last_sequence = last_sequence;
    sent_to[owner] = last_sequence;
    SendToOwner(owner, message);
  }
}

void IndexService::SendToOwner(const std::string& owner, const CacheEventsMessage& message) {
  if (owner == self_) {
    Apply(message);
    return;
  }
  network_->Send(owner, PeerMessageType::kCacheEvents, ToJson(message));
}

void IndexService::Apply(const CacheEventsMessage& message) {
  if (!message.is_contents) {
    if (shard_.Apply(message.batch) == BatchOutcome::kGap) {
      metrics_->Count("kumquat_index_gaps_total");
    }
    return;
  }
  CacheContents contents{
      message.batch.backend_id, message.batch.incarnation, message.batch.last_sequence, {}};
  for (const BlockChange& change : message.batch.changes) contents.blocks.push_back(change.block);
  shard_.Replace(contents);
}

}  // namespace kumquat

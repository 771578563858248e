// What control replicas and routers tell each other unasked.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "protocol/document.h"
#include "protocol/part_events.h"
#include "protocol/stream_record.h"
#include "protocol/suspect_entry.h"
#include "utils/hooks.h"

namespace kumquat {

// A router's greeting, sent to every replica when a link comes up and every second after that. The
// replica answers with what the router lacks.
struct RouterHello {
  std::string router;
  std::string failure_domain;
  // Grows with each start of the router.
  std::int64_t incarnation = 0;
  // The versions of the documents that it holds, by name.
  std::map<std::string, std::int64_t> versions;
  // Digest of its table of backend servers.
  std::uint64_t members_digest = 0;
  // The router's clock when it sent this.
  Instant sent_at{0};

  bool operator==(const RouterHello&) const = default;
};

// Committed documents in the form that routers use.
struct DocumentNews {
  std::vector<Document> documents;

  bool operator==(const DocumentNews&) const = default;
};

// A message of the gossip about backend servers, in its JSON form.
struct MemberNews {
  std::string from;
  std::string json;

  bool operator==(const MemberNews&) const = default;
};

// Which processes there are, as far as the replica knows.
struct FleetNews {
  // Addresses of control replicas.
  std::vector<std::string> replicas;
  // Routers that greeted it lately.
  std::int64_t routers = 0;
  // Whether each store of kept cache that it watches is alive, by address.
  std::map<std::string, bool> stores;
  // Which greeting this answers, by the router's clock, and the replica's clock at the answer; 0
  // where it answers none.
  Instant greeted_at{0};
  Instant answered_at{0};

  bool operator==(const FleetNews&) const = default;
};

// What one router has sent to an engine.
struct EngineLoad {
  std::string engine;
  std::int64_t incarnation = 0;
  // Prompt tokens to compute of what waits for its first token.
  std::int64_t tokens = 0;
  // Tokens of memory of what waits or runs.
  std::int64_t held_tokens = 0;
  // The part of `tokens` that the most urgent requests have.
  std::int64_t urgent_tokens = 0;

  bool operator==(const EngineLoad&) const = default;
};

// What the leader knows of engines that load weights, or did so lately; newer than what the engines
// announced.
struct EngineNews {
  struct Engine {
    std::string id;
    std::int64_t incarnation = 0;
    // It takes no new requests until it has loaded.
    bool is_loading = false;
    // Version of the weights by model.
    std::map<std::string, std::int64_t> weights;
    // Until when an engine that is loading surely gets no order, by the leader's clock; 0 if it may
    // have one. It takes back runs that were moved away only until then.
    Instant unordered_until{0};

    bool operator==(const Engine&) const = default;
  };
  std::vector<Engine> engines;

  // A version of weights that replaced another one which an engine still has. A router that started
  // or was linked since then can't know from the documents how long ago that was.
  struct Named {
    std::string model;
    std::int64_t version = 0;
    Duration age{0};

    bool operator==(const Named&) const = default;
  };
  std::vector<Named> named;

  // Until when the engines that aren't named as loading here get no order, by the leader's clock.
  Instant others_unordered_until{0};
  // Engines, by id, that runs are best moved to, as they load last.
  std::vector<std::string> move_targets;

  bool operator==(const EngineNews&) const = default;
};

// What a replica read of the parts that an engine or a store holds.
struct CacheNews {
  std::string source;
  // Another one after each start of the source.
  std::int64_t epoch = 0;
  // The numbers of the source's events that this covers: up to, but without, `next`. From 0 on
  // where what was known before doesn't count any more.
  std::int64_t from = 0;
  std::int64_t next = 0;
  // All that is held, instead of changes.
  bool is_snapshot = false;
  std::vector<PartChange> changes;

  bool operator==(const CacheNews&) const = default;
};

// A router asks the replica that told it of a source for all that the source holds.
struct CacheWanted {
  std::string router;
  std::string source;

  bool operator==(const CacheWanted&) const = default;
};

// What one router has sent to engines that wait for a first token.
struct RouterLoad {
  std::string router;
  std::vector<EngineLoad> engines;

  bool operator==(const RouterLoad&) const = default;
};

// A router tells one replica its own load, and the replica tells it what it has of it.
struct LoadNews {
  std::vector<RouterLoad> routers;

  bool operator==(const LoadNews&) const = default;
};

// What a router or a replica knows of requests that may crash backend servers.
struct SuspectNews {
  // The router that sends it; empty from a replica.
  std::string router;
  // Set if the receiver should compare hashes, and send the entries that it shares if they differ.
  bool is_summary = false;
  // Hash of the suspects that the sender has accused.
  std::uint64_t accused_hash = 0;
  std::vector<SuspectEntry> entries;

  bool operator==(const SuspectNews&) const = default;
};

// What changed since a replica's last message of this kind: of cached parts, at most one piece of
// news a source, unless some between are missing; of loads, one sum an engine.
struct HintNews {
  std::vector<CacheNews> cache;
  // What the routers that tell this replica their loads have sent to an engine, the receiver
  // included. LoadNews, sent before this message, tells the receiver what of it is its own.
  std::vector<EngineLoad> loads;
  // How many routers these sums cover.
  std::int64_t routers = 0;

  bool operator==(const HintNews&) const = default;
};

// A router tells all replicas by which parts of prompts it places requests; it is told of those
// only.
struct PartsWanted {
  // Their keys, as PartKey gives them.
  std::vector<std::uint64_t> keys;

  bool operator==(const PartsWanted&) const = default;
};

// For how long a router may use units of a quota, from the moment it asked for them.
inline constexpr Duration kQuotaUnitLifetime = std::chrono::milliseconds(500);

// A message about quotas that isn't answered for so long counts as lost.
inline constexpr Duration kQuotaAnswerTimeout = std::chrono::milliseconds(150);

// A router asks for units of quotas. Only the leader answers, and each message once.
struct QuotaAsked {
  std::string router;
  std::int64_t incarnation = 0;
  // Grows with each message of this incarnation.
  std::int64_t number = 0;

  struct Organisation {
    std::string name;
    // The units of each request that waits, in their order.
    std::vector<std::int64_t> waiting;
    // Units for requests that are expected next.
    std::int64_t advance = 0;
    // Granted units that weren't used; negative for units that were used without a grant.
    std::int64_t returned = 0;

    bool operator==(const Organisation&) const = default;
  };
  std::vector<Organisation> organisations;

  bool operator==(const QuotaAsked&) const = default;
};

// The leader's answer to the message with this number.
struct QuotaGranted {
  std::string router;
  std::int64_t incarnation = 0;
  std::int64_t number = 0;
  // The leader's.
  std::uint64_t term = 0;

  struct Organisation {
    std::string name;
    std::int64_t units = 0;
    // When there are units again; 0 if all that waits was granted.
    Duration available_after{0};
    // What this router may use while no leader answers.
    std::int64_t outage_units = 0;

    bool operator==(const Organisation&) const = default;
  };
  std::vector<Organisation> organisations;

  bool operator==(const QuotaGranted&) const = default;
};

// What a router or a replica knows of the trials of suspects, and of crashes near them.
struct TrialNews {
  std::vector<SuspectTrial> trials;
  std::vector<ServerCrash> crashes;

  bool operator==(const TrialNews&) const = default;
};

// A router tells some replicas of streams whose first event it has passed on, or that it has gone
// on with.
struct StreamNews {
  std::vector<StreamRecord> streams;

  bool operator==(const StreamNews&) const = default;
};

// A router asks all replicas where a stream began. Each answers.
struct StreamAsked {
  std::string router;
  // Grows with each question of the router.
  std::int64_t number = 0;
  // As StreamKey() gives it.
  std::string key;

  bool operator==(const StreamAsked&) const = default;
};

// A replica's answer to the question with this number.
struct StreamTold {
  std::int64_t number = 0;
  // nullopt if the replica doesn't know it.
  std::optional<StreamOrigin> origin;

  bool operator==(const StreamTold&) const = default;
};

// New alternatives are added at the end, as their index identifies them in messages.
using ControlNews =
    std::variant<RouterHello, DocumentNews, MemberNews, FleetNews, EngineNews, CacheNews,
                 CacheWanted, LoadNews, SuspectNews, HintNews, PartsWanted, QuotaAsked,
                 QuotaGranted, TrialNews, StreamNews, StreamAsked, StreamTold>;

std::string Encode(const ControlNews& news);

// Returns nothing when the bytes aren't news.
std::optional<ControlNews> DecodeControlNews(std::string_view bytes);

}  // namespace kumquat

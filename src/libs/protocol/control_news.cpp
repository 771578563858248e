#include "protocol/control_news.h"

#include <QCborArray>
#include <QCborMap>
#include <QCborValue>
#include <QtEndian>
#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace kumquat {
namespace {

QCborValue Bytes(const std::string& text) { return QByteArray::fromStdString(text); }
std::string ToText(const QCborValue& value) { return value.toByteArray().toStdString(); }

using Versions = std::map<std::string, std::int64_t>;

QCborValue ToCbor(const Versions& versions) {
  QCborArray items;
  for (const auto& [name, version] : versions) {
    items.append(QCborArray{Bytes(name), static_cast<qint64>(version)});
  }
  return items;
}

Versions VersionsFrom(const QCborValue& value) {
  Versions versions;
  for (const QCborValue item : value.toArray()) {
    const QCborArray pair = item.toArray();
    versions[ToText(pair.at(0))] = pair.at(1).toInteger();
  }
  return versions;
}

QCborValue ToCbor(const RouterHello& hello) {
  return QCborArray{Bytes(hello.router),
                    Bytes(hello.failure_domain),
                    static_cast<qint64>(hello.incarnation),
                    ToCbor(hello.versions),
                    static_cast<qint64>(hello.members_digest),
                    static_cast<qint64>(hello.sent_at.count())};
}

QCborValue ToCbor(const DocumentNews& news) {
  QCborArray documents;
  for (const Document& document : news.documents) {
    documents.append(QCborArray{Bytes(document.name), static_cast<qint64>(document.version),
                                Bytes(document.content)});
  }
  return QCborArray{documents};
}

QCborValue ToCbor(const MemberNews& news) { return QCborArray{Bytes(news.from), Bytes(news.json)}; }

QCborValue ToCbor(const FleetNews& news) {
  QCborArray replicas;
  for (const std::string& replica : news.replicas) replicas.append(Bytes(replica));
  QCborArray stores;
  for (const auto& [address, is_alive] : news.stores) {
    stores.append(QCborArray{Bytes(address), is_alive});
  }
  return QCborArray{replicas, static_cast<qint64>(news.routers), stores,
                    static_cast<qint64>(news.greeted_at.count()),
                    static_cast<qint64>(news.answered_at.count())};
}

bool FromCbor(const QCborArray& items, RouterHello* hello) {
  hello->router = ToText(items.at(0));
  hello->failure_domain = ToText(items.at(1));
  hello->incarnation = items.at(2).toInteger();
  hello->versions = VersionsFrom(items.at(3));
  hello->members_digest = static_cast<std::uint64_t>(items.at(4).toInteger());
  hello->sent_at = Instant(items.at(5).toInteger());
  return items.size() == 6 && !hello->router.empty();
}

bool FromCbor(const QCborArray& items, DocumentNews* news) {
  for (const QCborValue item : items.at(0).toArray()) {
    const QCborArray fields = item.toArray();
    news->documents.push_back(
        {ToText(fields.at(0)), fields.at(1).toInteger(), ToText(fields.at(2))});
  }
  return items.size() == 1;
}

bool FromCbor(const QCborArray& items, MemberNews* news) {
  news->from = ToText(items.at(0));
  news->json = ToText(items.at(1));
  return items.size() == 2;
}

bool FromCbor(const QCborArray& items, FleetNews* news) {
  for (const QCborValue item : items.at(0).toArray()) news->replicas.push_back(ToText(item));
  news->routers = items.at(1).toInteger();
  for (const QCborValue item : items.at(2).toArray()) {
    const QCborArray pair = item.toArray();
    news->stores[ToText(pair.at(0))] = pair.at(1).toBool();
  }
  news->greeted_at = Instant(items.at(3).toInteger());
  news->answered_at = Instant(items.at(4).toInteger());
  return items.size() == 5;
}

QCborValue ToCbor(const EngineNews& news) {
  QCborArray engines;
  for (const EngineNews::Engine& engine : news.engines) {
    engines.append(QCborArray{Bytes(engine.id), static_cast<qint64>(engine.incarnation),
                              engine.is_loading, ToCbor(engine.weights),
                              static_cast<qint64>(engine.unordered_until.count())});
  }
  QCborArray named;
  for (const EngineNews::Named& one : news.named) {
    named.append(QCborArray{Bytes(one.model), static_cast<qint64>(one.version),
                            static_cast<qint64>(one.age.count())});
  }
  QCborArray targets;
  for (const std::string& target : news.move_targets) targets.append(Bytes(target));
  return QCborArray{engines, named, static_cast<qint64>(news.others_unordered_until.count()),
                    targets};
}

bool FromCbor(const QCborArray& items, EngineNews* news) {
  for (const QCborValue item : items.at(0).toArray()) {
    const QCborArray fields = item.toArray();
    news->engines.push_back({ToText(fields.at(0)), fields.at(1).toInteger(), fields.at(2).toBool(),
                             VersionsFrom(fields.at(3)), Instant(fields.at(4).toInteger())});
  }
  for (const QCborValue item : items.at(1).toArray()) {
    const QCborArray fields = item.toArray();
    news->named.push_back({ToText(fields.at(0)), fields.at(1).toInteger(),
                           Duration(std::max<qint64>(0, fields.at(2).toInteger()))});
  }
  news->others_unordered_until = Instant(items.at(2).toInteger());
  for (const QCborValue target : items.at(3).toArray()) {
    news->move_targets.push_back(ToText(target));
  }
  return items.size() == 4;
}

// Keys and tokens stand in one byte string: 8 and 4 bytes each, the lowest first.
constexpr qsizetype kChangeBytes = 12;

QByteArray ChangesToBytes(const std::vector<PartChange>& changes) {
  QByteArray bytes(static_cast<qsizetype>(changes.size()) * kChangeBytes, Qt::Uninitialized);
  char* out = bytes.data();
  for (const PartChange& change : changes) {
    qToLittleEndian(static_cast<quint64>(change.key), out);
    qToLittleEndian(static_cast<quint32>(change.tokens), out + sizeof(quint64));
    out += kChangeBytes;
  }
  return bytes;
}

bool ChangesFromBytes(const QByteArray& bytes, std::vector<PartChange>* changes) {
  if (bytes.size() % kChangeBytes != 0) return false;
  for (qsizetype at = 0; at < bytes.size(); at += kChangeBytes) {
    const char* in = bytes.constData() + at;
    changes->push_back(
        {qFromLittleEndian<quint64>(in), qFromLittleEndian<quint32>(in + sizeof(quint64))});
  }
  return true;
}

QCborValue ToCbor(const CacheNews& news) {
  return QCborArray{Bytes(news.source),
                    static_cast<qint64>(news.epoch),
                    static_cast<qint64>(news.from),
                    static_cast<qint64>(news.next),
                    news.is_snapshot,
                    ChangesToBytes(news.changes)};
}

bool FromCbor(const QCborArray& items, CacheNews* news) {
  news->source = ToText(items.at(0));
  news->epoch = items.at(1).toInteger();
  news->from = items.at(2).toInteger();
  news->next = items.at(3).toInteger();
  news->is_snapshot = items.at(4).toBool();
  return items.size() == 6 && ChangesFromBytes(items.at(5).toByteArray(), &news->changes);
}

QCborValue ToCbor(const CacheWanted& wanted) {
  return QCborArray{Bytes(wanted.router), Bytes(wanted.source)};
}

bool FromCbor(const QCborArray& items, CacheWanted* wanted) {
  wanted->router = ToText(items.at(0));
  wanted->source = ToText(items.at(1));
  return items.size() == 2;
}

QCborValue ToCbor(const std::vector<EngineLoad>& loads) {
  QCborArray engines;
  for (const EngineLoad& load : loads) {
    engines.append(QCborArray{
        Bytes(load.engine), static_cast<qint64>(load.incarnation), static_cast<qint64>(load.tokens),
        static_cast<qint64>(load.held_tokens), static_cast<qint64>(load.urgent_tokens)});
  }
  return engines;
}

std::vector<EngineLoad> EngineLoadsFrom(const QCborValue& value) {
  std::vector<EngineLoad> loads;
  for (const QCborValue item : value.toArray()) {
    const QCborArray load = item.toArray();
    EngineLoad decoded;
    decoded.engine = ToText(load.at(0));
    decoded.incarnation = load.at(1).toInteger();
    decoded.tokens = load.at(2).toInteger();
    decoded.held_tokens = load.at(3).toInteger();
    // Processes of the version before don't tell them apart.
    decoded.urgent_tokens = load.at(4).toInteger(decoded.tokens);
    loads.push_back(std::move(decoded));
  }
  return loads;
}

QCborValue ToCbor(const LoadNews& news) {
  QCborArray routers;
  for (const RouterLoad& router : news.routers) {
    routers.append(QCborArray{Bytes(router.router), ToCbor(router.engines)});
  }
  return QCborArray{routers};
}

bool FromCbor(const QCborArray& items, LoadNews* news) {
  for (const QCborValue item : items.at(0).toArray()) {
    const QCborArray fields = item.toArray();
    news->routers.push_back({ToText(fields.at(0)), EngineLoadsFrom(fields.at(1))});
  }
  return items.size() == 1;
}

// Crash ids and ages in microseconds stand in one byte string, 8 bytes each, the lowest first.
constexpr qsizetype kCrashBytes = 16;
constexpr qsizetype kMaxEntries = 4096;
constexpr qsizetype kMaxCrashes = 64;
constexpr qint64 kNeverCleared = -1;

QByteArray CrashesToBytes(const std::vector<CrashSighting>& crashes) {
  QByteArray bytes(static_cast<qsizetype>(crashes.size()) * kCrashBytes, Qt::Uninitialized);
  char* out = bytes.data();
  for (const CrashSighting& sighting : crashes) {
    qToLittleEndian(static_cast<quint64>(sighting.crash), out);
    qToLittleEndian(static_cast<qint64>(sighting.age.count()), out + sizeof(quint64));
    out += kCrashBytes;
  }
  return bytes;
}

bool CrashesFromBytes(const QByteArray& bytes, std::vector<CrashSighting>* crashes) {
  if (bytes.size() % kCrashBytes != 0 || bytes.size() > kMaxCrashes * kCrashBytes) return false;
  for (qsizetype at = 0; at < bytes.size(); at += kCrashBytes) {
    const char* in = bytes.constData() + at;
    const auto age = qFromLittleEndian<qint64>(in + sizeof(quint64));
    if (age < 0) return false;
    crashes->push_back({qFromLittleEndian<quint64>(in), Duration(age)});
  }
  return true;
}

QCborValue ToCbor(const SuspectNews& news) {
  QCborArray entries;
  for (const SuspectEntry& entry : news.entries) {
    const qint64 cleared_age = entry.cleared_age ? entry.cleared_age->count() : kNeverCleared;
    entries.append(QCborArray{Bytes(entry.suspect.digest), static_cast<qint64>(entry.suspect.depth),
                              CrashesToBytes(entry.crashes), cleared_age});
  }
  return QCborArray{Bytes(news.router), news.is_summary, static_cast<qint64>(news.accused_hash),
                    entries};
}

bool FromCbor(const QCborArray& items, SuspectNews* news) {
  news->router = ToText(items.at(0));
  news->is_summary = items.at(1).toBool();
  news->accused_hash = static_cast<std::uint64_t>(items.at(2).toInteger());
  const QCborArray entries = items.at(3).toArray();
  if (items.size() != 4 || entries.size() > kMaxEntries) return false;
  for (const QCborValue item : entries) {
    const QCborArray fields = item.toArray();
    SuspectEntry& entry = news->entries.emplace_back();
    entry.suspect = {ToText(fields.at(0)), fields.at(1).toInteger()};
    const qint64 cleared_age = fields.at(3).toInteger(kNeverCleared);
    if (cleared_age >= 0) entry.cleared_age = Duration(cleared_age);
    if (entry.suspect.digest.empty() || fields.size() != 4) return false;
    if (!CrashesFromBytes(fields.at(2).toByteArray(), &entry.crashes)) return false;
  }
  return true;
}

QCborValue ToCbor(const HintNews& news) {
  QCborArray cache;
  for (const CacheNews& one : news.cache) cache.append(ToCbor(one));
  return QCborArray{cache, ToCbor(news.loads), static_cast<qint64>(news.routers)};
}

bool FromCbor(const QCborArray& items, HintNews* news) {
  for (const QCborValue item : items.at(0).toArray()) {
    if (!FromCbor(item.toArray(), &news->cache.emplace_back())) return false;
  }
  news->loads = EngineLoadsFrom(items.at(1));
  news->routers = items.at(2).toInteger();
  return items.size() == 3;
}

// Keys stand in one byte string, the lowest byte first.
QCborValue ToCbor(const PartsWanted& wanted) {
  QByteArray bytes(static_cast<qsizetype>(wanted.keys.size() * sizeof(quint64)), Qt::Uninitialized);
  char* out = bytes.data();
  for (const std::uint64_t key : wanted.keys) {
    qToLittleEndian(static_cast<quint64>(key), out);
    out += sizeof(quint64);
  }
  return QCborArray{bytes};
}

bool FromCbor(const QCborArray& items, PartsWanted* wanted) {
  const QByteArray bytes = items.at(0).toByteArray();
  constexpr auto kKeyBytes = static_cast<qsizetype>(sizeof(quint64));
  for (qsizetype at = 0; at + kKeyBytes <= bytes.size(); at += kKeyBytes) {
    wanted->keys.push_back(qFromLittleEndian<quint64>(bytes.constData() + at));
  }
  return items.size() == 1 && items.at(0).isByteArray() && bytes.size() % kKeyBytes == 0;
}

constexpr qsizetype kMaxQuotaItems = 4096;

QCborValue ToCbor(const QuotaAsked& asked) {
  QCborArray organisations;
  for (const QuotaAsked::Organisation& organisation : asked.organisations) {
    QCborArray waiting;
    for (const std::int64_t units : organisation.waiting) {
      waiting.append(static_cast<qint64>(units));
    }
    organisations.append(QCborArray{Bytes(organisation.name), waiting,
                                    static_cast<qint64>(organisation.advance),
                                    static_cast<qint64>(organisation.returned)});
  }
  return QCborArray{Bytes(asked.router), static_cast<qint64>(asked.incarnation),
                    static_cast<qint64>(asked.number), organisations};
}

bool FromCbor(const QCborArray& items, QuotaAsked* asked) {
  asked->router = ToText(items.at(0));
  asked->incarnation = items.at(1).toInteger();
  asked->number = items.at(2).toInteger();
  const QCborArray organisations = items.at(3).toArray();
  if (items.size() != 4 || organisations.size() > kMaxQuotaItems) return false;
  for (const QCborValue item : organisations) {
    const QCborArray fields = item.toArray();
    const QCborArray waiting = fields.at(1).toArray();
    if (fields.size() != 4 || waiting.size() > kMaxQuotaItems) return false;
    QuotaAsked::Organisation& organisation = asked->organisations.emplace_back();
    organisation.name = ToText(fields.at(0));
    for (const QCborValue units : waiting) {
      if (units.toInteger(-1) < 0) return false;
      organisation.waiting.push_back(units.toInteger());
    }
    organisation.advance = fields.at(2).toInteger();
    organisation.returned = fields.at(3).toInteger();
    if (organisation.advance < 0) return false;
  }
  return true;
}

QCborValue ToCbor(const QuotaGranted& granted) {
  QCborArray organisations;
  for (const QuotaGranted::Organisation& organisation : granted.organisations) {
    organisations.append(QCborArray{Bytes(organisation.name),
                                    static_cast<qint64>(organisation.units),
                                    static_cast<qint64>(organisation.available_after.count()),
                                    static_cast<qint64>(organisation.outage_units)});
  }
  return QCborArray{Bytes(granted.router), static_cast<qint64>(granted.incarnation),
                    static_cast<qint64>(granted.number), static_cast<qint64>(granted.term),
                    organisations};
}

bool FromCbor(const QCborArray& items, QuotaGranted* granted) {
  granted->router = ToText(items.at(0));
  granted->incarnation = items.at(1).toInteger();
  granted->number = items.at(2).toInteger();
  granted->term = static_cast<std::uint64_t>(items.at(3).toInteger());
  const QCborArray organisations = items.at(4).toArray();
  if (items.size() != 5 || organisations.size() > kMaxQuotaItems) return false;
  for (const QCborValue item : organisations) {
    const QCborArray fields = item.toArray();
    if (fields.size() != 4) return false;
    granted->organisations.push_back({ToText(fields.at(0)), fields.at(1).toInteger(),
                                      Duration(fields.at(2).toInteger()),
                                      fields.at(3).toInteger()});
    if (granted->organisations.back().units < 0) return false;
  }
  return true;
}

// An age of something that hasn't happened.
constexpr qint64 kNoAge = -1;
constexpr qsizetype kMaxTrials = 1024;

qint64 AgeToNumber(const std::optional<Duration>& age) { return age ? age->count() : kNoAge; }

std::optional<Duration> AgeFrom(const QCborValue& value) {
  const qint64 age = value.toInteger(kNoAge);
  return age >= 0 ? std::optional(Duration(age)) : std::nullopt;
}

QCborValue ToCbor(const TrialNews& news) {
  QCborArray trials;
  for (const SuspectTrial& trial : news.trials) {
    QCborArray suspects;
    for (const Suspect& suspect : trial.suspects) {
      suspects.append(QCborArray{Bytes(suspect.digest), static_cast<qint64>(suspect.depth)});
    }
    trials.append(
        QCborArray{static_cast<qint64>(trial.id), suspects, static_cast<qint64>(trial.state),
                   static_cast<qint64>(trial.announced_age.count()), AgeToNumber(trial.sent_age),
                   static_cast<qint64>(trial.server), AgeToNumber(trial.crashed_age)});
  }
  QCborArray crashes;
  for (const ServerCrash& crash : news.crashes) {
    crashes.append(
        QCborArray{static_cast<qint64>(crash.server), static_cast<qint64>(crash.age.count())});
  }
  return QCborArray{trials, crashes};
}

bool FromCbor(const QCborArray& fields, SuspectTrial* trial) {
  constexpr auto kLastState = static_cast<qint64>(TrialState::kWithdrawn);
  const QCborArray suspects = fields.at(1).toArray();
  const qint64 state = fields.at(2).toInteger(kLastState + 1);
  const auto announced_age = AgeFrom(fields.at(3));
  if (fields.size() != 7 || suspects.isEmpty() || suspects.size() > kMaxEntries) return false;
  if (state < 0 || state > kLastState || !announced_age) return false;
  for (const QCborValue item : suspects) {
    const QCborArray pair = item.toArray();
    trial->suspects.push_back({ToText(pair.at(0)), pair.at(1).toInteger()});
    if (pair.size() != 2 || trial->suspects.back().digest.empty()) return false;
  }
  trial->id = static_cast<std::uint64_t>(fields.at(0).toInteger());
  trial->state = static_cast<TrialState>(state);
  trial->announced_age = *announced_age;
  trial->sent_age = AgeFrom(fields.at(4));
  trial->server = static_cast<std::uint64_t>(fields.at(5).toInteger());
  trial->crashed_age = AgeFrom(fields.at(6));
  return true;
}

bool FromCbor(const QCborArray& items, TrialNews* news) {
  const QCborArray trials = items.at(0).toArray();
  const QCborArray crashes = items.at(1).toArray();
  if (items.size() != 2 || trials.size() > kMaxTrials || crashes.size() > kMaxTrials) return false;
  for (const QCborValue item : trials) {
    if (!FromCbor(item.toArray(), &news->trials.emplace_back())) return false;
  }
  for (const QCborValue item : crashes) {
    const QCborArray pair = item.toArray();
    const auto age = AgeFrom(pair.at(1));
    if (pair.size() != 2 || !age) return false;
    news->crashes.push_back({static_cast<std::uint64_t>(pair.at(0).toInteger()), *age});
  }
  return true;
}

// Keys and lifetimes in milliseconds of the streams of one origin stand in one byte string: 16
// bytes and 4, the lowest first.
constexpr qsizetype kStreamBytes = kStreamKeyBytes + sizeof(quint32);
constexpr qsizetype kMaxOrigins = 4096;
constexpr qsizetype kMaxStreams = 100'000;

QByteArray StreamToBytes(const StreamRecord& record) {
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(record.lifetime);
  constexpr qint64 kMaxMillis = std::numeric_limits<quint32>::max();
  QByteArray bytes = QByteArray::fromStdString(record.key).leftJustified(kStreamBytes, 0, true);
  qToLittleEndian(static_cast<quint32>(std::clamp<qint64>(millis.count(), 0, kMaxMillis)),
                  bytes.data() + kStreamKeyBytes);
  return bytes;
}

QCborValue ToCbor(const StreamNews& news) {
  std::map<std::pair<std::string, std::string>, QByteArray> by_origin;
  for (const StreamRecord& record : news.streams) {
    by_origin[{record.origin.service, record.origin.software_version}] += StreamToBytes(record);
  }
  QCborArray origins;
  for (const auto& [origin, streams] : by_origin) {
    origins.append(QCborArray{Bytes(origin.first), Bytes(origin.second), streams});
  }
  return QCborArray{origins};
}

bool FromCbor(const QCborArray& items, StreamNews* news) {
  const QCborArray origins = items.at(0).toArray();
  if (items.size() != 1 || origins.size() > kMaxOrigins) return false;
  for (const QCborValue item : origins) {
    const QCborArray fields = item.toArray();
    const QByteArray streams = fields.at(2).toByteArray();
    if (fields.size() != 3 || streams.size() % kStreamBytes != 0) return false;
    if (streams.size() / kStreamBytes > kMaxStreams) return false;
    for (qsizetype at = 0; at < streams.size(); at += kStreamBytes) {
      const auto millis = qFromLittleEndian<quint32>(streams.constData() + at + kStreamKeyBytes);
      news->streams.push_back({streams.mid(at, kStreamKeyBytes).toStdString(),
                               {ToText(fields.at(0)), ToText(fields.at(1))},
                               std::chrono::milliseconds(millis)});
    }
  }
  return true;
}

QCborValue ToCbor(const StreamAsked& asked) {
  return QCborArray{Bytes(asked.router), static_cast<qint64>(asked.number), Bytes(asked.key)};
}

bool FromCbor(const QCborArray& items, StreamAsked* asked) {
  asked->router = ToText(items.at(0));
  asked->number = items.at(1).toInteger();
  asked->key = ToText(items.at(2));
  return items.size() == 3 && asked->key.size() == kStreamKeyBytes;
}

QCborValue ToCbor(const StreamTold& told) {
  QCborArray origin;
  if (told.origin) {
    origin = {Bytes(told.origin->service), Bytes(told.origin->software_version)};
  }
  return QCborArray{static_cast<qint64>(told.number), origin};
}

bool FromCbor(const QCborArray& items, StreamTold* told) {
  told->number = items.at(0).toInteger();
  const QCborArray origin = items.at(1).toArray();
  if (!origin.isEmpty()) told->origin = {ToText(origin.at(0)), ToText(origin.at(1))};
  return items.size() == 2 && (origin.isEmpty() || origin.size() == 2);
}

// Reads the alternative with this number, which is its place in the variant.
template <std::size_t Index = 0>
bool AlternativeFromCbor(qint64 number, const QCborArray& items, ControlNews* news) {
  if constexpr (Index < std::variant_size_v<ControlNews>) {
    if (number != static_cast<qint64>(Index)) {
      return AlternativeFromCbor<Index + 1>(number, items, news);
    }
    return FromCbor(items, &news->emplace<Index>());
  } else {
    return false;
  }
}

}  // namespace

std::string Encode(const ControlNews& news) {
  const QCborValue body = std::visit([](const auto& one) { return ToCbor(one); }, news);
  const QCborArray items{static_cast<qint64>(news.index()), body};
  return items.toCborValue().toCbor().toStdString();
}

std::optional<ControlNews> DecodeControlNews(std::string_view bytes) {
  // Of bytes that were cut short the parser returns what it has read.
  QCborParserError error;
  const QCborArray items =
      QCborValue::fromCbor(QByteArray(bytes.data(), static_cast<qsizetype>(bytes.size())), &error)
          .toArray();
  if (error.error != QCborError::NoError) return std::nullopt;
  if (items.size() != 2 || !items.at(0).isInteger() || !items.at(1).isArray()) return std::nullopt;
  ControlNews news;
  if (!AlternativeFromCbor(items.at(0).toInteger(), items.at(1).toArray(), &news)) {
    return std::nullopt;
  }
  return news;
}

}  // namespace kumquat

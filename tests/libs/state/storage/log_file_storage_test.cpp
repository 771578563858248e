#include "state/storage/log_file_storage.h"

#include <fmt/format.h>

#include <QTemporaryDir>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <utility>

#include "coordination/log/replicated_log.h"
#include "property.h"
#include "utils/log.h"

namespace kumquat {
namespace {

namespace fs = std::filesystem;

LogEntry Entry(std::uint64_t term, std::uint64_t index, const std::string& payload) {
  return {term, index, EntryKind::kCommand, payload};
}

// A data folder that is removed at the end, and what a test does to its files.
class Folder {
 public:
  Folder() { ConfigureLog("test", LogLevel::kError); }

  std::string path() const { return directory_.path().toStdString() + "/data"; }

  std::unique_ptr<LogFileStorage> Open(FileCalls calls = SystemFileCalls()) const {
    return std::make_unique<LogFileStorage>(
        path(), [] { return 77; }, std::move(calls));
  }

  // Opens, loads and closes again.
  std::optional<StoredLog> Load() {
    const auto storage = Open();
    auto stored = storage->Load();
    last_reason_ = storage->last_reason();
    return stored;
  }

  std::string FileNamed(const std::string& prefix) const {
    for (const auto& file : fs::directory_iterator(path())) {
      if (file.path().filename().string().starts_with(prefix)) return file.path();
    }
    return "";
  }

  static std::string Read(const std::string& file) {
    std::ostringstream bytes;
    bytes << std::ifstream(file, std::ios::binary).rdbuf();
    return bytes.str();
  }

  static void Write(const std::string& file, const std::string& bytes) {
    std::ofstream(file, std::ios::binary) << bytes;
  }

  const std::string& last_reason() const { return last_reason_; }

 private:
  QTemporaryDir directory_;
  std::string last_reason_;
};

void AppendAndSync(LogStorage& storage, const LogEntry& entry) {
  storage.Append({&entry, 1});
  REQUIRE(storage.Sync());
}

// Returns the length of the log before the last batch.
std::size_t WriteThreeBatches(const Folder& folder) {
  const auto storage = folder.Open();
  REQUIRE(storage->Load());
  AppendAndSync(*storage, Entry(1, 1, "first"));
  AppendAndSync(*storage, Entry(1, 2, "second"));
  const std::size_t length_of_two = fs::file_size(folder.FileNamed("log-"));
  AppendAndSync(*storage, Entry(2, 3, "third"));
  return length_of_two;
}

// Calls `check` for every byte of the first `length` that is flipped in turn.
void FlipEachByte(const std::string& file, std::size_t length,
                  const std::function<void(const std::string& damaged)>& check) {
  const std::string whole = Folder::Read(file);
  for (std::size_t offset = 0; offset < std::min(length, whole.size()); ++offset) {
    std::string damaged = whole;
    damaged[offset] = static_cast<char>(damaged[offset] ^ 0x10);
    Folder::Write(file, damaged);
    check(damaged);
  }
  Folder::Write(file, whole);
}

TEST_CASE("A log cut at any byte of its last record loads without that record") {
  Folder folder;
  const std::size_t length_of_two = WriteThreeBatches(folder);
  const std::string file = folder.FileNamed("log-");
  const std::string whole = Folder::Read(file);
  CHECK(folder.Load()->entries.size() == 3);
  for (std::size_t length = length_of_two; length < whole.size(); ++length) {
    Folder::Write(file, whole.substr(0, length));
    const auto cut = folder.Load();
    REQUIRE(cut);
    REQUIRE(cut->entries.size() == 2);
    REQUIRE(fs::file_size(file) == length_of_two);
  }
  const auto storage = folder.Open();
  REQUIRE(storage->Load());
  AppendAndSync(*storage, Entry(3, 3, "another third"));
}

std::string Hex(const std::string& bytes) {
  std::string text;
  for (const char byte : bytes) text += fmt::format("{:02x}", static_cast<unsigned char>(byte));
  return text;
}

// Guards against a data folder that can't be read once it is on another kind of machine. Each
// record is "kqrc", the payload's length and its checksum, both lowest byte first, and the payload.
TEST_CASE("Files hold the same bytes on every kind of machine") {
  Folder folder;
  {
    const auto storage = folder.Open();
    REQUIRE(storage->Load());
    storage->SaveVote({3, ReplicaId{"a", 5}});
    AppendAndSync(*storage, Entry(1, 1, "\xff\x80"));
  }
  CHECK(Hex(Folder::Read(folder.FileNamed("vote"))) ==
        "6b7172630700000000000000fb3bdae709d17d1a82038182416105");
  CHECK(Hex(Folder::Read(folder.FileNamed("log-"))) ==
        "6b7172630300000000000000d8e66762678cb4aa820000"
        "6b7172630a00000000000000c63105a48249d9b08200818401010042ff80");
}

TEST_CASE("A flipped byte before the last record is refused with file and offset") {
  Folder folder;
  const std::size_t length_of_two = WriteThreeBatches(folder);
  const std::string file = folder.FileNamed("log-");
  FlipEachByte(file, length_of_two, [&](const std::string& damaged) {
    REQUIRE(!folder.Load());
    REQUIRE(folder.last_reason().find(file) != std::string::npos);
    REQUIRE(folder.last_reason().find("offset") != std::string::npos);
    REQUIRE(Folder::Read(file) == damaged);
  });
}

TEST_CASE("A flipped byte in vote, identity or snapshot, and a missing file, are refused") {
  Folder folder;
  {
    const auto storage = folder.Open();
    REQUIRE(storage->Load());
    storage->SaveVote({3, ReplicaId{"a", 5}});
    AppendAndSync(*storage, Entry(1, 1, "first"));
    storage->SaveSnapshot({1, 1, {{{"a", 5}}}, "state"});
    REQUIRE(storage->Sync());
    AppendAndSync(*storage, Entry(1, 2, "second"));
  }
  for (const std::string prefix : {"vote", "identity", "snapshot-"}) {
    const std::string file = folder.FileNamed(prefix);
    FlipEachByte(file, fs::file_size(file), [&](const std::string&) { REQUIRE(!folder.Load()); });
  }
  for (const std::string prefix : {"identity", "snapshot-", "log-"}) {
    const std::string file = folder.FileNamed(prefix);
    fs::rename(file, folder.path() + "/elsewhere");
    CHECK(!folder.Load());
    fs::rename(folder.path() + "/elsewhere", file);
  }
  const auto stored = folder.Load();
  REQUIRE(stored);
  CHECK(stored->vote == VoteState{3, ReplicaId{"a", 5}});
  CHECK(stored->snapshot->state == "state");
  CHECK(stored->entries == std::vector{Entry(1, 2, "second")});
}

TEST_CASE("Two processes can't share a data folder") {
  Folder folder;
  const auto first = folder.Open();
  REQUIRE(first->Load());
  CHECK(!folder.Load());
  CHECK(folder.last_reason().find("Another process") != std::string::npos);
}

// Writes at most `budget` bytes and syncs `syncs` times, then fails as a full or bad disk does.
FileCalls FailingCalls(std::size_t* budget, std::size_t* syncs) {
  FileCalls calls = SystemFileCalls();
  const FileCalls system = calls;
  calls.write = [system, budget](int descriptor, const void* data, std::size_t size) -> ssize_t {
    const std::size_t possible = std::min(size, *budget);
    if (possible == 0) {
      errno = ENOSPC;
      return -1;
    }
    *budget -= possible;
    return system.write(descriptor, data, possible);
  };
  calls.sync = [system, syncs](int descriptor) {
    if (*syncs > 0) {
      --*syncs;
      return system.sync(descriptor);
    }
    errno = EIO;
    return -1;
  };
  return calls;
}

TEST_CASE("A vote, a snapshot or an entry counts as saved only after its own sync") {
  using Write = void (*)(LogStorage & storage);
  const std::vector<Write> writes = {
      [](LogStorage& storage) {
        storage.SaveVote({3, ReplicaId{"a", 5}});
      },
      [](LogStorage& storage) {
        storage.SaveSnapshot({1, 1, {}, "state"});
      },
      [](LogStorage& storage) { storage.Append(std::vector{Entry(1, 1, "first")}); }};
  for (const Write& write : writes) {
    Folder folder;
    std::size_t budget = 1'000'000;
    std::size_t syncs = budget;
    const auto storage = folder.Open(FailingCalls(&budget, &syncs));
    REQUIRE(storage->Load());
    syncs = 0;
    write(*storage);
    CHECK(!storage->Sync());
    syncs = budget;
    CHECK(!storage->Sync());
  }
}

class SilentMachine : public StateMachine {
 public:
  std::string Apply(std::uint64_t, std::string_view) override { return ""; }
  std::string Snapshot() const override { return ""; }
  bool Restore(std::string_view) override { return true; }
};

TEST_CASE("A disk that fails or is full ends the replica, and nothing more is answered") {
  constexpr std::size_t kPlenty = 1'000'000;
  for (const bool full : {false, true}) {
    Folder folder;
    std::size_t budget = kPlenty;
    std::size_t syncs = kPlenty;
    const auto storage = folder.Open(FailingCalls(&budget, &syncs));
    SilentMachine machine;
    std::size_t applied = 0;
    std::size_t failures = 0;
    Instant now{0};
    const auto log = ReplicatedLog::Builder()
                         .Name("a")
                         .MemberNames({"a"})
                         .Storage(storage.get())
                         .Machine(&machine)
                         .Time([&] { return now; })
                         .Randomness([] { return 1; })
                         .OnSend([](const LogMessage&) {})
                         .OnApplied([&](const LogPosition&, std::string_view) { ++applied; })
                         .OnFailed([&](const std::string&) { ++failures; })
                         .Build();
    REQUIRE(log->Start());
    log->Tick();
    REQUIRE(log->Propose("kept"));
    log->Flush();
    REQUIRE(applied == 1);

    (full ? budget : syncs) = full ? 10 : 0;
    REQUIRE(log->Propose("lost"));
    log->Flush();
    budget = kPlenty;
    syncs = kPlenty;
    log->Tick();
    CHECK(log->role() == LogRole::kFailed);
    CHECK(failures == 1);
    CHECK(applied == 1);
    CHECK(!log->Propose("refused"));
    CHECK(!storage->Sync());
  }
}

// What a storage should hold, kept the simplest way.
struct Model {
  VoteState vote;
  std::uint64_t base = 0;
  std::optional<LogSnapshot> snapshot;
  std::vector<LogEntry> entries;

  std::uint64_t last() const { return base + entries.size(); }
  bool operator==(const Model&) const = default;
};

// Queues one random write with the storage and the model.
void RandomWrite(LogStorage& storage, Model& model, std::uint64_t term) {
  const auto number = [](std::uint64_t low, std::uint64_t high) {
    return *rc::gen::inRange<std::uint64_t>(low, high);
  };
  const std::uint64_t kind = number(0, 10);
  if (kind == 0) {
    model.vote = {term, ReplicaId{"b", term}};
    storage.SaveVote(model.vote);
  } else if (kind == 1 && !model.entries.empty()) {
    const std::uint64_t index = number(model.base + 1, model.last() + 1);
    model.entries.resize(index - model.base - 1);
    storage.TruncateFrom(index);
  } else if (kind == 2) {
    const std::uint64_t index = number(model.base + 1, model.last() + 3);
    const bool known = index <= model.last();
    const std::uint64_t own = known ? model.entries[index - model.base - 1].term : term;
    model.snapshot = {index, own, {{{"a", 1}, {"b", 2}}}, std::string(index, 's')};
    const auto kept =
        known ? model.entries.begin() + static_cast<long>(index - model.base) : model.entries.end();
    model.entries.erase(model.entries.begin(), kept);
    model.base = index;
    storage.SaveSnapshot(*model.snapshot);
  } else {
    model.entries.push_back(Entry(term, model.last() + 1, std::string(term % 40, 'x')));
    storage.Append({&model.entries.back(), 1});
  }
}

Model ModelOf(const StoredLog& stored) {
  const std::uint64_t base = stored.snapshot ? stored.snapshot->index : 0;
  return {stored.vote, base, stored.snapshot, stored.entries};
}

TEST_CASE("What was synced is found again, whenever a write or a sync fails") {
  CheckProperty("What was synced is found again", [] {
    Folder folder;
    Model synced;
    std::uint64_t term = 0;
    for (int process = 0; process < 6; ++process) {
      std::size_t budget = 1'000'000;
      std::size_t syncs = 1'000'000;
      auto storage = folder.Open(FailingCalls(&budget, &syncs));
      const auto stored = storage->Load();
      RC_ASSERT(stored.has_value());
      RC_ASSERT(process == 0 || stored->storage_identity == 77U);
      Model model = ModelOf(*stored);
      RC_ASSERT(model == synced);
      const bool by_budget = *rc::gen::arbitrary<bool>();
      (by_budget ? budget : syncs) = *rc::gen::inRange<std::size_t>(0, by_budget ? 2'000 : 12);
      bool works = true;
      for (int batch = 0; works && batch < 12; ++batch) {
        for (auto writes = *rc::gen::inRange(0, 4); writes > 0; --writes) {
          RandomWrite(*storage, model, ++term);
        }
        works = storage->Sync();
        if (works) synced = model;
      }
      if (works) continue;
      RC_ASSERT(!storage->Sync());
      // The failed batch may be there, or parts of it: the vote first, then snapshot, then entries.
      const Model before = synced;
      storage.reset();
      const auto found = folder.Load();
      RC_ASSERT(found.has_value());
      synced = ModelOf(*found);
      RC_ASSERT(synced.vote == before.vote || synced.vote == model.vote);
      RC_ASSERT(synced.snapshot == before.snapshot || synced.snapshot == model.snapshot);
      if (synced.snapshot == before.snapshot && synced.entries != model.entries) {
        RC_ASSERT(synced.entries == before.entries);
      }
    }
  });
}

}  // namespace
}  // namespace kumquat

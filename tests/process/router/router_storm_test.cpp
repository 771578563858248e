// Streams and bookings through real routers under faults at seeded moments.
#include <fmt/format.h>

#include <random>
#include <set>

#include "process/router/system_bench.h"
#include "seed.h"

namespace kumquat {
namespace {

constexpr std::uint64_t kSeed = 20261204;

struct Chat {
  std::string text;
  int router = 0;
  std::unique_ptr<TestCall> call;
};

struct Booking {
  std::string key;
  int router = 0;
  bool answered = false;
  std::string last_ran = "unknown";
  std::unique_ptr<TestCall> call;
};

// What came of the chats and bookings of one run.
struct Tally {
  int whole = 0;
  int refused = 0;
  int interrupted = 0;
  int lost_with_router = 0;
};

class Storm {
 public:
  explicit Storm(SystemBench& bench) : bench_(bench), generator_(TestSeed(kSeed)) {}

  // Keeps chats and bookings in progress, and does a fault after every few ends.
  void Run(int chats, int bookings, int ends_per_fault) {
    while (started_chats_ < chats || started_bookings_ < bookings || !in_progress_.empty() ||
           !calling_.empty()) {
      while (in_progress_.size() < 30 && started_chats_ < chats) StartChat();
      while (calling_.size() < 10 && started_bookings_ < bookings) StartBooking();
      const int seen = ends_;
      REQUIRE(SpinUntil([&] {
        Collect();
        return ends_ > seen;
      }));
      if (ends_ / ends_per_fault > faults_) DoFault();
    }
  }

  const Tally& chats() const { return chats_; }
  const std::map<std::string, Booking>& bookings() const { return done_; }

  // Returns how often this kind of refusal or error event came.
  int kinds(const std::string& kind) const { return kinds_.contains(kind) ? kinds_.at(kind) : 0; }

  // Returns how often each kind came.
  std::string KindsText() const {
    std::string text;
    for (const auto& [kind, count] : kinds_) text += fmt::format(" {}={}", kind, count);
    return text;
  }

 private:
  int Pick(int bound) { return static_cast<int>(generator_() % static_cast<unsigned>(bound)); }

  void StartChat() {
    Chat chat;
    chat.text = "question " + std::to_string(++started_chats_);
    chat.router = Pick(SystemBench::kRouters);
    chat.call = bench_.StartChat(chat.router, chat.text);
    in_progress_.push_back(std::move(chat));
  }

  void StartBooking() {
    Booking booking;
    booking.key = "booking-" + std::to_string(++started_bookings_);
    booking.router = Pick(SystemBench::kRouters);
    booking.call = bench_.StartBooking(booking.router, booking.key);
    calling_.push_back(std::move(booking));
  }

  void Collect() {
    for (std::size_t i = in_progress_.size(); i-- > 0;) {
      if (!in_progress_[i].call->done()) continue;
      ++ends_;
      Judge(in_progress_[i]);
      in_progress_.erase(in_progress_.begin() + static_cast<std::ptrdiff_t>(i));
    }
    for (std::size_t i = calling_.size(); i-- > 0;) {
      if (!calling_[i].call->done()) continue;
      ++ends_;
      Booking booking = std::move(calling_[i]);
      calling_.erase(calling_.begin() + static_cast<std::ptrdiff_t>(i));
      Judge(std::move(booking));
    }
  }

  void Judge(const Chat& chat) {
    const TestCall& call = *chat.call;
    const std::string expected = SystemBench::ChatText(chat.text);
    const std::string text = SystemBench::TextOf(call);
    CAPTURE(chat.text);
    CHECK(expected.starts_with(text));
    if (call.ended && call.status == 200 && call.done_marker()) {
      CHECK(text == expected);
      ++chats_.whole;
      return;
    }
    CHECK(!call.done_marker());
    // A router ends a stream that it gives up with an error event and leaves the transfer open.
    const auto refusal = RefusalOf(call);
    if (!refusal && call.failure) {
      CHECK(killed_routers_.count(chat.router) == 1);
      ++chats_.lost_with_router;
      return;
    }
    CAPTURE(call.status);
    CAPTURE(call.body);
    REQUIRE(refusal);
    (call.status == 200 ? chats_.interrupted : chats_.refused) += 1;
    if (call.status == 200) TellStory(call);
    ++kinds_[refusal->kind];
  }

  // An interrupted chat has a cause: what the routers logged of it says which.
  void TellStory(const TestCall& call) const {
    MESSAGE(call.events.back());
    MESSAGE(bench_.Explain(std::string(HeaderValue(call.headers, "X-Request-Id"))));
  }

  void Judge(Booking booking) {
    const TestCall& call = *booking.call;
    if (call.failure) {
      CHECK(killed_routers_.count(booking.router) == 1);
    } else {
      const auto refusal = RefusalOf(call);
      booking.answered = call.status == 201;
      CAPTURE(call.status);
      CAPTURE(call.body);
      if (!booking.answered) REQUIRE(refusal);
      booking.last_ran = booking.answered ? "yes" : refusal->ran;
    }
    // A clerk that has no answer sends the same booking again, once, through another router.
    const bool first = done_.count(booking.key) == 0;
    if (first && !booking.answered) {
      Booking again;
      again.key = booking.key;
      again.router = (booking.router + 1) % SystemBench::kRouters;
      done_[booking.key] = std::move(booking);
      again.call = bench_.StartBooking(again.router, again.key);
      calling_.push_back(std::move(again));
      return;
    }
    Booking& kept = done_[booking.key];
    kept.answered = kept.answered || booking.answered;
    // A booking counts as not run only if each of its answers said so.
    const bool may_have_run = !first && kept.last_ran != "no" && !booking.answered;
    kept.last_ran = may_have_run ? "unknown" : booking.last_ran;
  }

  void DoFault() {
    ++faults_;
    BenchBackend& engine = bench_.engine(Pick(SystemBench::kEngines));
    BenchBackend& service = bench_.service(Pick(SystemBench::kServices));
    // The fault before ends, so that one backend server at a time fails.
    if (frozen_) frozen_->Freeze(false);
    frozen_ = nullptr;
    const int router = Pick(SystemBench::kRouters);
    switch (Pick(8)) {
      case 0:
        engine.program->Kill();
        engine.program->Start();
        return;
      case 1:
        engine.relay->Cut();
        return;
      case 2:
        engine.relay->SilenceOpen();
        return;
      case 3:
        frozen_ = engine.relay.get();
        engine.relay->Freeze(true);
        return;
      case 4:
        service.relay->Cut();
        return;
      case 5:
        service.relay->SilenceOpen();
        return;
      case 6:
        killed_routers_.insert(router);
        bench_.router_program(router).Kill();
        bench_.router_program(router).Start();
        return;
      default:
        engine.relay->CutAfter(Pick(4000));
    }
  }

  SystemBench& bench_;
  std::mt19937_64 generator_;
  int started_chats_ = 0;
  int started_bookings_ = 0;
  int ends_ = 0;
  int faults_ = 0;
  Relay* frozen_ = nullptr;
  std::vector<Chat> in_progress_;
  std::vector<Booking> calling_;
  std::map<std::string, Booking> done_;
  std::set<int> killed_routers_;
  std::map<std::string, int> kinds_;
  Tally chats_;
};

TEST_CASE("Streams stay whole and bookings run once while backend servers fail") {
  SystemBench bench;
  Storm storm(bench);
  storm.Run(300, 150, 15);
  const Tally& chats = storm.chats();
  MESSAGE(fmt::format("chats: {} whole, {} refused, {} interrupted, {} lost with a router:{}",
                      chats.whole, chats.refused, chats.interrupted, chats.lost_with_router,
                      storm.KindsText()));
  CHECK(chats.interrupted == 0);
  // The plan allows far more than is ever in progress here.
  CHECK(storm.kinds("limit_exceeded") == 0);
  const auto runs = bench.BookingRuns();
  int answered = 0;
  for (const auto& [booked, booking] : storm.bookings()) {
    const std::string& key = booked;
    CAPTURE(key);
    const auto found = runs.find(key);
    const int count = found == runs.end() ? 0 : found->second;
    CHECK(count <= 1);
    if (booking.answered) CHECK(count == 1);
    if (booking.last_ran == "no") CHECK(count == 0);
    if (booking.answered) ++answered;
  }
  MESSAGE(fmt::format("bookings: {} of {} answered", answered, storm.bookings().size()));
}

}  // namespace
}  // namespace kumquat

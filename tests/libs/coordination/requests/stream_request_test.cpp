// Checks one streamed request against an oracle that keeps the text that the caller should receive.
#include "coordination/requests/stream_request.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <vector>

#include "property.h"

namespace kumquat {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Attempts may give different text at the same offset, since engines sample their tokens.
std::string TokenText(const std::string& attempt_id, std::int64_t offset) {
  return attempt_id + ":" + std::to_string(offset) + ";";
}

// Executes the commands, keeps the stream of every attempt so that it can send late events, and
// checks each command against what the caller should receive.
class Harness {
 public:
  explicit Harness(std::int64_t tokens)
      : tokens_(tokens),
        request_({"q", kDeadline, 4, 16},
                 {[this](std::span<const BackendChoice> avoid) { return Choose(avoid); },
                  [this](const BackendChoice& backend) { return IsDead(backend); },
                  [this](int, Instant at, Instant deadline) { return TryRetry(at, deadline); },
                  [this] { return condemned; }}) {
    Apply(request_.Start(now));
  }

  struct Stream {
    std::string id;
    BackendChoice backend;
    std::int64_t next = 0;
    bool headers = false;
    bool cancelled = false;
    bool ran = true;
    // Total number of tokens up to the end of the stream.
    std::int64_t tokens = 0;
  };

  // Sends the next part of the attempt's answer: the headers, a token or the end.
  void SendNext(Stream& stream) {
    if (!stream.headers) {
      stream.headers = true;
      Apply(request_.OnHeaders(stream.id, 200, now));
      return;
    }
    if (stream.next > stream.tokens) return;
    SendEvent(stream, stream.id, stream.next);
    ++stream.next;
  }

  // Sends the event with this offset on the stream; the event names `named_attempt`.
  void SendEvent(const Stream& stream, const std::string& named_attempt, std::int64_t offset) {
    const bool is_end = offset >= stream.tokens;
    EngineEvent event{named_attempt, std::min(offset, stream.tokens), "", is_end, "", {}};
    if (!is_end) event.text = TokenText(named_attempt, offset);
    Apply(request_.OnEvent(stream.id, event, now));
  }

  void SendStatus(Stream& stream, int status) {
    if (stream.headers || stream.cancelled) return;
    stream.headers = true;
    stream.ran = status != 409 && status != 429 && status != 503;
    Apply(request_.OnHeaders(stream.id, status, now));
  }

  void Fail(Stream& stream, CallFailure failure) {
    if (failure == CallFailure::kNotSent && stream.headers) return;
    if (failure == CallFailure::kNotSent && !stream.cancelled) stream.ran = false;
    Apply(request_.OnFailure(stream.id, failure, now));
  }

  void SendMalformedEvent(const Stream& stream) {
    Apply(request_.OnMalformedEvent(stream.id, now));
  }
  void CloseConnection(const Stream& stream) { Apply(request_.OnConnectionEnd(stream.id, now)); }
  void CallerGone() {
    Apply(request_.OnCallerGone(now));
    gone_ = true;
  }

  void KillBackend(const BackendChoice& backend) {
    dead_.push_back(backend);
    Apply(request_.OnBackendDead(backend, now));
  }

  void Wait(Duration time) {
    now += time;
    Apply(request_.OnWake(now));
  }

  // Runs the request without further faults until it is done.
  void RunToEnd() {
    for (int i = 0; i < 200 && !request_.done(); ++i) {
      if (Stream* live = ActiveStream()) SendNext(*live);
      Wait(milliseconds(20));
    }
  }

  Stream* ActiveStream() {
    const auto it = std::find_if(streams.begin(), streams.end(),
                                 [](const Stream& stream) { return !stream.cancelled; });
    return it != streams.end() ? &*it : nullptr;
  }

  bool done() const { return request_.done(); }
  bool ended() const { return ended_; }
  const std::optional<Error>& error() const { return error_; }
  const StreamRequest& request() const { return request_; }

  Instant now = seconds(1);
  std::vector<Stream> streams;
  bool condemned = false;
  int retries_left = 1000;
  int strikes = 0;
  // No backend server can be chosen before this time.
  Instant no_backend_until{0};

  static constexpr Instant kDeadline = seconds(60);

 private:
  std::optional<BackendChoice> Choose(std::span<const BackendChoice> avoid) const {
    if (now < no_backend_until) return std::nullopt;
    for (int i = 0; i < 20; ++i) {
      const BackendChoice choice{fmt::format("e{}", i), 1};
      if (std::find(avoid.begin(), avoid.end(), choice) == avoid.end() && !IsDead(choice)) {
        return choice;
      }
    }
    return std::nullopt;
  }

  bool IsDead(const BackendChoice& backend) const {
    return std::find(dead_.begin(), dead_.end(), backend) != dead_.end();
  }

  std::optional<Duration> TryRetry(Instant at, Instant deadline) {
    if (retries_left <= 0 || at + milliseconds(10) >= deadline) return std::nullopt;
    --retries_left;
    return milliseconds(10);
  }

  void Apply(const StreamCommands& commands) {
    for (const StreamCommand& command : commands) {
      std::visit([this](const auto& it) { On(it); }, command);
    }
  }

  void On(const stream_command::StartAttempt& start) {
    RC_ASSERT(!finished_);
    RC_ASSERT(ActiveStream() == nullptr);
    RC_ASSERT(now < kDeadline);
    RC_ASSERT(!condemned);
    RC_ASSERT(start.resume_text == seen_);
    RC_ASSERT(start.resume_offset == next_);
    RC_ASSERT(!IsDead(start.backend));
    for (const Stream& stream : streams) RC_ASSERT(stream.id != start.attempt_id);
    const auto index = static_cast<std::int64_t>(streams.size());
    streams.push_back({start.attempt_id, start.backend, start.resume_offset, false, false, true,
                       std::max(tokens_ + index % 2, next_)});
    RC_ASSERT(streams.size() <= 16U);
  }

  void On(const stream_command::CancelAttempt& cancel) {
    RC_ASSERT(ActiveStream() != nullptr);
    RC_ASSERT(ActiveStream()->id == cancel.attempt_id);
    ActiveStream()->cancelled = true;
  }

  void On(const stream_command::EmitText& emit) {
    RC_ASSERT(!finished_);
    RC_ASSERT(emit.offset == next_);
    RC_ASSERT(emit.text == TokenText(ActiveStream()->id, next_));
    ++next_;
    seen_ += emit.text;
  }

  void On(const stream_command::EmitEnd& /*end*/) {
    RC_ASSERT(!finished_);
    RC_ASSERT(next_ == ActiveStream()->tokens);
    finished_ = ended_ = true;
    ActiveStream()->cancelled = true;
  }

  void On(const stream_command::EmitError& emit) {
    RC_ASSERT(!finished_);
    RC_ASSERT(next_ > 0);
    RC_ASSERT(AnswerFor(emit.error.kind).ran == Ran::kUnknown);
    finished_ = true;
    error_ = emit.error;
  }

  void On(const stream_command::Refuse& refuse) {
    RC_ASSERT(!finished_);
    RC_ASSERT(next_ == 0);
    const bool ran = std::any_of(streams.begin(), streams.end(),
                                 [](const Stream& stream) { return stream.ran; });
    // A refusal by the backend server itself means that the request is not valid.
    if (refuse.error.kind != ErrorKind::kBadRequest) {
      RC_ASSERT(!ran || AnswerFor(refuse.error.kind).ran == Ran::kUnknown);
    }
    finished_ = true;
    error_ = refuse.error;
  }

  void On(const stream_command::RecordStrike& /*strike*/) { ++strikes; }
  void On(const stream_command::WakeAt& /*wake*/) {}
  void On(const stream_command::RecordSuccess& /*success*/) { RC_ASSERT(ended_); }
  void On(const stream_command::ProbeBackend& /*probe*/) {}

  std::int64_t tokens_;
  std::vector<BackendChoice> dead_;
  bool finished_ = false;
  bool ended_ = false;
  bool gone_ = false;
  std::int64_t next_ = 0;
  std::string seen_;
  std::optional<Error> error_;
  StreamRequest request_;
};

struct Step {
  int kind;
  std::size_t stream;
  int amount;
};

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << '{' << step.kind << ' ' << step.stream << ' ' << step.amount << '}';
}

// Any event may occur on any attempt, also on one that was abandoned long before.
void ExecuteStep(Harness* harness, const Step& step) {
  std::vector<Harness::Stream>& streams = harness->streams;
  Harness::Stream& stream = streams[streams.size() - 1 - step.stream % streams.size()];
  const std::int64_t nearby_offset = std::max<std::int64_t>(stream.next + step.amount % 5 - 2, 0);
  switch (step.kind) {
    case 0:
      harness->SendNext(stream);
      break;
    case 1:
      harness->SendEvent(stream, streams[step.amount % streams.size()].id, nearby_offset);
      break;
    case 2:
      harness->SendEvent(stream, "other-1", nearby_offset);
      break;
    case 3:
      harness->Fail(stream, static_cast<CallFailure>(step.amount % 3));
      break;
    case 4:
      harness->SendStatus(stream, std::array{409, 429, 500, 503, 400}[step.amount % 5]);
      break;
    case 5:
      harness->SendMalformedEvent(stream);
      break;
    case 6:
      harness->CloseConnection(stream);
      break;
    case 7:
      harness->KillBackend(stream.backend);
      break;
    case 8:
      harness->Wait(milliseconds(step.amount * step.amount / 50));
      break;
    case 9:
      harness->retries_left = step.amount;
      break;
    case 10:
      harness->condemned = step.amount < 20;
      break;
    case 11:
      harness->CallerGone();
      break;
    case 12:
      harness->no_backend_until = harness->now + milliseconds(step.amount * 150);
      break;
    default:
      break;
  }
}

}  // namespace

TEST_CASE("Under arbitrary faults the caller gets each token once, in order, and a correct end") {
  std::int64_t steps_run = 0;
  int ends = 0;
  int errors = 0;
  CheckProperty("the commands agree with the expected text", [&] {
    const auto step_generator = rc::gen::construct<Step>(
        rc::gen::weightedElement<int>({{60, 0},
                                       {6, 1},
                                       {3, 2},
                                       {4, 3},
                                       {2, 4},
                                       {1, 5},
                                       {1, 6},
                                       {1, 7},
                                       {12, 8},
                                       {1, 9},
                                       {1, 10},
                                       {1, 11},
                                       {1, 12}}),
        rc::gen::weightedOneOf<std::size_t>(
            {{4, rc::gen::just<std::size_t>(0)}, {1, rc::gen::inRange<std::size_t>(0, 16)}}),
        rc::gen::inRange(0, 100));
    const auto steps = *rc::gen::container<std::vector<Step>>(150, step_generator);
    Harness harness(*rc::gen::inRange<std::int64_t>(0, 30));
    for (const Step& step : steps) ExecuteStep(&harness, step);
    steps_run += 150;
    ends += harness.ended() ? 1 : 0;
    errors += harness.error() ? 1 : 0;
  });
  CHECK(steps_run >= 10'000);
  CHECK(ends > 0);
  CHECK(errors > 0);
}

TEST_CASE("A stream that is interrupted twice, at any token and in any way, is completed") {
  constexpr std::int64_t kTokens = 7;
  // The ways in which a stream can be interrupted.
  const std::vector<std::function<void(Harness&, Harness::Stream&)>> interruptions = {
      [](Harness& it, Harness::Stream& live) { it.Fail(live, CallFailure::kBroken); },
      [](Harness& it, Harness::Stream& live) { it.Fail(live, CallFailure::kSilent); },
      [](Harness& it, Harness::Stream& live) { it.CloseConnection(live); },
      [](Harness& it, Harness::Stream& live) { it.SendMalformedEvent(live); },
      [](Harness& it, Harness::Stream& live) { it.KillBackend(live.backend); },
      [](Harness& it, Harness::Stream& live) { it.SendEvent(live, live.id, live.next + 1); },
  };
  int streams = 0;
  for (const auto& first : interruptions) {
    for (const auto& second : interruptions) {
      for (std::int64_t at = 0; at <= kTokens + 1; ++at) {
        for (std::int64_t then = 0; then <= kTokens + 1; ++then) {
          Harness harness(kTokens);
          for (std::int64_t i = 0; i < at; ++i) harness.SendNext(*harness.ActiveStream());
          first(harness, *harness.ActiveStream());
          harness.Wait(milliseconds(20));
          for (std::int64_t i = 0; i < then && harness.ActiveStream() != nullptr; ++i) {
            harness.SendNext(*harness.ActiveStream());
          }
          if (harness.ActiveStream() != nullptr) second(harness, *harness.ActiveStream());
          harness.RunToEnd();
          REQUIRE(harness.ended());
          REQUIRE(harness.request().tokens_sent() >= kTokens);
          ++streams;
        }
      }
    }
  }
  CHECK(streams == 6 * 6 * 9 * 9);
}

TEST_CASE(
    "After a lost connection the same backend server is retried; if the retry can't be sent, it "
    "gets one strike and another one is used") {
  Harness harness(5);
  harness.SendNext(harness.streams[0]);
  harness.Fail(harness.streams[0], CallFailure::kSilent);
  harness.Wait(milliseconds(20));
  CHECK(harness.streams[1].backend == harness.streams[0].backend);
  CHECK(harness.strikes == 0);
  harness.Fail(harness.streams[1], CallFailure::kNotSent);
  CHECK(harness.strikes == 1);
  harness.Wait(milliseconds(20));
  CHECK(harness.streams[2].backend != harness.streams[0].backend);
  harness.KillBackend(harness.streams[0].backend);
  CHECK(harness.strikes == 1);
  harness.RunToEnd();
  CHECK(harness.ended());
}

TEST_CASE(
    "A dead backend server whose connection breaks gets a strike only if it was alive when the "
    "attempt began") {
  const BackendChoice backend{"engine-1", 1};
  const auto strikes = [&](bool was_dead) {
    bool is_dead = was_dead;
    StreamRequestHooks hooks;
    hooks.choose_backend = [&](std::span<const BackendChoice>) { return std::optional(backend); };
    hooks.is_backend_dead = [&](const BackendChoice&) { return is_dead; };
    hooks.try_retry = [](int, Instant, Instant) { return Duration(milliseconds(20)); };
    hooks.is_condemned = [] { return false; };
    StreamRequest request({"q", seconds(30), 4, 16}, std::move(hooks));
    request.Start(seconds(1));
    is_dead = true;
    const auto commands = request.OnFailure("q-1", CallFailure::kBroken, seconds(1));
    return std::count_if(commands.begin(), commands.end(), [](const StreamCommand& command) {
      return std::holds_alternative<stream_command::RecordStrike>(command);
    });
  };
  CHECK(strikes(true) == 0);
  CHECK(strikes(false) == 1);
}

TEST_CASE(
    "A request ends with the error for a passed deadline, an unsent attempt or a poison request, "
    "and waiting for a backend server takes no retry") {
  Harness late(5);
  late.Wait(Harness::kDeadline);
  CHECK(late.error()->kind == ErrorKind::kBackendServerFailed);

  Harness not_run(5);
  not_run.retries_left = 0;
  not_run.Fail(not_run.streams[0], CallFailure::kNotSent);
  CHECK(not_run.error()->kind == ErrorKind::kNoBackendServer);

  Harness waiting(5);
  waiting.KillBackend(waiting.streams[0].backend);
  waiting.no_backend_until = waiting.now + seconds(9);
  for (int i = 0; i < 200; ++i) waiting.Wait(milliseconds(50));
  CHECK(waiting.streams.size() == 2);
  CHECK(waiting.retries_left == 999);

  Harness poison(5);
  poison.SendNext(poison.streams[0]);
  poison.SendNext(poison.streams[0]);
  poison.KillBackend(poison.streams[0].backend);
  poison.condemned = true;
  poison.Wait(milliseconds(20));
  CHECK(poison.strikes == 1);
  CHECK(poison.error()->kind == ErrorKind::kPoisonRequest);
}

}  // namespace kumquat

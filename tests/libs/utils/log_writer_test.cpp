#include "utils/log_writer.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

namespace kumquat {
namespace {

using std::chrono::seconds;

// A pipe whose reader may be slow or gone.
class Pipe {
 public:
  Pipe() { REQUIRE(pipe(ends_.data()) == 0); }
  ~Pipe() {
    close(ends_[0]);
    close(ends_[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  int writer() const { return ends_[1]; }

  std::string Read(std::size_t most) const {
    std::string text(most, '\0');
    const ssize_t got = read(ends_[0], text.data(), text.size());
    text.resize(got > 0 ? static_cast<std::size_t>(got) : 0);
    return text;
  }

 private:
  std::array<int, 2> ends_{};
};

TEST_CASE("A full pipe drops lines, and whole lines go on once it is read") {
  const Pipe pipe;
  LogWriter writer(pipe.writer(), 1 << 30, [] { return seconds(1); });
  const std::string line = std::string(999, 'a') + '\n';
  int written = 0;
  while (writer.Write(line, false)) ++written;
  // The writer did not block, so the test got here.
  CHECK(written > 10);
  for (int i = 0; i < written; ++i) CHECK(pipe.Read(line.size()) == line);
  CHECK(writer.Write("next\n", false));
  CHECK(pipe.Read(100) == "next\n");
}

TEST_CASE("The budget of a second bounds what is written, urgent lines have their own") {
  const Pipe pipe;
  Instant now = seconds(1);
  LogWriter writer(pipe.writer(), 100, [&now] { return now; });
  const std::string line = std::string(49, 'a') + '\n';
  CHECK(writer.Write(line, false));
  CHECK(writer.Write(line, false));
  CHECK_FALSE(writer.Write(line, false));
  CHECK(writer.Write(line, true));
  now += seconds(1);
  CHECK(writer.Write(line, false));
  CHECK(pipe.Read(1000).size() == 4 * line.size());
}

TEST_CASE("A line that a pipe doesn't take whole is cut, and still ends") {
  const Pipe pipe;
  LogWriter writer(pipe.writer(), 1 << 30, [] { return seconds(1); });
  CHECK(writer.Write(std::string(10'000, 'a') + '\n', false));
  const std::string seen = pipe.Read(20'000);
  CHECK(seen.size() <= 4096);
  CHECK(seen.back() == '\n');
}

}  // namespace
}  // namespace kumquat

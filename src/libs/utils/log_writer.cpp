#include "utils/log_writer.h"

#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <climits>
#include <string>
#include <utility>

namespace kumquat {
namespace {

constexpr Duration kBudgetInterval = std::chrono::seconds(1);
// A pipe that can be written at all takes so many bytes at once.
constexpr std::size_t kMostBytes = PIPE_BUF;

}  // namespace

LogWriter::LogWriter(int descriptor, std::int64_t bytes_per_second, Clock clock)
    : descriptor_(descriptor),
      bytes_per_second_(bytes_per_second),
      clock_(std::move(clock)),
      second_began_(clock_()),
      usual_left_(bytes_per_second),
      urgent_left_(bytes_per_second) {}

bool LogWriter::TakesNow() const {
  pollfd wanted = {descriptor_, POLLOUT, 0};
  // A pipe that nobody reads any more reports an error beside.
  return poll(&wanted, 1, 0) == 1 && wanted.revents == POLLOUT;
}

bool LogWriter::TakeFrom(std::int64_t* budget, std::size_t bytes) {
  const Instant now = clock_();
  if (now - second_began_ >= kBudgetInterval) {
    second_began_ = now;
    usual_left_ = bytes_per_second_;
    urgent_left_ = bytes_per_second_;
  }
  if (*budget < static_cast<std::int64_t>(bytes)) return false;
  *budget -= static_cast<std::int64_t>(bytes);
  return true;
}

bool LogWriter::Write(std::string_view line, bool is_urgent) {
  std::string cut;
  if (line.size() > kMostBytes) {
    cut = std::string(line.substr(0, kMostBytes - 1)) + '\n';
    line = cut;
  }
  if (!TakeFrom(is_urgent ? &urgent_left_ : &usual_left_, line.size()) || !TakesNow()) return false;
  ssize_t written = -1;
  do {
    written = write(descriptor_, line.data(), line.size());
  } while (written < 0 && errno == EINTR);
  return std::cmp_equal(written, line.size());
}

}  // namespace kumquat

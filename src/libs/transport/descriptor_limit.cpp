#include "transport/descriptor_limit.h"

#include <sys/resource.h>

#include <algorithm>

namespace kumquat {
namespace {

// The users' platform keeps so many descriptors for files; a process with few keeps less.
constexpr std::int64_t kFileDescriptors = 200;
constexpr std::int64_t kFileDivisor = 4;
// Callers get half of the others, as each request in progress needs a connection to a backend
// server too.
constexpr std::int64_t kCallerDivisor = 2;
// Where the system tells no limit.
constexpr std::int64_t kUsualLimit = 1024;

std::int64_t LimitAtStart() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == 0) return kUsualLimit;
  constexpr rlim_t kHighest = 1'000'000;
  return static_cast<std::int64_t>(std::min(limit.rlim_cur, kHighest));
}

}  // namespace

std::int64_t DescriptorsForCallers(std::int64_t max_descriptors) {
  const std::int64_t limit = max_descriptors > 0 ? max_descriptors : LimitAtStart();
  const std::int64_t for_files = std::min(kFileDescriptors, limit / kFileDivisor);
  return std::max<std::int64_t>(1, (limit - for_files) / kCallerDivisor);
}

}  // namespace kumquat

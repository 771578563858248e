// What processes tell each other of streams that their callers may take up again.
#pragma once

#include <string>

#include "utils/hooks.h"

namespace kumquat {

// Where a stream began: it may go on only at servers of this service with this version of their
// software.
struct StreamOrigin {
  std::string service;
  std::string software_version;

  bool operator==(const StreamOrigin&) const = default;
};

struct StreamRecord {
  // Identifies the attempt that brought the first event, as StreamKey() gives it.
  std::string key;
  StreamOrigin origin;
  // For how much longer the stream may be taken up. A duration instead of a point in time, because
  // the clocks of processes differ.
  Duration lifetime{0};

  bool operator==(const StreamRecord&) const = default;
};

// Bytes of a key.
inline constexpr std::size_t kStreamKeyBytes = 16;

}  // namespace kumquat

// What of a request may crash the backend server that runs it.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "forwarding/forward_codec.h"
#include "protocol/suspect_entry.h"

namespace kumquat {

struct RequestSuspects {
  // The whole run first, then those of the beginning.
  std::vector<Suspect> all;

  // The request as the cause of crashes at any event of its answer. It is recorded with each lost
  // run, and only a complete answer clears it.
  std::span<const Suspect> whole_run() const { return std::span(all).first(1); }

  // The request itself, by its organisation, method, host, target and body, and the parts of its
  // prompt but the last, by model and part. They are recorded with runs that are lost before their
  // second event, and cleared by the second event of any run.
  std::span<const Suspect> beginning() const { return std::span(all).subspan(1); }
};

// Returns the suspects of a request of the organisation.
RequestSuspects SuspectsOf(const CallerRequest& request, std::string_view organisation);

}  // namespace kumquat

// Who a caller is and what its plan reaches.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/error_kind.h"
#include "protocol/lists.h"

namespace kumquat {

// The organisation that a caller acts for, within the lists of one revision.
struct Caller {
  const Organisation* organisation = nullptr;
  const Allowance* allowance = nullptr;
};

// Returns the caller that the Authorization field names; nothing when there is no such key. The
// pointers hold as long as the lists do.
std::optional<Caller> IdentifyCaller(std::string_view authorization_field, const Lists& lists);

// Returns the model that the caller means by this name, or the error: kModelUnknown when no plan
// has it, kModelNotAllowed when another plan has.
std::optional<ModelVersion> FindModel(const Caller& caller, std::string_view name,
                                      const Lists& lists, Error* error);

}  // namespace kumquat

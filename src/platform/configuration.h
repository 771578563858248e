// The users' configuration, decoded into the routing table.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "protocol/document.h"
#include "protocol/routing_table.h"

namespace kumquat::platform {

// Decodes a whole configuration. Nothing when it can't be read in full, with the reason in
// `reason`; whether it can be obeyed is ProblemOf()'s to say.
std::optional<RoutingTable> DecodeConfiguration(std::string_view body, std::string* reason);

// Returns the document with its content in the form that routers use. Documents hold what operators
// sent, so that it can be read back as it was. Nothing for a content that can't be decoded, which
// was never taken in.
std::optional<Document> CompileDocument(const Document& document);

}  // namespace kumquat::platform

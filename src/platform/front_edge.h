// How the users' callers and backend servers speak, for forwarded requests.
#pragma once

#include "forwarding/forward_codec.h"

namespace kumquat::platform {

// Returns the codec between the headers of the users' platform and the router's types.
ForwardCodec MakeForwardCodec();

}  // namespace kumquat::platform

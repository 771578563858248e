// The calls of control to the users' engines.
#pragma once

#include "cache_keeper.h"
#include "engine_codec.h"

namespace kumquat::platform {

// Returns the codec for reports and orders of the users' platform.
EngineCodec MakeEngineCodec();

// Returns the codec for cache events.
PartEventCodec MakePartEventCodec();

}  // namespace kumquat::platform

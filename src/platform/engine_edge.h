// The calls of control to the users' engines.
#pragma once

#include "engine_codec.h"
#include "store_watch.h"

namespace kumquat::platform {

// Returns the codec for reports and orders of the users' platform.
EngineCodec MakeEngineCodec();

// Returns the codec for the events of a store of kept cache.
StoreCodec MakeStoreCodec();

}  // namespace kumquat::platform

// SIGTERM and SIGINT as events of the loop.
#pragma once

#include <functional>

class QObject;

namespace kumquat {

// Calls the hook in the event loop at each SIGTERM or SIGINT, as long as the context lives.
// Once in a process.
void OnTermination(QObject* context, std::function<void()> hook);

}  // namespace kumquat

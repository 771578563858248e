// Assertions that log and carry on: a broken expectation must not drop the streams in progress.
#pragma once

#include "utils/log.h"

// Logs the broken condition and runs `action` (for example `return` or `continue`).
#define KUMQUAT_ASSERT(condition, action)                                                     \
  if (!(condition)) {                                                                         \
    ::kumquat::LogEvent(::kumquat::LogLevel::kError, "assertion_failed",                      \
                        {{"condition", #condition}, {"file", __FILE__}, {"line", __LINE__}}); \
    action;                                                                                   \
  }                                                                                           \
  static_assert(true, "a semicolon follows")

// Runs a rapidcheck property inside a doctest case.
#pragma once

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

namespace kumquat {

// Checks the property under the fixed seed of RC_PARAMS; a failure prints its counterexample.
template <typename Testable>
void CheckProperty(const std::string& description, Testable&& testable) {
  CHECK(rc::check(description, std::forward<Testable>(testable)));
}

}  // namespace kumquat

#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review, with the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/tools/*.cc; do
  name=$(basename "$source" .cc)
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/$name" "$source"
done

#!/usr/bin/env bash
# Builds the programs of the cases review/6 to review/10 into target/review-2/. Needs g++ only; the
# project's own programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
pids=()
for source in review/tools-2/*.cc; do
  program=target/review-2/$(basename "$source" .cc)
  g++ -std=c++20 -O1 -pthread -Wall -Wextra -o "$program" "$source" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done

#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build-2.sh.
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$CASE/../.." && pwd)
export CASE ROOT
program=$ROOT/target/review-2/late_wall
[ -x "$program" ] && [ -x "$ROOT/target/bin/kumquat-router" ] || exit 2
timeout -k 2 118 "$program"
status=$?
[ $status -eq 0 ] || [ $status -eq 1 ] || exit 2
exit $status

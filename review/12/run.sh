#!/usr/bin/env bash
# Exits with 1 if DENIED was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/crash
if [ ! -x "$program" ] || [ ! -x target/bin/kumquat-control ] || [ ! -x target/bin/kumquat-router ]; then
  echo "Build first: the build of deploy/system.toml, and review/build-3.sh." >&2
  exit 2
fi
timeout -k 5 115 "$program" review/12/record.txt
status=$?
tail -n 1 review/12/record.txt
[ $status -le 1 ] && exit $status
exit 2

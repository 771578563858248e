#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
"target/review/early_cut" "target/bin" "$work" "$here/record.txt" "${TROUBLE:-1}"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"

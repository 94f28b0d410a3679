#!/usr/bin/env bash
# Runs the case; see claim.txt. 1: the rule was broken, 0: it held, 2: no result.
set -uo pipefail
cd "$(dirname "$0")/../.."
case=review/$(basename "$(dirname "$(readlink -f "$0" 2>/dev/null || echo "$0")")")
number=${case##*/}
program=target/review-2/case-$number
[ -x "$program" ] && [ -x target/bin/fescuevane ] || { echo "build first" >&2; exit 2; }
timeout -k 3 115 "$program" "$case/record.txt" > /dev/null
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"

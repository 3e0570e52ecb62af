#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
number=$(basename "$PWD")
program=../../target/jacinthspindle-routerd
scenario=../../target/review-3/case-$number
[ -x "$program" ] && [ -x "$scenario" ] || exit 2
timeout -s KILL 118 "$scenario" "$(realpath "$program")" "$PWD"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"

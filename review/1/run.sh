#!/usr/bin/env bash
# Runs the case on loopback addresses. Exits with 1 if the rule was broken, 0 if it held
# and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
if [ ! -x target/review-standins ] || [ ! -x target/bronzeedge ]; then
  bash review/build.sh || exit 2
fi
trouble=--trouble
if [ "${TROUBLE:-1}" = 0 ]; then
  trouble=--trouble=false
fi
timeout --kill-after=5 110 target/review-standins --case 1 "$trouble" --record review/1/record.txt
code=$?
if [ "$code" -gt 2 ]; then
  code=2
fi
exit "$code"

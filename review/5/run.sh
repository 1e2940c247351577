#!/bin/sh
# Runs the case: exit code 1 if an acknowledged write was lost, 0 if none was, 2 if the
# case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/review-standins target/pistachiotray; do
  if [ ! -x "$program" ]; then
    echo "$program is missing: build deploy/system.toml and run review/build.sh" >&2
    exit 2
  fi
done
exec target/review-standins late-order target/pistachiotray review/5/record.txt "${TROUBLE:-1}"

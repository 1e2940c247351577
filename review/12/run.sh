#!/bin/sh
# Plays the case in claim.txt. The exit code is 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if ! [ -x target/pistachiotray ] || ! [ -x target/review3 ]; then
  echo "run the build of the deploy file and review/build-3.sh first" >&2
  exit 2
fi
exec target/review3 unknown review/12

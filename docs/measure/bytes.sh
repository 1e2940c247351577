#!/bin/sh
# Prints the bytes a second on loopback of one idle host before a number of idle
# groups, and of a number of idle hosts before one group: protocol payload and
# TCP/IP headers, each byte once, the answers included. Nothing else may use the
# loopback interface meanwhile.
# Usage: docs/measure/bytes.sh
set -eu
cd "$(dirname "$0")/../.."
folder=$(mktemp -d)
go build -o "$folder/pistachiotray" ./cmd/pistachiotray
seconds=10
lo() { awk '/^ *lo:/{print $2}' /proc/net/dev; }
measure() { # groups hosts
  databases=$(seq -s, -f 'g%g' 1 "$1")
  listed=""
  for n in $(seq 1 "$2"); do listed="$listed --listed-host h$n=http://127.0.0.1:$((7000 + n)),z$n"; done
  # shellcheck disable=SC2086
  "$folder/pistachiotray" standin --platform-listen 127.0.0.1:6400 --database "$databases" --slots 2 --connect-delay 0s $listed >/dev/null 2>&1 &
  pids=$!
  sleep 1
  for n in $(seq 1 "$2"); do
    "$folder/pistachiotray" serve --host "h$n" --zone "z$n" --listen "127.0.0.1:$((6500 + n))" \
      --peer-listen "127.0.0.1:$((7000 + n))" --operator-listen "127.0.0.1:$((7100 + n))" --config-poll 1m >/dev/null 2>&1 &
    pids="$pids $!"
  done
  sleep 4
  before=$(lo)
  sleep "$seconds"
  after=$(lo)
  echo "groups $1 hosts $2: $(( (after - before) / seconds )) bytes/s"
  # shellcheck disable=SC2086
  kill $pids
  # shellcheck disable=SC2086
  wait $pids 2>/dev/null || true
}
for pair in ${PAIRS:-1,1 4,1 8,1 1,2 1,4 1,8}; do
  measure "${pair%,*}" "${pair#*,}"
done
rm -r "$folder"

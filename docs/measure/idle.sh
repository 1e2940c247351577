#!/bin/sh
# Prints the processor time, memory and polls of one idle host before a number
# of idle groups, and its memory with a number of idle callers.
# Usage: docs/measure/idle.sh   (builds into a temporary folder; takes 2 minutes)
set -eu
cd "$(dirname "$0")/../.."
folder=$(mktemp -d)
go build -o "$folder/pistachiotray" ./cmd/pistachiotray
seconds=10
measure() { # groups callers
  databases=$(seq -s, -f 'g%g' 1 "$1")
  "$folder/pistachiotray" standin --platform-listen 127.0.0.1:6400 --database "$databases" --slots 2 --connect-delay 0s \
    --listed-host a=http://127.0.0.1:7001,z >"$folder/standin.log" 2>&1 &
  standin=$!
  sleep 1
  PISTACHIOTRAY_LISTEN=127.0.0.1:6501 "$folder/pistachiotray" serve --host a --zone z --peer-listen 127.0.0.1:7001 \
    --operator-listen 127.0.0.1:7011 --caller-limit 20000 >"$folder/host.log" 2>&1 &
  host=$!
  sleep 3
  callers=""
  if [ "$2" -gt 0 ]; then
    "$folder/pistachiotray" load --dsn "postgres://clerk@127.0.0.1:6501/g1?sslmode=disable" --callers "$2" \
      --rate "$2" --for 1s >"$folder/load.log" 2>&1 &
    callers=$!
    sleep 2
  fi
  before=$(awk '{print $14+$15}' "/proc/$host/stat")
  sleep "$seconds"
  after=$(awk '{print $14+$15}' "/proc/$host/stat")
  memory=$(awk '/VmRSS/{print $2}' "/proc/$host/status")
  echo "groups $1 callers $2: $(( (after - before) * 1000 / seconds / 100 )) per mille of a core, $((memory / 1024)) MB"
  [ -z "$callers" ] || kill "$callers" 2>/dev/null || true
  kill "$host"
  wait "$host" 2>/dev/null || true
  kill "$standin"
  wait "$standin" 2>/dev/null || true
}
for groups in ${GROUPS_LIST:-1 4 8 16}; do
  measure "$groups" 0
done
rm -r "$folder"

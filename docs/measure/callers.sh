#!/bin/sh
# Prints the memory of one host with a number of idle callers (needs python3).
# Usage: docs/measure/callers.sh
set -eu
cd "$(dirname "$0")/../.."
folder=$(mktemp -d)
go build -o "$folder/pistachiotray" ./cmd/pistachiotray
"$folder/pistachiotray" standin --platform-listen 127.0.0.1:6400 --database g1 --slots 2 --listed-host a=http://127.0.0.1:7001,z >/dev/null 2>&1 &
standin=$!
sleep 1
"$folder/pistachiotray" serve --host a --zone z --listen 127.0.0.1:6501 --peer-listen 127.0.0.1:7001 \
  --operator-listen 127.0.0.1:7011 --caller-limit 20000 >/dev/null 2>&1 &
host=$!
sleep 2
HOST_PID=$host python3 - <<'P'
import os, resource, socket, struct, time
resource.setrlimit(resource.RLIMIT_NOFILE, (20000, 20000))
body = b"user\0clerk\0database\0g1\0\0"
hello = struct.pack("!ii", len(body) + 8, 196608) + body
def rss():
    for line in open("/proc/%s/status" % os.environ["HOST_PID"]):
        if line.startswith("VmRSS"):
            return int(line.split()[1])
held = []
for n in (0, 1000, 2000, 4000, 8000):
    while len(held) < n:
        s = socket.create_connection(("127.0.0.1", 6501))
        s.sendall(hello)
        s.recv(4096)
        held.append(s)
    time.sleep(3)
    print("callers %d: %d MB" % (n, rss() // 1024))
P
kill "$host" "$standin"
wait "$host" "$standin" 2>/dev/null || true
rm -r "$folder"

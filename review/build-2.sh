#!/bin/sh
# Builds the stand-ins of the second review's scripts, those of the project included, after the
# build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -mod=readonly -o target/review-2 ./review/standins2

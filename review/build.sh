#!/usr/bin/env bash
# Builds the stand-ins of the cases, and the program under test as deploy/system.toml does
# where it isn't built yet. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standins ./review/standins
if [ ! -x target/bronzeedge ]; then
  go build -ldflags=-linkmode=external -o target/ ./cmd/bronzeedge
fi

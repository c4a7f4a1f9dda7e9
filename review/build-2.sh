#!/usr/bin/env bash
# Builds the programs that the scripts of the second review start, beside the build of the deploy
# file: flowlab, with the project's stand-in of the store compiled in.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/flowlab ./review/flowlab

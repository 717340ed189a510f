#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The project's own program, with its
# stand-in for the platform's store, is built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin ./review/standin
if [ ! -x target/masticscale ]; then
  go build -ldflags=-linkmode=external -o target/ ./cmd/...
fi

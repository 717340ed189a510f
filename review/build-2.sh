#!/usr/bin/env bash
# Builds the stand-ins that the cases 6 to 10 start. The project's own programs are built by the
# build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
go build -o ../../target/review-2/standin .

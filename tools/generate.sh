#!/usr/bin/env bash
# Makes the generated code again: the peers' protocol and the wire injectors.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
for tool in google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go github.com/google/wire/cmd/wire; do
  go build -modfile=tools/go.mod -o "$bin/" "$tool"
done
GOBIN="$bin" go install github.com/bufbuild/buf/cmd/buf@v1.75.0
export PATH="$bin:$PATH"
buf lint
buf generate
wire gen ./internal/app ./internal/fleethost

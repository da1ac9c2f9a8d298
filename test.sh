#!/usr/bin/env bash
# Format, vet (the review cases too), staticcheck, build as deployed, test. A test that KNOWN-RED.txt lists may fail.
set -euo pipefail
unformatted=$(gofmt -l cmd internal)
if [ -n "$unformatted" ]; then
  echo "not formatted: $unformatted" >&2
  exit 1
fi
go vet ./...
go vet -tags review ./review/...
go tool staticcheck ./...
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/service.toml)
[ -n "$build" ]
bash -c "$build"
exec go run ./internal/knownred KNOWN-RED.txt

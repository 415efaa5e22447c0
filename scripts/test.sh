#!/usr/bin/env bash
# Runs all tests with the race detector, and then the tests with crowds of clients
# alone. Specs listed in KNOWN-RED.txt are skipped and printed.
set -euo pipefail
cd "$(dirname "$0")/.."

flags=()
while IFS= read -r spec; do
  echo "known red, passed over: $spec"
  flags+=("-ginkgo.skip=$spec")
done < <(sed -n 's/^test: //p' KNOWN-RED.txt)

arguments=()
if [ ${#flags[@]} -gt 0 ]; then
  arguments=(-args "${flags[@]}")
fi
# The specs of placement take 12 minutes and more with the race detector.
go test -race -count=1 -timeout 40m work "${arguments[@]}"
# The processes of this package need the machine for themselves: it checks their memory.
HAWTHORN_CROWDS=1 go test -count=1 -timeout 40m hawthornshore.example/integration/crowds "${arguments[@]}"

#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2. Needs only Go: the program
# uses the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
cd review/standin-2
GOWORK=off go build -o ../../target/review-2/standin2 .

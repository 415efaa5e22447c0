#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/.bin.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../.bin/review-case .

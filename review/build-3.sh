#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
GOWORK=off go -C review/standins-3 build -o ../../target/standins3 .

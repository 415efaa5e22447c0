#!/usr/bin/env bash
# Starts two data centres with two entry instances and three emulated targets
# each on loopback addresses, submits jobs through all of them, checks the
# answers against the targets' start records, and stops all processes.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh
trap finish_fleet EXIT

instances=("north-1 north $net.1.1 true" "north-2 north $net.1.2 true" "south-1 south $net.2.1 true" "south-2 south $net.2.2 false")
start_instances scripts/demo-config
echo "started ${#instances[@]} entry instances"
start_targets north "$net.1" 3
start_targets south "$net.2" 3
echo "started ${#records[@]} targets"

flags=()
for entry in "${entries[@]}"; do flags+=(--entries "$entry"); done
for record in "${records[@]}"; do flags+=(--records "$record"); done
.bin/hawthorn-load demo "${flags[@]}" --jobs 120 \
  --classes lot-check --classes tear-assessment --classes moisture-review \
  --tenants weighbridge --tenants inspection

#!/usr/bin/env bash
# Sends an open-loop load to real entry instances and emulated targets of one
# data centre, all started here on loopback addresses, and prints response times
# relative to the ideal and the daemons' CPU time.
#
# usage: scripts/load.sh [WORKLOAD [LOAD [SECONDS]]]
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh
trap finish_fleet EXIT

workload=${1:-resin}
load=${2:-0.8}
seconds=${3:-20}
targets=12

instances=("n-1 north $net.1.1 true" "n-2 north $net.1.2 true" "n-3 north $net.1.3 true")
start_instances scripts/demo-config
start_targets north "$net.1" "$targets"

flags=()
for entry in "${entries[@]}"; do flags+=(--entry "${entry#*=}"); done
wait_until 60 all_ready

.bin/hawthorn-load http "${flags[@]}" --data-centre north --workload "$workload" \
  --classes lot-check --classes tear-assessment --classes moisture-review \
  --tenants weighbridge --tenants inspection \
  --targets "$targets" --load "$load" --duration "${seconds}s"
for pid in "${daemon_pids[@]}"; do
  awk '{print "daemon cpu_ticks=" $14+$15}' "/proc/$pid/stat"
done

#!/usr/bin/env bash
# Starts two data centres with two entry instances and three emulated targets
# each on loopback addresses, submits jobs through all of them, checks the
# answers against the targets' start records, and stops everything it started.
set -euo pipefail
cd "$(dirname "$0")/.."

run=$(mktemp -d)
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
finish() {
  local status=$?
  stop_all
  if [ "$status" -ne 0 ]; then
    echo "demo failed with status $status; logs are in $run" >&2
    for log in "$run"/*.log; do echo "== ${log##*/}" >&2; tail -n 5 "$log" >&2; done
  else
    rm -rf "$run"
  fi
  exit "$status"
}
trap finish EXIT

# A random loopback network lets several demos run at once.
net=127.$((32 + RANDOM % 200))

# Instance names with their data centre, loopback address and whether they vote
# on the system's own state.
instances=("north-1 north $net.1.1 true" "north-2 north $net.1.2 true" "south-1 south $net.2.1 true" "south-2 south $net.2.2 false")
http_port=7400
link_port=7401

write_settings() { # name data_centre address voter
  local dir="$run/settings-$1" other name centre address voter
  mkdir -p "$dir"
  {
    printf '[instance]\nname = %s\ndata_centre = %s\n' "$1" "$2"
    printf 'listen_http = %s:%s\nlisten_link = %s:%s\n' "$3" "$http_port" "$3" "$link_port"
    if [ "$4" = true ]; then printf 'data_folder = %s/data-%s\n' "$run" "$1"; fi
    # All instances stop at once at the end, so the last voters cannot reach a
    # majority to leave; a short timeout keeps the demo short.
    printf '[limits]\ndrain_timeout = 4s\n'
  } > "$dir/10-instance.ini"
  for other in "${instances[@]}"; do
    read -r name centre address voter <<< "$other"
    printf '[peer.%s]\nlink = %s:%s\ndata_centre = %s\nvoter = %s\n' "$name" "$address" "$link_port" "$centre" "$voter"
  done > "$dir/20-peers.ini"
}

entries=()
for instance in "${instances[@]}"; do
  read -r name centre address voter <<< "$instance"
  write_settings "$name" "$centre" "$address" "$voter"
  .bin/hawthornd --settings "$run/settings-$name" --config scripts/demo-config 2> "$run/$name.log" &
  pids+=($!)
  entries+=("$centre=$address:$http_port")
done
echo "started ${#instances[@]} entry instances"

records=()
for centre in north south; do
  number=1
  [ "$centre" = south ] && number=2
  for i in 1 2 3; do
    id="target-$centre-$i"
    : > "$run/$id.starts"
    .bin/hawthorn-target --listen "$net.$number.1$i:7500" --id "$id" --worker "worker-$centre-$i" \
      --rack "rack-$centre" --data-centre "$centre" --slots 8 --cores 4 --mb 4096 \
      --entry "$net.$number.1:$http_port" --entry "$net.$number.2:$http_port" \
      --start-record "$run/$id.starts" 2> "$run/$id.log" &
    pids+=($!)
    records+=("$run/$id.starts")
  done
done
echo "started ${#records[@]} targets"

flags=()
for entry in "${entries[@]}"; do flags+=(--entries "$entry"); done
for record in "${records[@]}"; do flags+=(--records "$record"); done
.bin/hawthorn-load demo "${flags[@]}" --jobs 120 \
  --classes lot-check --classes tear-assessment --classes moisture-review \
  --tenants weighbridge --tenants inspection

# Functions that start and stop a fleet on loopback addresses. Source this file
# from the root of the repository. A random network lets several fleets run at
# once. start_instances and start_targets fill the arrays entries (as
# DATA_CENTRE=HOST:PORT), daemon_pids and records.

net=127.$((32 + RANDOM % 200))
http_port=7400
link_port=7401
run=$(mktemp -d)
pids=()
daemon_pids=()
entries=()
records=()

stop_fleet() {
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}

# finish_fleet is the EXIT trap; it keeps the logs if the script failed.
finish_fleet() {
  local status=$?
  stop_fleet
  if [ "$status" -ne 0 ]; then
    echo "failed with status $status; logs are in $run" >&2
    for log in "$run"/*.log; do echo "== ${log##*/}" >&2; tail -n 5 "$log" >&2; done
  else
    rm -rf "$run"
  fi
  exit "$status"
}

write_settings() { # name data_centre address voter
  local dir="$run/settings-$1" other name centre address voter
  mkdir -p "$dir"
  {
    printf '[instance]\nname = %s\ndata_centre = %s\n' "$1" "$2"
    printf 'listen_http = %s:%s\nlisten_link = %s:%s\n' "$3" "$http_port" "$3" "$link_port"
    if [ "$4" = true ]; then printf 'data_folder = %s/data-%s\n' "$run" "$1"; fi
    # All instances stop at the same time, so the last voters have no majority
    # to leave the group; a short drain timeout bounds the shutdown.
    printf '[limits]\ndrain_timeout = 4s\ndrain_delay = 0s\n'
  } > "$dir/10-instance.ini"
  for other in "${instances[@]}"; do
    read -r name centre address voter <<< "$other"
    printf '[peer.%s]\nlink = %s:%s\ndata_centre = %s\nvoter = %s\n' "$name" "$address" "$link_port" "$centre" "$voter"
  done > "$dir/20-peers.ini"
}

# start_instances starts the array instances, each "NAME DATA_CENTRE ADDRESS VOTER".
start_instances() { # folder of the system configuration
  local instance name centre address voter
  for instance in "${instances[@]}"; do
    read -r name centre address voter <<< "$instance"
    write_settings "$name" "$centre" "$address" "$voter"
    .bin/hawthornd --settings "$run/settings-$name" --config "$1" 2> "$run/$name.log" &
    pids+=($!)
    daemon_pids+=($!)
    entries+=("$centre=$address:$http_port")
  done
}

start_targets() { # data_centre first_three_numbers_of_address count
  local i id entry flags=()
  for entry in "${entries[@]}"; do
    if [ "${entry%%=*}" = "$1" ]; then flags+=(--entry "${entry#*=}"); fi
  done
  for i in $(seq 1 "$3"); do
    id="target-$1-$i"
    : > "$run/$id.starts"
    .bin/hawthorn-target --listen "$2.$((100 + i)):7500" --id "$id" --worker "worker-$1-$i" \
      --rack "rack-$1-$((i / 6))" --data-centre "$1" --slots 8 --cores 4 --mb 4096 \
      "${flags[@]}" --start-record "$run/$id.starts" 2> "$run/$id.log" &
    pids+=($!)
    records+=("$run/$id.starts")
  done
}

# wait_until retries a command and fails if it has not succeeded in time.
wait_until() { # seconds command...
  local end=$((SECONDS + $1))
  shift
  until "$@"; do
    if [ "$SECONDS" -ge "$end" ]; then echo "timed out waiting for: $*" >&2; return 1; fi
    sleep 0.2
  done
}

# all_ready succeeds if every instance reports that it is ready.
all_ready() {
  local entry
  for entry in "${entries[@]}"; do
    curl -sf -m 2 -o /dev/null "http://${entry#*=}/readyz" || return 1
  done
}

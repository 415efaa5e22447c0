#!/usr/bin/env bash
# Measures CPU time, memory and link traffic of the control plane and of starts
# on one machine: real daemons on loopback addresses with emulated targets. Prints
# one line of key=value pairs per measurement; --json FILE appends JSON lines too.
#
# usage: scripts/capacity.sh [--json FILE] [--window SECONDS] [PART...]
# parts: instances voters targets load changes records (all, if none is given)
#
# CPU time is read per process (/proc/PID/stat, in units of 10 ms) and depends
# little on other load of the machine; wall-clock times do depend on it.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh
trap finish_fleet EXIT

window=10
settle=4
json=
ticks=$(getconf CLK_TCK)

emit() { # key=value...
  local pair line=
  set -- "$@" "load1=$(cut -d ' ' -f 1 /proc/loadavg)"
  echo "$*"
  if [ -z "$json" ]; then return; fi
  for pair in "$@"; do line+=", \"${pair%%=*}\": \"${pair#*=}\""; done
  echo "{${line#, }}" >> "$json"
}

# write_config writes tenants with varied names and values, as in a real system.
# The first three have short names and receive the load.
write_config() { # folder tenants weight_of_first_tenant
  local i name
  mkdir -p "$1"
  printf '[class.c0]\nrank = 0\n[class.c1]\nrank = 1\n[class.c2]\nrank = 2\n' > "$1/10-classes.ini"
  for ((i = 0; i < $2; i++)); do
    name=t$i
    if [ "$i" -ge 3 ]; then name=$(printf 'team-%08x' $((i * 2654435761 % 4294967296))); fi
    printf '[tenant.%s]\nweight = %d\n' "$name" "$((i == 0 ? $3 : i % 9 + 1))"
    if [ "$i" -ge 3 ]; then printf 'quota_slots = %d\n' $((i * 37 % 400 + 8)); fi
  done > "$1/20-tenants.ini"
}

# start_fleet starts instances of one data centre, the first ones as voters.
start_fleet() { # instances voters tenants
  local i
  net=127.$((32 + RANDOM % 200))
  instances=()
  for ((i = 1; i <= $1; i++)); do
    instances+=("i$(printf %02d "$i") north $net.1.$i $([ "$i" -le "$2" ] && echo true || echo false)")
  done
  write_config "$run/config" "$3" 1
  start_instances "$run/config"
  wait_until 60 all_ready
}

# start_announcers starts targets, divided evenly among the instances they announce to.
start_announcers() { # targets slots run_time
  local i part count=${#entries[@]}
  for ((i = 0; i < count; i++)); do
    part=$(($1 / count + (i < $1 % count ? 1 : 0)))
    if [ "$part" -eq 0 ]; then continue; fi
    .bin/hawthorn-target --listen "$net.3.$((i + 1)):0" --id "target-$i" --count "$part" \
      --worker "worker-$i" --rack "rack-$i" --data-centre north --slots "$2" --cores 4 --mb 4096 \
      --run-time "$3" --entry "${entries[i]#*=}" 2> "$run/target-$i.log" &
    pids+=($!)
  done
}

end_fleet() {
  stop_fleet
  rm -rf "$run"/*
  pids=() daemon_pids=() entries=() records=()
}

metric() { awk -v name="$2" '$1 == name { printf "%.0f", $2 }' "$1"; }

# sample writes per daemon: processor ticks, resident KB, bytes sent, received, starts.
sample() { # file
  local i page="$run/metrics.txt"
  for i in "${!daemon_pids[@]}"; do
    curl -sf -m 5 -o "$page" "http://${entries[i]#*=}/metrics"
    echo "$i $(sed 's/.*) //' "/proc/${daemon_pids[i]}/stat" | awk '{ print $12 + $13 }')" \
      "$(awk '/VmRSS/ { print $2 }' "/proc/${daemon_pids[i]}/status")" \
      "$(metric "$page" hawthorn_link_sent_bytes_total)" "$(metric "$page" hawthorn_link_received_bytes_total)" \
      "$(metric "$page" hawthorn_starts_total)"
  done > "$1"
}

# role prints the role of a daemon: entry, voter or leader.
role() { # index
  local status
  status=$(curl -sf -m 5 "http://${entries[$1]#*=}/v1/status")
  case $status in
    *"\"leader\":\"i$(printf %02d $(($1 + 1)))\""*) echo leader ;;
    *'"voter":true'*) echo voter ;;
    *) echo entry ;;
  esac
}

# report prints means per role between the samples before and after.
report() { # elapsed_ns key=value...
  local elapsed=$1 i line
  shift
  for i in "${!daemon_pids[@]}"; do echo "$i $(role "$i")"; done > "$run/roles"
  while read -r line; do
    # shellcheck disable=SC2086 # the line is a list of pairs
    emit "$@" $line
  done < <(awk -v seconds="$(awk "BEGIN { print $elapsed / 1e9 }")" -v ticks="$ticks" '
    FILENAME ~ /roles$/ { role[$1] = $2; next }
    FILENAME ~ /before$/ { cpu[$1] = $2; sent[$1] = $4; got[$1] = $5; starts[$1] = $6; next }
    {
      for (n = 0; n < 2; n++) {
        r = n ? "all" : role[$1]
        count[r]++; c[r] += $2 - cpu[$1]; m[r] += $3; if ($3 > most[r]) most[r] = $3
        s[r] += $4 - sent[$1]; g[r] += $5 - got[$1]; t[r] += $6 - starts[$1]
      }
    }
    END {
      for (r in count) {
        n = count[r]
        printf "role=%s daemons=%d seconds=%.1f core_percent=%.2f sent_bytes_per_s=%.0f received_bytes_per_s=%.0f rss_mb=%.1f rss_mb_most=%.1f starts_per_s=%.1f",
          r, n, seconds, 100 * c[r] / ticks / seconds / n, s[r] / seconds / n, g[r] / seconds / n, m[r] / 1024 / n, most[r] / 1024, t[r] / seconds / n
        if (t[r] > 0) printf " cpu_us_per_start=%.0f link_bytes_per_start=%.0f", 1e6 * c[r] / ticks / t[r], (s[r] + g[r]) / t[r]
        printf "\n"
      }
    }' "$run/roles" "$run/before" "$run/after" | sort)
}

# measure reports the daemons' resource use while a command runs, by default a sleep of $window.
measure() { # key=value... [-- command...]
  local keys=() begin end
  while [ $# -gt 0 ] && [ "$1" != -- ]; do keys+=("$1"); shift; done
  if [ $# -gt 0 ]; then shift; else set -- sleep "$window"; fi
  sample "$run/before"
  begin=$(date +%s%N)
  "$@"
  end=$(date +%s%N)
  sample "$run/after"
  report $((end - begin)) "${keys[@]}"
}

measure_instances() {
  local n
  for n in 2 4 8 16 20; do
    start_fleet "$n" "$((n < 3 ? 1 : 3))" 10
    sleep "$settle"
    measure part=instances instances="$n" voters="$((n < 3 ? 1 : 3))" targets=0
    end_fleet
  done
}

measure_voters() {
  local n
  for n in 3 5; do
    start_fleet 8 "$n" 10
    sleep "$settle"
    measure part=voters instances=8 voters="$n" targets=0
    end_fleet
  done
}

measure_targets() {
  local n
  for n in 0 25 100 200; do
    start_fleet 2 1 10
    if [ "$n" -gt 0 ]; then start_announcers "$n" 8 fixed:50ms; fi
    sleep "$settle"
    measure part=targets instances=2 voters=1 targets="$n"
    end_fleet
  done
}

# send_load submits jobs with tasks of 50 ms to all instances.
send_load() { # tasks load targets
  local entry flags=()
  for entry in "${entries[@]}"; do flags+=(--entry "${entry#*=}"); done
  timeout 60 .bin/hawthorn-load http "${flags[@]}" --data-centre north --classes c0,c1,c2 --tenants t0,t1,t2 \
    --tasks "$1" --run 50ms --targets "$3" --load "$2" --duration "${window}s" --max-in-flight 1000 | tail -n 1 > "$run/load.txt"
}

measure_load() {
  local tasks load targets=40
  for tasks in 1 4 16; do
    # 40 targets of 8 slots and tasks of 50 ms make 6,400 starts/s at full load.
    for load in 0.02 0.08 0.3; do
      start_fleet 2 1 10
      start_announcers "$targets" 8 fixed:50ms
      sleep "$settle"
      measure part=load instances=2 voters=1 targets="$targets" tasks_per_job="$tasks" load="$load" -- send_load "$tasks" "$load" "$targets"
      emit part=load_answers tasks_per_job="$tasks" load="$load" "answers=$(tr ' ' ';' < "$run/load.txt")"
      end_fleet
    done
  done
}

# change_every_second applies one change per second and records the send times.
change_every_second() { # tenants count
  local i begin
  for ((i = 1; i <= $2; i++)); do
    write_config "$run/config" "$1" $((i + 1))
    begin=$(date +%s%N)
    echo "$((i + 1)) $(date +%s%N)" >> "$run/sent"
    timeout 10 .bin/hawthornctl --address "${entries[0]#*=}" config apply "$run/config" --expect-version "$i" > "$run/apply.log"
    while [ $(($(date +%s%N) - begin)) -lt 1000000000 ]; do sleep 0.05; done
  done
}

# in_force prints the time from sending a version until all instances applied it, in ms.
in_force() {
  local version sent logs last stamp log
  while read -r version sent; do
    last=0
    for log in "$run"/i[0-9]*.log; do
      stamp=$(sed -n "s/^time=\([^ ]*\) .*event=config_in_force .*version=$version\( .*\)*$/\1/p" "$log" | tail -n 1)
      if [ -z "$stamp" ]; then continue; fi
      stamp=$(date -d "$stamp" +%s%N)
      if [ "$stamp" -gt "$last" ]; then last=$stamp; fi
    done
    echo $(((last - sent) / 1000000))
  done < "$run/sent" | sort -n
}

measure_changes() {
  local tenants
  for tenants in 10 100 300; do
    start_fleet 8 3 "$tenants"
    sleep "$settle"
    : > "$run/sent"
    measure part=changes instances=8 voters=3 tenants="$tenants" -- change_every_second "$tenants" "$window"
    sleep 2
    in_force > "$run/in-force"
    emit part=in_force instances=8 tenants="$tenants" changes="$(wc -l < "$run/in-force")" \
      median_ms="$(awk '{ v[NR] = $1 } END { print v[int((NR + 1) / 2)] }' "$run/in-force")" most_ms="$(tail -n 1 "$run/in-force")"
    end_fleet
  done
}

# measure_records compares the resident memory before and after jobs whose
# records are kept for 60 s, at an instance that owns all job IDs.
measure_records() {
  start_fleet 1 1 10
  start_announcers 40 8 fixed:50ms
  sleep "$settle"
  measure part=records instances=1 voters=1 targets=40 tasks_per_job=1 -- send_load 1 0.25 40
  emit part=records_answers "answers=$(tr ' ' ';' < "$run/load.txt")" \
    rss_mb_before="$(awk '{ print $3 / 1024 }' "$run/before")" rss_mb_after="$(awk '{ print $3 / 1024 }' "$run/after")"
  end_fleet
}

parts=()
while [ $# -gt 0 ]; do
  case $1 in
    --json) json=$2; shift 2 ;;
    --window) window=$2; shift 2 ;;
    instances | voters | targets | load | changes | records) parts+=("$1"); shift ;;
    *) echo "unknown argument $1" >&2; exit 2 ;;
  esac
done
if [ ${#parts[@]} -eq 0 ]; then parts=(instances voters targets load changes records); fi
for part in "${parts[@]}"; do "measure_$part"; done

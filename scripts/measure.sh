#!/usr/bin/env bash
# Measures a cell of real processes at rest, under load and after an owner is
# killed: CPU time, memory, bytes sent between daemons and requests to the store.
# Usage: scripts/measure.sh NUMBER_OF_DAEMONS
set -euo pipefail
cd "$(dirname "$0")/.."
daemon_count=${1:-9}
dir=$(mktemp -d)
pids=()
stop_processes() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do while kill -0 "$pid" 2>/dev/null; do sleep 0.05; done; done
}
trap stop_processes EXIT
start_process() {
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
  disown
}
port() { echo $((15000 + $1)); }

cat >"$dir/fleet.yaml" <<YAML
list_lag: 500ms
usage_lag: 1s
leaving_grace: 3s
workers:
  - {rack: a, failure_domain: a, region: south, count: 17, cores: 60, memory_mib: 250000}
  - {rack: b, failure_domain: b, region: south, count: 17, cores: 60, memory_mib: 250000}
  - {rack: c, failure_domain: c, region: south, count: 16, cores: 60, memory_mib: 250000}
targets:
  - {service: ladder, rack: ta, failure_domain: a, region: south, count: 17, slots: 8, connections: 60}
  - {service: ladder, rack: tb, failure_domain: b, region: south, count: 17, slots: 8, connections: 60}
  - {service: ladder, rack: tc, failure_domain: c, region: south, count: 16, slots: 8, connections: 60}
YAML
cat >"$dir/play.yaml" <<YAML
duration: 20s
callers:
  - token: measure-caller-token
    requests:
      - name: pairing
        service: ladder
        path: pairings
        class: urgent
        count: 10000
        work: 20ms
        idempotent: true
        timeout: 2s
      - name: result
        service: ladder
        path: results
        class: normal
        count: 10000
        work: 20ms
        timeout: 2s
    jobs:
      - name: urgent job
        count: 200
        job:
          kind: batch
          class: urgent
          tasks: 1
          resources: {cpu_milli: 1000, memory_mib: 500}
          run_time: 100ms
          idempotent: true
          attempts: 10
      - name: standings
        count: 100
        job:
          kind: batch
          class: batch
          tasks: 10
          resources: {cpu_milli: 2000, memory_mib: 2000}
          run_time: 3s
          idempotent: true
          attempts: 10
YAML
printf -- '- {kind: set_branch, branch: cho-lon, rules: {weight: 1, urgent_share: 0.3}}\n' >"$dir/branches.yaml"
start_process store bin/tanagerfake store --address "127.0.0.1:$(port 0)"
start_process fleet bin/tanagerfake fleet --address "127.0.0.1:$(port 1)" --file "$dir/fleet.yaml"
daemons=()
addresses=()
for i in $(seq "$daemon_count"); do
  http_address="127.0.0.1:$(port $((i * 10)))"
  cat >"$dir/d$i.yaml" <<YAML
daemon:
  name: d$i
  failure_domain: f$((i % 3))
  region: south
  http_address: "$http_address"
  peer_address: "127.0.0.1:$(port $((i * 10 + 1)))"
  peer_token: measure-peer-token
platform: {store: "127.0.0.1:$(port 0)", vm_list: "127.0.0.1:$(port 1)"}
callers: [{token: measure-caller-token, branch: cho-lon}]
operators: [{token: measure-operator-token, name: centre}]
YAML
  start_process "d$i" bin/tanagerd run --settings "$dir/d$i.yaml"
  daemons+=("${pids[-1]}")
  addresses+=("$http_address")
done
export TANAGER_DAEMONS
TANAGER_DAEMONS=$(IFS=,; echo "${addresses[*]}")
export TANAGER_TOKEN=measure-operator-token
for address in "${addresses[@]}"; do
  until curl -sf -o /dev/null "http://$address/health/ready"; do sleep 0.1; done
done
bin/tanagerctl apply "$dir/branches.yaml" >/dev/null
sleep $((3 * daemon_count + 5)) # the roster admits one daemon per lease duration

ticks_per_second=$(getconf CLK_TCK)
# User and system CPU time of one process, and of all daemons, in clock ticks.
cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
total_cpu_ticks() {
  for p in "${daemons[@]}"; do [ -e "/proc/$p/stat" ] && cpu_ticks "$p"; done | awk '{s += $1} END {print s}'
}
peer_bytes() {
  for a in "${addresses[@]}"; do curl -s "http://$a/metrics" || true; done |
    awk '/^tanager_peer_(sent|received)_bytes_total/ {s += $NF} END {printf "%.0f", s}'
}
# The store's request counters as name=value pairs, and one of their values.
store_counters() { curl -s "http://127.0.0.1:$(port 0)/control/calls" | sed 's/[{}"]//g; s/,/ /g; s/:/=/g'; }
counter() { sed -n "s/.*\b$1=\([0-9]*\).*/\1/p" <<<"$2"; }
# measure NAME SECONDS prints the mean rates over an interval.
measure() {
  local name=$1 seconds=$2 cpu0 cpu1 bytes0 bytes1 store0 store1
  cpu0=$(total_cpu_ticks) bytes0=$(peer_bytes) store0=$(store_counters)
  sleep "$seconds"
  cpu1=$(total_cpu_ticks) bytes1=$(peer_bytes) store1=$(store_counters)
  awk -v n="$name" -v d="$daemon_count" -v s="$seconds" -v t="$ticks_per_second" \
    -v c="$((cpu1 - cpu0))" -v b="$((bytes1 - bytes0))" \
    -v w="$(($(counter writes "$store1") - $(counter writes "$store0")))" \
    -v r="$(($(counter reads "$store1") + $(counter watches "$store1") -
      $(counter reads "$store0") - $(counter watches "$store0")))" \
    'BEGIN {
      printf "%-14s %d daemons: %.2f%% of a core and %.0f B/s of peer messages a daemon; ", n, d, 100*c/t/s/d, b/s/d
      printf "store %.1f writes/s, %.1f reads/s\n", w/s, r/s
    }'
}
for p in "${daemons[@]}"; do awk '/VmRSS/ {print $2}' "/proc/$p/status"; done |
  awk '{s += $1; if ($1 > m) m = $1} END {
    printf "memory at rest  mean %.0f MB, largest %.0f MB a daemon\n", s/NR/1024, m/1024
  }'
measure "at rest" 15
TANAGER_TOKEN=measure-caller-token bin/tanagerctl play "$dir/play.yaml" --observer "127.0.0.1:$(port 1)" >"$dir/table" &
load_generator_pid=$!
sleep 3
measure "under load" 6
kill -9 "${daemons[1]}"
measure "owner killed" 8
wait "$load_generator_pid" || true
cat "$dir/table"
for p in "${daemons[@]}"; do [ -e "/proc/$p/status" ] && awk '/VmRSS/ {print $2}' "/proc/$p/status"; done |
  awk '{s += $1; if ($1 > m) m = $1} END {
    printf "memory at the end  mean %.0f MB, largest %.0f MB a daemon\n", s/NR/1024, m/1024
  }'
curl -s "http://127.0.0.1:$(port 1)/control/observations" |
  grep -o '"vm":"t[a-z]*-ladder-t[0-9]*","first":"[^"]*","last":"[^"]*","longest_idle":[0-9]*' |
  sed 's/.*longest_idle"://' | sort -n |
  awk '{v[NR] = $1/1e6} END {
    printf "longest time without work of a target: median %.0f ms, largest %.0f ms\n", v[int((NR+1)/2)], v[NR]
  }'

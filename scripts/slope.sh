#!/usr/bin/env bash
# Measures an idle daemon with FEW and with MANY workers and prints the marginal
# cost of a worker: CPU time, memory, and bytes read and written through all of
# the daemon's sockets. If TASKS is not 0 it also prints the marginal cost of a
# running task.
# Usage: scripts/slope.sh FEW MANY TASKS
set -euo pipefail
cd "$(dirname "$0")/.."
few=${1:-50} many=${2:-400} tasks=${3:-0}
seconds=20
ticks_per_second=$(getconf CLK_TCK)
dir=$(mktemp -d)
pids=()
stop_processes() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do while kill -0 "$pid" 2>/dev/null; do sleep 0.05; done; done
  pids=()
}
trap stop_processes EXIT
# measure WORKERS TASKS sets cpu (clock ticks), bytes and rss (kilobytes).
measure() {
  local workers=$1 tasks=$2 pid
  cat >"$dir/fleet.yaml" <<YAML
list_lag: 100ms
usage_lag: 1s
leaving_grace: 3s
workers:
  - {rack: a, failure_domain: a, region: south, count: $workers, cores: 60, memory_mib: 250000}
YAML
  cat >"$dir/d1.yaml" <<YAML
daemon:
  name: d1
  failure_domain: a
  region: south
  http_address: "127.0.0.1:15911"
  peer_address: "127.0.0.1:15912"
  peer_token: measure-peer-token
platform: {store: "127.0.0.1:15913", vm_list: "127.0.0.1:15914"}
cell: {task_lease: 30s}
callers: [{token: measure-caller-token, branch: cho-lon}]
operators: [{token: measure-operator-token, name: centre}]
YAML
  printf -- '- {kind: set_branch, branch: cho-lon, rules: {weight: 1}}\n' >"$dir/branches.yaml"
  cat >"$dir/job.yaml" <<YAML
{key: services, kind: service, tasks: $tasks, resources: {cpu_milli: 1000, memory_mib: 1000}, idempotent: true}
YAML
  bin/tanagerfake store --address 127.0.0.1:15913 >"$dir/store.log" 2>&1 &
  pids+=($!)
  disown
  bin/tanagerfake fleet --address 127.0.0.1:15914 --file "$dir/fleet.yaml" >"$dir/fleet.log" 2>&1 &
  pids+=($!)
  disown
  bin/tanagerd run --settings "$dir/d1.yaml" >"$dir/d1.log" 2>&1 &
  pid=$!
  pids+=("$pid")
  disown
  export TANAGER_DAEMONS=127.0.0.1:15911
  until curl -sf -o /dev/null http://127.0.0.1:15911/health/ready; do sleep 0.1; done
  TANAGER_TOKEN=measure-operator-token bin/tanagerctl apply "$dir/branches.yaml" >/dev/null
  if [ "$tasks" -gt 0 ]; then
    sleep 3
    TANAGER_TOKEN=measure-caller-token bin/tanagerctl job submit "$dir/job.yaml" >/dev/null
  fi
  sleep 12
  local cpu0 cpu1 bytes0 bytes1
  cpu0=$(awk '{print $14 + $15}' "/proc/$pid/stat") \
    bytes0=$(awk '/^[rw]char/ {s += $2} END {print s}' "/proc/$pid/io")
  sleep "$seconds"
  cpu1=$(awk '{print $14 + $15}' "/proc/$pid/stat") \
    bytes1=$(awk '/^[rw]char/ {s += $2} END {print s}' "/proc/$pid/io")
  rss=$(awk '/VmRSS/ {print $2}' "/proc/$pid/status")
  cpu=$((cpu1 - cpu0)) bytes=$((bytes1 - bytes0))
  stop_processes
  awk -v w="$workers" -v k="$tasks" -v c="$cpu" -v b="$bytes" -v r="$rss" -v s="$seconds" -v t="$ticks_per_second" \
    'BEGIN {printf "%d workers, %d tasks: %.2f%% of a core, %.0f MB, %.0f B/s\n", w, k, 100*c/t/s, r/1024, b/s}'
}
measure "$few" 0
cpu_few=$cpu bytes_few=$bytes rss_few=$rss
measure "$many" 0
awk -v n="$((many - few))" -v c="$((cpu - cpu_few))" -v b="$((bytes - bytes_few))" -v r="$((rss - rss_few))" \
  -v s="$seconds" -v t="$ticks_per_second" \
  'BEGIN {printf "a worker adds: %.1f µs of processor time a second, %.1f KB, %.1f B/s\n", 1e6*c/t/s/n, r/n, b/s/n}'
if [ "$tasks" -gt 0 ]; then
  rss_idle=$rss cpu_idle=$cpu bytes_idle=$bytes
  measure "$many" "$tasks"
  awk -v n="$tasks" -v c="$((cpu - cpu_idle))" -v b="$((bytes - bytes_idle))" -v r="$((rss - rss_idle))" \
    -v s="$seconds" -v t="$ticks_per_second" \
    'BEGIN {
      printf "a running task adds: %.2f µs of processor time a second, %.1f KB, %.2f B/s\n", 1e6*c/t/s/n, r/n, b/s/n
    }'
fi

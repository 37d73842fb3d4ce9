#!/usr/bin/env bash
# Starts a fake platform and three daemons as separate processes, runs the
# example workloads, kills one daemon while they run and prints the outcomes. On
# exit it stops the processes that it started, by process id.
set -euo pipefail
cd "$(dirname "$0")/.."
log_dir=$(mktemp -d)
pids=()
stop_processes() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do while kill -0 "$pid" 2>/dev/null; do sleep 0.05; done; done
}
trap stop_processes EXIT
start_process() {
  local name=$1
  shift
  "$@" >"$log_dir/$name.log" 2>&1 &
  pids+=($!)
  disown
}

# The ports are fixed because the settings files of the example contain them.
for port in 7201 7202 7211 7212 7221 7222 7231 7232; do
  if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
    echo "Port $port of 127.0.0.1 is taken; is another demo running?" >&2
    exit 1
  fi
done

start_process store bin/tanagerfake store --address 127.0.0.1:7201
start_process fleet bin/tanagerfake fleet --address 127.0.0.1:7202 --file examples/local/fleet.yaml
for i in 1 2 3; do start_process "d$i" bin/tanagerd run --settings "examples/local/d$i.yaml"; done
d2_pid=${pids[3]}

export TANAGER_DAEMONS=127.0.0.1:7211,127.0.0.1:7221,127.0.0.1:7231
export TANAGER_TOKEN=centre-operator-token
ctl=bin/tanagerctl
for _ in $(seq 100); do
  if curl -sf -o /dev/null http://127.0.0.1:7211/health/ready &&
    curl -sf -o /dev/null http://127.0.0.1:7221/health/ready &&
    curl -sf -o /dev/null http://127.0.0.1:7231/health/ready; then break; fi
  sleep 0.1
done
$ctl apply examples/local/branches.yaml
sleep 8 # the roster admits one daemon per lease duration
$ctl status
(
  sleep 3
  until=$(date -u -d '+20 days' +%Y-%m-%dT00:00:00Z)
  sed "s/until: [^}]*/until: $until/" examples/local/spring-pruning.yaml >"$log_dir/spring-pruning.yaml"
  $ctl plan "$log_dir/spring-pruning.yaml" --save "$log_dir/plan.json"
  $ctl confirm "$log_dir/plan.json"
  sleep 3
  echo "Killing daemon d2 (process $d2_pid)."
  kill -9 "$d2_pid"
) &
intervention=$!
pids+=("$intervention")
$ctl play examples/local/night.yaml examples/local/morning.yaml --observer 127.0.0.1:7202
# The outcomes only show something if the plan was confirmed and the daemon killed.
wait "$intervention"
if kill -0 "$d2_pid" 2>/dev/null; then
  echo "Daemon d2 was not killed." >&2
  exit 1
fi
$ctl status
$ctl burn --html "$log_dir/burn.html"
echo "The logs and the burn report are in $log_dir."

#!/usr/bin/env bash
# Starts the stand-ins of the platform and three daemons as separate processes,
# sends the example work, kills one daemon half way and prints what became of
# the work. Ends all processes that it started, by id.
set -euo pipefail
cd "$(dirname "$0")/.."
logs=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do while kill -0 "$pid" 2>/dev/null; do sleep 0.05; done; done
}
trap finish EXIT
start() {
  local name=$1
  shift
  "$@" >"$logs/$name.log" 2>&1 &
  pids+=($!)
  disown
}

# The example's addresses are fixed, so that the files can be read beside it.
for port in 7201 7202 7211 7212 7221 7222 7231 7232; do
  if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
    echo "Port $port of 127.0.0.1 is taken; is another demo running?" >&2
    exit 1
  fi
done

start store bin/tanagerfake store --address 127.0.0.1:7201
start fleet bin/tanagerfake fleet --address 127.0.0.1:7202 --file examples/local/fleet.yaml
for i in 1 2 3; do start "d$i" bin/tanagerd run --settings "examples/local/d$i.yaml"; done
second=${pids[3]}

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
sleep 8 # the roster takes in one daemon for each length of a lease
$ctl status
(
  sleep 3
  until=$(date -u -d '+90 days' +%Y-%m-%dT00:00:00Z)
  sed "s/until: [^}]*/until: $until/" examples/local/spring-pruning.yaml >"$logs/spring-pruning.yaml"
  $ctl plan "$logs/spring-pruning.yaml" --save "$logs/plan.json"
  $ctl confirm "$logs/plan.json"
  sleep 3
  echo "Killing daemon d2 (process $second)."
  kill -9 "$second"
) &
pids+=($!)
$ctl play examples/local/night.yaml examples/local/morning.yaml --observer 127.0.0.1:7202
$ctl status
$ctl burn --html "$logs/burn.html"
echo "Logs and the burn report are in $logs."

#!/usr/bin/env bash
# Runs the tests of all modules with the race detector. Tests that KNOWN-RED.txt
# lists are passed over and printed.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=()
if [ -s KNOWN-RED.txt ]; then
  echo "Known to fail, passed over (KNOWN-RED.txt):"
  grep '^test:' KNOWN-RED.txt || true
  pattern=$(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd '|')
  if [ -n "$pattern" ]; then skip=(-skip "$pattern"); fi
fi
for module in $(go list -m -f '{{.Dir}}'); do
  fresh=()
  case "$module" in
    # These build and start the programs, which the cache of results does not see.
    */scenarios | */soak) fresh=(-count=1) ;;
  esac
  (cd "$module" && go test -race -timeout 20m "${fresh[@]}" "${skip[@]}" ./...)
done

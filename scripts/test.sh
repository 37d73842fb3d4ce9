#!/usr/bin/env bash
# Runs the tests of all modules with the race detector. Skips the tests that
# KNOWN-RED.txt lists as known failures and prints their names.
set -euo pipefail
cd "$(dirname "$0")/.."
skip_flag=()
if [ -s KNOWN-RED.txt ]; then
  echo "Known failures, skipped (KNOWN-RED.txt):"
  grep '^test:' KNOWN-RED.txt || true
  pattern=$(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd '|')
  if [ -n "$pattern" ]; then skip_flag=(-skip "$pattern"); fi
fi
for module in $(go list -m -f '{{.Dir}}'); do
  count_flag=()
  case "$module" in
    # These tests build and start the programs, a dependency that the test cache
    # does not track, so their cached results could be stale.
    */scenarios | */soak) count_flag=(-count=1) ;;
  esac
  (cd "$module" && go test -race -timeout 20m "${count_flag[@]}" "${skip_flag[@]}" ./...)
done

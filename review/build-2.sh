#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10. Runs in the repository's root, without a
# network, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -buildvcs=false -o target/review-2/stand ./review/stand/*.go

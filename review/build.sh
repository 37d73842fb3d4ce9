#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases, from the repository's root.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/play ./review/play/*.go

#!/bin/sh
# Builds the programs that the scripts of the third review start, from the root of the
# repository and without a network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
GOPROXY=off GOFLAGS=-buildvcs=false go build -o target/review-3/cases3 ./review/cases3/*.go

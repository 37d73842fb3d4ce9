#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/tanagerd ] && [ -x target/review-3/cases3 ] || exit 2
exec target/review-3/cases3 due "$folder/record.txt"

#!/usr/bin/env bash
# Plays the case wave-completed. With TROUBLE=0 it leaves the disruption out. It exits with 1
# if the rule was broken, 0 if it held and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/tanagerd ] && [ -x review/bin/play ] || { echo "build first: the deploy file, then review/build.sh" >&2; exit 2; }
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec review/bin/play --case wave-completed --dir review/5 --trouble=$trouble

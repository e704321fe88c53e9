#!/usr/bin/env bash
# Runs the kept fault campaigns of scripts/faults.seeds one after the other, about 11 minutes, and
# says which held. The same seed gives the same schedule of faults, not the same run.
set -u
cd "$(dirname "$0")/.." || exit 2
broken=0
while read -r shape seed duration why; do
    [ "${shape:0:1}" = "#" ] && continue
    if SHAPE=$shape SEED=$seed DURATION=$duration scripts/faults.sh >"${TMPDIR:-/tmp}/faults-$shape-$seed.out" 2>&1 </dev/null; then
        echo "$shape seed=$seed duration=$duration: held ($why)"
    else
        echo "$shape seed=$seed duration=$duration: BROKEN ($why): ${TMPDIR:-/tmp}/faults-$shape-$seed.out"
        broken=1
    fi
done <scripts/faults.seeds
exit "$broken"

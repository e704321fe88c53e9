#!/usr/bin/env bash
# Runs the kept soaks of scripts/soak.seeds one after the other and says which held. The same seed
# gives the same schedule of troubles, not the same run.
set -u
cd "$(dirname "$0")/.." || exit 2
broken=0
while read -r seed duration instances why; do
    [ "${seed:0:1}" = "#" ] && continue
    rollouts=""
    [[ $why == roll-outs:* ]] && rollouts=1
    out=${TMPDIR:-/tmp}/soak-$seed-$instances.out
    if ROLLOUTS=$rollouts SEED=$seed DURATION=$duration INSTANCES=$instances scripts/soak.sh >"$out" 2>&1 </dev/null; then
        echo "soak seed=$seed duration=$duration instances=$instances: held ($why)"
    else
        echo "soak seed=$seed duration=$duration instances=$instances: BROKEN ($why): $out"
        grep -A2 -E "^rule .* broken [1-9]|NONE" "$out"
        broken=1
    fi
done <scripts/soak.seeds
exit "$broken"

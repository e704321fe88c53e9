#!/usr/bin/env bash
# Measures the entry, which the users' bench does not play, against yardsticks, and its policies
# against each other:
# build/bench.tsv (experiment, variant, class, metric, value, unit), printed aligned at the end.
#
#   SEEDS="1 2 3" SECONDS_EACH=10 SITES="bureau padana" scripts/bench.sh [look-ups|downloads|policies|goodput]
set -u
cd "$(dirname "$0")/.." || exit 2
SITE_HISTORY=0
# shellcheck source=scripts/site.sh
. scripts/site.sh
OUT=$BUILD/bench.tsv
SEEDS=${SEEDS:-1 2 3}
SITES=${SITES:-bureau padana}
SECONDS_EACH=${SECONDS_EACH:-10}
WHAT=${1:-all}
DIR=$(mktemp -d)
trap 'site_stop; rm -rf "$DIR"' EXIT
printf 'experiment\tvariant\tclass\tmetric\tvalue\tunit\n' >"$OUT"

emit() { printf '%s\t%s\t%s\t%s\t%s\t%s\n' "$@" >>"$OUT"; }

fresh_site() { # SHAPE POLICY
    site_stop 2>/dev/null
    ENTRY_PID=()
    SITE_HOST=""
    SITE_POLICY=$2
    rm -rf "$DIR/site"
    SITE_CAP=30 LOAD_FILE=bench/$1.yaml site_make "$1" "$DIR/site" && site_start
}

rps() { awk '/Requests\/sec/{print $2}'; }
p99_ms() { awk '/99%/{v = $2; if (v ~ /us/) print v / 1000; else if (v ~ /ms/) print v + 0; else print v * 1000}'; }
rss_kb() { awk '/VmRSS/{print $2}' "/proc/$1/status"; }

bench_lookups() {
    command -v wrk >/dev/null || DEBIAN_FRONTEND=noninteractive apt-get install -y -qq wrk >/dev/null
    fresh_site bureau iris || return
    local name=toledo-hall-1 pid chunk bare_pid bare=$SITE_HOST:20100 backend=$SITE_HOST:24000 i
    pid=${ENTRY_PID[$name]}
    emit memory entry - idle "$(rss_kb "$pid")" kB
    mkdir -p "$DIR/blocks"
    "$BUILD/slopes" --write-blocks="$DIR/blocks" --count=1300000
    for chunk in "$DIR"/blocks/*; do "$BUILD/irisctl" put blocks "$(basename "$chunk")" "$chunk" >/dev/null; done
    wait_until 20 sh -c "curl -s http://${ENTRY_ADMIN[$name]}/status | jq -e '.blocks >= 1300000'" || echo "blocks missing" >&2
    emit memory entry - with_1.3M_blocks "$(rss_kb "$pid")" kB
    "$BUILD/bare" "$bare" &
    bare_pid=$!
    wait_until 5 curl -s "http://$bare"
    for i in $SEEDS; do
        # In turn, so that both see the same machine; one process each on one core.
        emit lookups bare "run$i" rate "$(wrk -t2 -c64 -d4s -s bench/lookups.lua "http://$bare" | rps)" 1/s
        emit lookups entry "run$i" rate "$(wrk -t2 -c64 -d4s -s bench/lookups.lua "http://${ENTRY_ADDR[$name]}" | rps)" 1/s
        wrk -t1 -c4 -d4s --latency -H 'x-request-id: b' "http://$backend/counts?ms=1&bytes=100" >"$DIR/direct"
        wrk -t1 -c4 -d4s --latency -H 'x-irisstall-service: tallyboard' "http://${ENTRY_ADDR[$name]}/counts?ms=1&bytes=100" >"$DIR/through"
        emit forward direct "run$i" p99 "$(p99_ms <"$DIR/direct")" ms
        emit forward entry "run$i" p99 "$(p99_ms <"$DIR/through")" ms
        emit forward direct "run$i" rate "$(rps <"$DIR/direct")" 1/s
        emit forward entry "run$i" rate "$(rps <"$DIR/through")" 1/s
    done
    wrk -t1 -c1000 -d3s "http://${ENTRY_ADDR[$name]}/v1/health" >/dev/null &
    sleep 2
    emit memory entry - with_1000_connections "$(rss_kb "$pid")" kB
    wait $!
    kill $bare_pid
}

peak_kb() { awk '/VmHWM/{print $2}' "/proc/$1/status"; }

# One entry carries a 2 GB download to a slow caller, then 1,000 downloads at once.
bench_downloads() {
    local SITE_SLOTS=3000 name=toledo-hall-1 url pid i
    REGION_LIMIT=12000 fresh_site bureau iris || return
    pid=${ENTRY_PID[$name]}
    url=http://${ENTRY_ADDR[$name]}/archives
    emit downloads entry - peak_before "$(peak_kb "$pid")" kB
    curl -s --limit-rate 150M -H 'host: certvault' "$url?ms=1&bytes=2000000000" | wc -c >"$DIR/got"
    emit downloads entry - 2GB_received "$(cat "$DIR/got")" B
    emit downloads entry - peak_after_2GB "$(peak_kb "$pid")" kB
    cat >"$DIR/many.yaml" <<Y
entries: [${ENTRY_ADDR[$name]}]
clients: 1
concurrency: 1000
classes:
  - {name: archive, service: certvault, method: GET, path: /archives, rate: 1000, service_ms: 1, bytes: 3000000, timeout_ms: 60000, drain_rate: 200000}
Y
    "$BUILD/irisstall-load" -c "$DIR/many.yaml" --seconds=5 --quiet --tsv="$OUT" --experiment=downloads --variant=1000 >/dev/null &
    local load=$! most=0 now
    for ((i = 0; i < 10; i++)); do
        sleep 1
        now=0
        for name in "${!ENTRY_PID[@]}"; do
            now=$((now + $(curl -s "http://${ENTRY_ADMIN[$name]}/status" | jq .in_flight)))
        done
        [ $now -gt $most ] && most=$now
    done
    wait $load
    emit downloads entry - most_at_once $most requests
    now=0
    for pid in "${ENTRY_PID[@]}"; do now=$((now + $(peak_kb "$pid"))); done
    emit downloads nine_entries - peak_after_1000 $now kB
}

scenario_steady() { :; }
scenario_cold() { backend_control "place=$PLACE&cold_ms=8000&cold_factor=8" >/dev/null; }
scenario_lost() {
    local name
    for name in "${!ENTRY_PID[@]}"; do
        [ "${ENTRY_REGION[$name]}" = "$REGION" ] && kill -KILL "${ENTRY_PID[$name]}"
    done
    backend_control "region=$REGION&refuse=1" >/dev/null
}
scenario_lying() {
    backend_control "name=$SERVICE-$PLACE-1&refuse=1&lie_well=1" >/dev/null
    backend_control "name=$SERVICE-$PLACE-2&lie_sick=1" >/dev/null
    backend_control "name=$SERVICE-$PLACE-3&slow_ms=200" >/dev/null
}

run_load() { # EXPERIMENT VARIANT SEED RATE SCENARIO
    "$BUILD/irisstall-load" -c "$SITE/load.yaml" --seconds="$SECONDS_EACH" --rate="$4" --seed="$3" --quiet \
        --tsv="$OUT" --experiment="$1" --variant="$2" >/dev/null &
    local load=$!
    sleep 2
    "scenario_$5"
    wait $load
}

bench_policies() {
    local site policy scenario seed
    for site in $SITES; do
        for policy in round-robin least two-choices iris; do
            for scenario in steady cold lost lying; do
                for seed in $SEEDS; do
                    fresh_site "$site" $policy || continue
                    REGION=${REGIONS%% *}
                    SERVICE=${SERVICES%% *}
                    PLACE=$(places_of "$REGION" | cut -d' ' -f1)
                    run_load "$site-$scenario" $policy "$seed" 1 $scenario
                done
            done
        done
    done
}

bench_goodput() {
    local site policy factor
    for site in $SITES; do
        for policy in round-robin iris; do
            for factor in 1.1 1.4 1.7 2.4; do # of the rate in bench/*.yaml, which is 0.63 of capacity
                fresh_site "$site" $policy || continue
                run_load "$site-load-x$factor" $policy 1 $factor steady
            done
        done
    done
}

[ "$WHAT" = all ] || [ "$WHAT" = look-ups ] && bench_lookups
[ "$WHAT" = all ] || [ "$WHAT" = downloads ] && bench_downloads
[ "$WHAT" = all ] || [ "$WHAT" = policies ] && bench_policies
[ "$WHAT" = all ] || [ "$WHAT" = goodput ] && bench_goodput
# min, median and max over the seeds
sort "$OUT" | awk -F'\t' '$1 != "experiment" {
    k = $1 "\t" $2 "\t" ($3 ~ /^run/ ? "-" : $3) "\t" $4 "\t" $6; n[k]++; v[k, n[k]] = $5 + 0 }
    END { for (k in n) { m = n[k]; for (i = 1; i <= m; i++) a[i] = v[k, i]
        for (i = 2; i <= m; i++) for (j = i; j > 1 && a[j] < a[j - 1]; j--) { t = a[j]; a[j] = a[j - 1]; a[j - 1] = t }
        split(k, f, "\t"); printf "%-22s %-12s %-9s %-22s %10.2f %10.2f %10.2f %s\n", f[1], f[2], f[3], f[4], a[1], a[int((m + 1) / 2)], a[m], f[5] } }' | sort | tee "$BUILD/bench.txt"

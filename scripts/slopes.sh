#!/usr/bin/env bash
# Measures how an entry instance's control costs and the store's load grow, with real processes:
# build/slopes.tsv, a line per measurement, and the straight lines fitted to them with residuals.
set -u
cd "$(dirname "$0")/.." || exit 2
SITE_HISTORY=1
# shellcheck source=scripts/site.sh
. scripts/site.sh
OUT=${OUT:-$BUILD/slopes.tsv}
IDLE_S=${IDLE_S:-10}
EDITS=${EDITS:-8}
TICKS=$(getconf CLK_TCK)
printf 'slope\tsize\tmetric\tvalue\tunit\n' >"$OUT"

emit() { printf '%s\t%s\t%s\t%s\t%s\n' "$@" >>"$OUT"; }

sum_metric() { # METRIC-LINE-PREFIX
    local name
    for name in "${!ENTRY_PID[@]}"; do curl -s -m 2 "http://${ENTRY_ADMIN[$name]}/metrics"; done |
        awk -v m="$1" 'index($0, m) == 1 {s += $2} END {printf "%d", s}'
}

cpu_ticks() {
    local pid total=0
    for pid in "${ENTRY_PID[@]}"; do total=$((total + $(awk '{print $14 + $15}' "/proc/$pid/stat"))); done
    echo "$total"
}

rss_kb() {
    local pid
    for pid in "${ENTRY_PID[@]}"; do awk '/VmRSS/{print $2}' "/proc/$pid/status"; done | sort -n | tail -1
}

store_calls() { control "" | jq '.reads + .writes'; }

# Milliseconds from the store's acceptance of each change to each entry: median and most.
change_times() {
    cat "$SITE"/*.history | awk '
        function field(name,   at) { at = index($0, "\"" name "\":"); return substr($0, at + length(name) + 3) }
        /"ev":"store_write","kind":"table"/ { t[field("version") + 0] = field("t") + 0 }
        /"ev":"adopt"/ && /"kind":"table"/ { n++; v[n] = field("version") + 0; at[n] = field("t") + 0; inc[n] = field("incarnation") + 0 }
        END { for (i = 1; i <= n; i++) if (t[v[i]] > 0 && inc[i] < t[v[i]]) print (at[i] - t[v[i]]) / 1000 }' |
        sort -n | awk '{a[NR] = $1} END {print a[int((NR + 1) / 2)], a[NR], NR}'
}

measure() { # SLOPE SIZE REGIONS PER_HALL
    local slope=$1 size=$2 nodes bytes calls ticks dir
    dir=$(mktemp -d)
    ENTRY_PID=()
    ENTRY_ADDR=()
    ENTRY_ADMIN=()
    SITE_HOST=""
    site_make_grid "$dir" "$3" "$4"
    site_start || { site_stop; return 1; }
    nodes=${#ENTRY_PID[@]}
    sleep 3
    bytes=$(sum_metric 'irisstall_peer_bytes_total{dir="out"}')
    calls=$(store_calls)
    ticks=$(cpu_ticks)
    sleep "$IDLE_S"
    ticks=$(($(cpu_ticks) - ticks))
    calls=$(($(store_calls) - calls))
    bytes=$(($(sum_metric 'irisstall_peer_bytes_total{dir="out"}') - bytes))
    emit "$slope" "$size" nodes "$nodes" nodes
    emit "$slope" "$size" peer_bytes_sent "$(awk -v b=$bytes -v n="$nodes" -v s="$IDLE_S" 'BEGIN{printf "%.1f", b/n/s}')" B/s/node
    emit "$slope" "$size" idle_cpu "$(awk -v t=$ticks -v n="$nodes" -v s="$IDLE_S" -v hz="$TICKS" 'BEGIN{printf "%.3f", 100*t/hz/n/s}')" %core/node
    emit "$slope" "$size" store_calls "$(awk -v c=$calls -v s="$IDLE_S" 'BEGIN{printf "%.2f", c/s}')" calls/s
    emit "$slope" "$size" rss "$(rss_kb)" kB
    bytes=$(sum_metric 'irisstall_peer_bytes_total{dir="out"}')
    local i
    for ((i = 1; i <= EDITS; i++)); do
        "$BUILD/irisctl" set tallyboard/hall-1-a "limit=$((100 + i))" >/dev/null
    done
    sleep 3
    set -- $(change_times)
    emit "$slope" "$size" change_in_force_median "$1" ms
    emit "$slope" "$size" change_in_force_most "$2" ms
    emit "$slope" "$size" changes_seen "$3" adoptions
    # All at once: the store goes away for a while and everybody comes back to it.
    control "outage=1" >/dev/null
    sleep 4
    calls=$(store_calls)
    control "outage=0" >/dev/null
    local most=0 now last=$calls
    for ((i = 0; i < 20; i++)); do
        sleep 0.25
        now=$(store_calls)
        [ $((now - last)) -gt $most ] && most=$((now - last))
        last=$now
    done
    emit "$slope" "$size" store_calls_after_outage "$((most * 4))" calls/s
    # And every entry is replaced at the same moment.
    local name started
    for name in "${!ENTRY_PID[@]}"; do kill -KILL "${ENTRY_PID[$name]}"; done
    wait "${ENTRY_PID[@]}" 2>/dev/null
    calls=$(store_calls)
    started=$(date +%s%N)
    for name in "${!ENTRY_ADDR[@]}"; do entry_start "$name"; done
    for name in "${!ENTRY_ADDR[@]}"; do wait_until 20 entry_ready "$name"; done
    emit "$slope" "$size" restart_all_ready "$((($(date +%s%N) - started) / 1000000))" ms
    emit "$slope" "$size" restart_all_store_calls "$(($(store_calls) - calls))" calls
    site_stop
    rm -rf "$dir"
}

"$BUILD/slopes" >>"$OUT"
for per_hall in 3 6 13 26; do measure region_size $((per_hall * 2)) 1 $per_hall; done
for regions in 1 2 4 8 12; do measure regions $regions $regions 3; done

# One straight line per slope and metric, with its greatest residual.
fits() {
    awk -F'\t' 'NR > 1 {
        k = $1 "\t" $3 "\t" $5; n[k]++; x[k, n[k]] = $2; y[k, n[k]] = $4
        sx[k] += $2; sy[k] += $4; sxx[k] += $2 * $2; sxy[k] += $2 * $4 }
    END { for (k in n) { d = n[k] * sxx[k] - sx[k] ^ 2; if (n[k] < 3 || d == 0) continue
        b = (n[k] * sxy[k] - sx[k] * sy[k]) / d; a = (sy[k] - b * sx[k]) / n[k]; m = 0
        for (i = 1; i <= n[k]; i++) { e = y[k, i] - a - b * x[k, i]; if (e < 0) e = -e; if (e > m) m = e }
        split(k, f, "\t"); printf "%-14s %-28s %12.4g + %10.4g * size  (greatest residual %.3g %s)\n", f[1], f[2], a, b, m, f[3] } }' "$OUT" | sort
}
fits | tee "$BUILD/slopes.fit"

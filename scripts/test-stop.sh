#!/usr/bin/env bash
# A planned stop of an entry and a drain of a backend server while long downloads run: every
# request still gets its whole answer, the entry exits 0, and the checker agrees.
set -u
cd "$(dirname "$0")/.." || exit 2
# shellcheck source=scripts/site.sh
. scripts/site.sh
DIR=$(mktemp -d)
site_make padana "$DIR/site" || exit 2
trap 'site_stop; cat "$SITE"/*.err; rm -rf "$DIR"' EXIT
site_start || exit 2
cat >"$DIR/load.yaml" <<Y
entries: [${ENTRY_ADDR[milano-a-1]}, ${ENTRY_ADDR[padova-a-1]}, ${ENTRY_ADDR[torino-a-1]}]
clients: 300
concurrency: 1000
classes:
  - {name: manual, service: archivio, method: GET, path: /manuals, rate: 5, service_ms: 20, bytes: 1500000, timeout_ms: 40000, drain_rate: 500000}
  - {name: stock, service: banco, method: GET, path: /stock, rate: 60, service_ms: 15, bytes: 500, timeout_ms: 4000}
Y
"$BUILD/irisstall-load" -c "$DIR/load.yaml" --seconds=10 --quiet --history="$SITE/load.history" >"$DIR/load.out" &
LOAD=$!
wait_until 10 grep -q recv "$SITE/load.history"
"$BUILD/irisctl" drain banco banco-milano-a-1 >/dev/null || exit 1
kill -TERM "${ENTRY_PID[padova-a-1]}"
wait "${ENTRY_PID[padova-a-1]}"
STATUS=$?
unset "ENTRY_PID[padova-a-1]"
wait "$LOAD"
cat "$DIR/load.out"
"$BUILD/irisstall-check" "$SITE"/*.history || exit 1
[ $STATUS -eq 0 ] || { echo "the entry ended with $STATUS"; exit 1; }
awk '$1=="manual" && ($3+$4+$5+$6+$7>0 || $2<30){bad=1} END{exit bad}' "$DIR/load.out" || { echo "a download was cut or refused"; exit 1; }

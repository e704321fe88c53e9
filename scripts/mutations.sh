#!/usr/bin/env bash
# Switches one rule off at a time in a whole site and shows that the checker notices: with all
# rules on every promise examined is kept, with a rule off its promise is broken.
set -u
cd "$(dirname "$0")/.." || exit 2
BUILD=${BUILD:-build-mutations}
[ -f "$BUILD/build.ninja" ] || meson setup "$BUILD" -Dmutations=true >/dev/null || exit 2
ninja -C "$BUILD" >/dev/null || exit 2
export BUILD SITE_CAP=4 REGION_LIMIT=18
# shellcheck source=scripts/site.sh
. scripts/site.sh
DIR=$(mktemp -d)
trap 'site_stop; rm -rf "$DIR"' EXIT
cat >"$DIR/classes.yaml" <<'Y'
  - {name: count, service: tallyboard, method: GET, path: /counts, rate: 500, service_ms: 60, bytes: 3000, timeout_ms: 4000}
  - {name: archive, service: certvault, method: GET, path: /archives, rate: 12, service_ms: 50, bytes: 1500000, timeout_ms: 40000, drain_rate: 700000}
  - {name: attest, service: certvault, method: POST, path: /attestations, rate: 60, service_ms: 15, bytes: 200, timeout_ms: 6000, keys: minted, repeat_unknown: true}
Y

scenario() { # MUTATION
    site_stop 2>/dev/null
    ENTRY_PID=()
    SITE_HOST=""
    export IRISSTALL_MUTATE=$1
    rm -rf "$DIR/site"
    LOAD_FILE=$DIR/classes.yaml site_make bureau "$DIR/site" && site_start || return 2
    "$BUILD/irisstall-load" -c "$SITE/load.yaml" --seconds=22 --quiet --history="$SITE/load.history" >"$DIR/load.out" &
    local load=$!
    sleep 7
    "$BUILD/irisctl" set tallyboard/toledo-hall weight=60 >/dev/null
    "$BUILD/irisctl" drain tallyboard tallyboard-gary-hall-1 >/dev/null
    backend_control "service=certvault&cut=15" >/dev/null
    sleep 6
    backend_control "service=certvault&cut=0" >/dev/null
    kill -TERM "${ENTRY_PID[alpena-hall-1]}"
    wait $load
    wait "${ENTRY_PID[alpena-hall-1]}"
    "$BUILD/irisstall-check" "$SITE"/*.history >"$DIR/check.out"
}

failures=0
expect() { # MUTATION PROMISE
    scenario "$1"
    if grep -q "^BROKEN.*$2" "$DIR/check.out"; then
        echo "$1: noticed: $(grep "^BROKEN.*$2" "$DIR/check.out")"
    else
        echo "$1: NOT NOTICED"
        failures=$((failures + 1))
    fi
}

scenario none
if grep -q "^BROKEN" "$DIR/check.out"; then
    echo "none: BROKEN"
    cat "$DIR/check.out"
    failures=$((failures + 1))
else
    echo "none: every promise examined was kept"
fi
grep -E "^(held|-)" "$DIR/check.out"
expect no_limit "region's limit"
expect no_cap "shift's cap"
expect ignore_drain "leaving backend server"
expect retry_all "at most once"
expect claim_not_run "not run means not run"
expect cut_on_stop "planned stop"
echo "$((7 - failures)) passed, $failures failed"
[ $failures -eq 0 ]

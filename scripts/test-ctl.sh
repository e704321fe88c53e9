#!/usr/bin/env bash
# The operators' commands against a running site: edits, races, CSV, drains, explanations, and a
# store whose answers are lost after the write.
set -u
cd "$(dirname "$0")/.." || exit 2
# shellcheck source=scripts/site.sh
. scripts/site.sh
DIR=$(mktemp -d)
site_make bureau "$DIR/site" || exit 2
trap 'site_stop; rm -rf "$DIR"' EXIT
site_start || exit 2
ctl() { "$BUILD/irisctl" --history="$SITE/ctl.history" "$@"; }
fail() {
    echo "FAILED: $*"
    exit 1
}
status_is() { # STATUS COMMAND...
    local wanted=$1
    shift
    "$@" >"$DIR/out" 2>&1
    local got=$?
    [ $got -eq "$wanted" ] || fail "$* ended with $got, expected $wanted: $(cat "$DIR/out")"
}

status_is 0 ctl table show tallyboard
status_is 0 ctl set tallyboard/toledo-hall limit=20 cap=25
ctl --json table show tallyboard | jq -e '.rows[0].limit == 20 and .rows[0].cap == 25' >/dev/null || fail "cells not set"
status_is 2 ctl set tallyboard/toledo-hall limit=-1
status_is 2 ctl set tallyboard/toledo-hall colour=red
status_is 1 ctl set nobody/toledo-hall limit=1

# An export that another operator overtakes: other cells merge, the same cell is refused.
ctl export tallyboard >"$DIR/first.csv"
cp "$DIR/first.csv" "$DIR/second.csv"
sed -i '0,/^gary-hall,10,/s//gary-hall,15,/' "$DIR/first.csv"
sed -i '0,/^gary-hall,10,24,/s//gary-hall,30,23,/' "$DIR/second.csv"
status_is 0 ctl import tallyboard "$DIR/first.csv"
status_is 1 ctl import tallyboard "$DIR/second.csv"
grep -q "you saw 10 and want 30, but it is now 15" "$DIR/out" || fail "both values not shown: $(cat "$DIR/out")"
ctl export tallyboard | grep -q '^gary-hall,15,24,' || fail "a refused import changed something"

status_is 0 ctl drain tallyboard tallyboard-gary-hall-1
ctl --json table show tallyboard | jq -e '.draining == ["tallyboard-gary-hall-1"]' >/dev/null || fail "no mark"
status_is 0 ctl undrain tallyboard tallyboard-gary-hall-1
status_is 0 ctl explain tallyboard 10.0.0.1
grep -q "place:" "$DIR/out" || fail "no explanation"
status_is 1 ctl explain nobody 10.0.0.1
status_is 0 ctl status
[ "$(grep -c ready "$DIR/out")" -eq 9 ] || fail "not nine entries: $(cat "$DIR/out")"
status_is 0 "$BUILD/irisctl" check "$SITE/table-tallyboard.json" "$SITE/region-erie-west.json"
echo '{"schema":1}' >"$DIR/bad.json"
status_is 1 "$BUILD/irisctl" check "$DIR/bad.json"
status_is 2 ctl put table tallyboard "$DIR/bad.json"

# Every answer to a write is lost: the operator is still told the truth.
control "lose_answers=100" >/dev/null
status_is 0 ctl set tallyboard/racine-hall limit=11
control "lose_answers=0" >/dev/null
ctl export tallyboard | grep -q '^racine-hall,10,11,' || fail "told applied, but it is not"
for i in 1 2 3 4 5 6; do ctl set tallyboard/alpena-hall weight=$((20 + i)) >/dev/null 2>&1 & done
wait $(jobs -p | tail -6)
"$BUILD/irisstall-check" "$SITE"/*.history >"$DIR/check" || fail "$(cat "$DIR/check")"
grep "true outcome" "$DIR/check"

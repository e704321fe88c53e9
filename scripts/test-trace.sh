#!/usr/bin/env bash
# irisctl trace: lines of several instances about one id, in order, and nothing else.
set -eu
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cat >"$work/a.log" <<'LOG'
v=1 ts=2026-01-01T00:00:03.000Z level=INFO module=exchange event="request ended" id=q-1 outcome=unknown status=502 backend=i-9
v=1 ts=2026-01-01T00:00:01.000Z level=INFO module=attempt event="attempt failed" id=q-1 backend=i-9 stage=1 err=answer_lost
v=1 ts=2026-01-01T00:00:01.500Z level=INFO module=exchange event="request ended" id=q-11 outcome=answered status=200 backend=i-8
LOG
cat >"$work/b.log" <<'LOG'
  12.5 front-2 v=1 ts=2026-01-01T00:00:02.000Z level=INFO module=router event="backend leaving" id=i-9 revision=4
LOG
"$BUILD/irisctl" trace q-1 "$work/a.log" "$work/b.log" >"$work/request"
[ "$(wc -l <"$work/request")" -eq 2 ]
head -1 "$work/request" | grep -q 'event="attempt failed" id=q-1'
tail -1 "$work/request" | grep -q 'outcome=unknown'
"$BUILD/irisctl" trace i-9 "$work/a.log" "$work/b.log" >"$work/backend"
[ "$(wc -l <"$work/backend")" -eq 3 ]
sed -n 2p "$work/backend" | grep -q '^2026-01-01T00:00:02.000Z front-2 .*backend leaving'
status=0
"$BUILD/irisctl" trace nothing "$work/a.log" 2>/dev/null || status=$?
[ "$status" -eq 1 ]
echo "trace: held"

#!/usr/bin/env bash
# The main job on one machine: a whole site under load, a weight shifted by irisctl, one backend
# server drained, one entry instance stopped as planned; ends by itself with a short report.
#
#   scripts/demo.sh bureau|padana
set -u
cd "$(dirname "$0")/.." || exit 2
SHAPE=${1:-bureau}
SITE_CAP=60
# shellcheck source=scripts/site.sh
. scripts/site.sh
DIR=$(mktemp -d)
site_make "$SHAPE" "$DIR/site" || exit 2
trap 'site_stop; rm -rf "$DIR"' EXIT
echo "starting ${#ENTRY_ADDR[@]} entry instances and $BACKENDS backend servers ..."
site_start || exit 1
main_service=${SERVICES% *}
first_region=${REGIONS%% *}
first_place=$(places_of "$first_region" | cut -d' ' -f1)
last_region=${REGIONS##* }
last_place=$(places_of "$last_region" | cut -d' ' -f1)
stopped=$last_place-1
drained=$main_service-$last_place-1

"$BUILD/irisstall-load" -c "$SITE/load.yaml" --seconds=24 --history="$SITE/load.history" >"$DIR/load.out" &
LOAD=$!
sleep 2
echo "shift: weight of $main_service/$first_place from 10 to 40 (cap 60 points a minute)"
"$BUILD/irisctl" set "$main_service/$first_place" weight=40
drain_from=$(date +%s%N)
echo "drain: $drained"
"$BUILD/irisctl" drain "$main_service" "$drained"
sleep 1
wait_until 20 sh -c "curl -s -X POST 'http://$BACKEND_CONTROL/control?name=$drained' | grep -q '\"in_flight\":0'"
drain_ms=$((($(date +%s%N) - drain_from) / 1000000))
echo "planned stop: $stopped"
kill -TERM "${ENTRY_PID[$stopped]}"
wait "${ENTRY_PID[$stopped]}"
stop_status=$?
"$BUILD/irisctl" table show "$main_service"
wait "$LOAD"
echo
echo "== requests"
cat "$DIR/load.out"
echo
echo "drain of $drained: idle $drain_ms ms after the mark"
echo "planned stop of $stopped: exit status $stop_status"
echo
echo "== promises on the recorded history"
"$BUILD/irisstall-check" "$SITE"/*.history

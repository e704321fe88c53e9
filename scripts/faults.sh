#!/usr/bin/env bash
# A bounded campaign of faults against a whole site, with the promises checked on its history.
#
#   DURATION=120 SEED=1 SHAPE=bureau scripts/faults.sh
#
# The same seed gives the same schedule of faults.
set -u
cd "$(dirname "$0")/.." || exit 2
DURATION=${DURATION:-120}
SEED=${SEED:-$((RANDOM))}
SHAPE=${SHAPE:-bureau}
RATE=${RATE:-1}
RANDOM_HOST=127.$((RANDOM % 250 + 2)).$((RANDOM % 250 + 2)).$((RANDOM % 250 + 2))
SITE_HOST=${SITE_HOST:-$RANDOM_HOST}
# shellcheck source=scripts/site.sh
. scripts/site.sh
DIR=${DIR:-$(mktemp -d)}
RANDOM=$SEED
echo "faults: shape=$SHAPE seed=$SEED duration=${DURATION}s"

record() { # EVENT FIELDS: a line of the campaign's own history
    echo "{\"t\":$(date +%s%6N),\"ev\":\"$1\",$2}" >>"$SITE/campaign.history"
}

fault() { echo "$(date +%s.%N | cut -c1-14) $*" >>"$DIR/faults.log"; }

any_entry() {
    local names=("${ENTRY_NAMES[@]}")
    echo "${names[$((RANDOM % ${#names[@]}))]}"
}

any_backend() { awk -v n=$((RANDOM % BACKENDS + 1)) 'NR==n{print $1}' "$SITE/upstreams.txt"; }

any_place() {
    local all=()
    local region
    for region in $REGIONS; do all+=($(places_of "$region")); done
    echo "${all[$((RANDOM % ${#all[@]}))]}"
}

kill_entry() {
    local name
    name=$(any_entry)
    fault "kill $name"
    kill -KILL "${ENTRY_PID[$name]}" 2>/dev/null
    wait "${ENTRY_PID[$name]}" 2>/dev/null
    sleep "$1"
    entry_start "$name"
}

stop_entry() {
    local name
    name=$(any_entry)
    fault "pause $name ${1}s"
    record pause "\"entry\":\"$name\""
    kill -STOP "${ENTRY_PID[$name]}"
    sleep "$1"
    kill -CONT "${ENTRY_PID[$name]}"
}

leave_entry() {
    local name
    name=$(any_entry)
    fault "planned stop $name"
    kill -TERM "${ENTRY_PID[$name]}"
    sleep "$1"
}

restart_ended() {
    local name
    for name in "${ENTRY_NAMES[@]}"; do
        kill -0 "${ENTRY_PID[$name]}" 2>/dev/null || entry_start "$name"
    done
}

store_fault() {
    local kind=$((RANDOM % 3))
    fault "store fault $kind for ${1}s"
    case $kind in
    0) control "outage=1" >/dev/null ;;
    1) control "delay_ms=$((RANDOM % 1500 + 100))" >/dev/null ;;
    2) control "lose_answers=$((RANDOM % 60 + 10))" >/dev/null ;;
    esac
    sleep "$1"
    control "outage=0&delay_ms=0&lose_answers=0" >/dev/null
}

backend_fault() {
    local name kinds=("refuse=1" "lie_sick=1" "refuse=1&lie_well=1" "slow_ms=300" "cut=30" "cold_ms=4000&cold_factor=6")
    local kind=${kinds[$((RANDOM % ${#kinds[@]}))]}
    name=$(any_backend)
    fault "backend $name $kind for ${1}s"
    backend_control "name=$name&$kind" >/dev/null
    sleep "$1"
    backend_control "name=$name&refuse=0&lie_sick=0&lie_well=0&slow_ms=0&cut=0" >/dev/null
}

drain_backend() {
    local name service way
    name=$(any_backend)
    service=${name%%-*}
    : $((RANDOM)) # a draw that earlier schedules had
    way=$((RANDOM % 3))
    fault "drain $name way $way for ${1}s"
    case $way in
    0)
        ctl drain "$service" "$name"
        sleep "$1"
        ctl undrain "$service" "$name"
        ;;
    1)
        set_instance_state "$name" leaving
        sleep "$1"
        set_instance_state "$name" live
        ;;
    2)
        backend_control "name=$name&drain=1" >/dev/null
        sleep "$1"
        backend_control "name=$name&drain=0" >/dev/null
        ;;
    esac
}

ctl() { "$BUILD/irisctl" --history="$SITE/ctl.history" "$@" >>"$SITE/ctl.out" 2>&1; }

race_operators() {
    local service=${SERVICES%% *} place i
    place=$(any_place)
    fault "operators race at $service/$place"
    for i in 1 2 3; do
        ctl set "$service/$place" "weight=$((RANDOM % 20 + 1))" &
    done
    ctl set "$service/$(any_place)" "cap=$((RANDOM % 10 + 25))" &
}

lower_limit() {
    local region
    for region in $REGIONS; do break; done
    fault "limit of $region to half for ${1}s"
    sed "s/\"limit\":$REGION_LIMIT/\"limit\":$((REGION_LIMIT / 2))/" "$SITE/region-$region.json" >"$DIR/half.json"
    ctl put region "$region" "$DIR/half.json"
    sleep "$1"
    ctl put region "$region" "$SITE/region-$region.json"
}

site_make "$SHAPE" "$DIR/site" || exit 2
ENTRY_NAMES=($(printf '%s\n' "${!ENTRY_ADDR[@]}" | sort))
trap site_stop EXIT
site_start || exit 2
"$BUILD/irisstall-load" -c "$SITE/load.yaml" --seconds="$DURATION" --rate="$RATE" --seed="$SEED" --quiet --history="$SITE/load.history" >"$DIR/load.out" 2>&1 &
LOAD_PID=$!

END=$((SECONDS + DURATION - 6))
while [ $SECONDS -lt $END ]; do
    length=$((RANDOM % 5 + 1))
    case $((RANDOM % 10)) in
    0 | 1) kill_entry $length ;;
    2 | 3) stop_entry $((length * 2)) ;;
    4) leave_entry $length ;;
    5) store_fault $((length * 2)) & ;;
    6) backend_fault $length & ;;
    7) drain_backend $((length + 4)) & ;;
    8) race_operators ;;
    9) lower_limit $((length * 2)) & ;;
    esac
    [ $((RANDOM % 2)) = 0 ] || sleep $((RANDOM % 2))
    restart_ended
done
wait "$LOAD_PID"
cat "$DIR/load.out"
sort "$DIR/faults.log" | awk '{print $2}' | sort | uniq -c | tr '\n' ';'
echo
"$BUILD/irisstall-check" "$SITE"/*.history
STATUS=$?
echo "histories: $SITE"
exit $STATUS

# Shell functions to set up and run a whole site on loopback addresses: the platform and backend
# stand-ins, entry instances and their settings. Sourced by the demo, the bench and the tests.
#
#   site_make bureau|padana DIR    writes every file of the site
#   site_start                     starts all processes and waits until the entries are ready
#   site_stop                      ends them
#
# shellcheck shell=bash

BUILD=${BUILD:-build}
SITE_POLICY=${SITE_POLICY:-iris}
SITE_HISTORY=${SITE_HISTORY:-1}

declare -A ENTRY_PID=() ENTRY_ADDR=() ENTRY_ADMIN=() ENTRY_REGION=() ENTRY_PLACE=()

site_pick_host() {
    # Each run has a loopback address of its own, so fixed ports never meet another run's.
    SITE_HOST=${SITE_HOST:-127.$((RANDOM % 250 + 2)).$((RANDOM % 250 + 2)).$((RANDOM % 250 + 2))}
    PLATFORM=$SITE_HOST:20000
    BACKEND_CONTROL=$SITE_HOST:20001
    export IRISSTALL_PLATFORM=$PLATFORM
}

site_shape() {
    case $1 in
    bureau)
        REGIONS="erie-west huron-north michigan-south"
        PLACES_erie_west="toledo-hall sandusky-hall"
        PLACES_huron_north="alpena-hall sarnia-hall"
        PLACES_michigan_south="gary-hall racine-hall"
        SERVICES="tallyboard certvault"
        SLOTS=${SITE_SLOTS:-6} REGION_DELAY=35 REGION_LIMIT=${REGION_LIMIT:-66}
        ;;
    padana)
        REGIONS="lombardia veneto piemonte"
        PLACES_lombardia="milano-a bergamo-b"
        PLACES_veneto="padova-a verona-b"
        PLACES_piemonte="torino-a cuneo-b"
        SERVICES="banco archivio"
        SLOTS=2 REGION_DELAY=12 REGION_LIMIT=${REGION_LIMIT:-24}
        ;;
    *)
        echo "unknown site: $1" >&2
        return 2
        ;;
    esac
}

places_of() {
    local variable=PLACES_${1//-/_}
    echo "${!variable}"
}

classes_of() {
    case $1 in
    tallyboard)
        cat <<'J'
{"name":"count","method":"GET","path":"/counts","repeatable":true,"hedge":true,"deadline_ms":2000,"priority":0,"weight_latency":0.7,"weight_headroom":0.2,"weight_drain":0.1}
J
        ;;
    certvault)
        cat <<'J'
{"name":"archive","method":"GET","path":"/archives","repeatable":true,"deadline_ms":30000,"priority":2,"weight_latency":0.2,"weight_headroom":0.3,"weight_drain":0.5},
{"name":"attest","method":"POST","path":"/attestations","repeatable":false,"deadline_ms":3000,"priority":1,"weight_latency":0.4,"weight_headroom":0.5,"weight_drain":0.1}
J
        ;;
    banco)
        cat <<'J'
{"name":"stock","method":"GET","path":"/stock","repeatable":true,"hedge":true,"deadline_ms":2000,"priority":1,"weight_latency":0.4,"weight_headroom":0.5,"weight_drain":0.1},
{"name":"order","method":"POST","path":"/orders","repeatable":false,"deadline_ms":3000,"priority":0,"weight_latency":0.2,"weight_headroom":0.7,"weight_drain":0.1}
J
        ;;
    archivio)
        cat <<'J'
{"name":"manual","method":"GET","path":"/manuals","repeatable":true,"deadline_ms":30000,"priority":2,"weight_latency":0.2,"weight_headroom":0.4,"weight_drain":0.4}
J
        ;;
    esac
}

load_of() {
    case $1 in
    bureau)
        cat <<'Y'
  - {name: count, service: tallyboard, method: GET, path: /counts, rate: 400, service_ms: 20, bytes: 4000, timeout_ms: 4000}
  - {name: archive, service: certvault, method: GET, path: /archives, rate: 20, service_ms: 50, bytes: 400000, timeout_ms: 40000}
  - {name: attest, service: certvault, method: POST, path: /attestations, rate: 30, service_ms: 15, bytes: 200, timeout_ms: 6000, keys: minted, repeat_unknown: true}
  - {name: correct, service: certvault, method: POST, path: /attestations, rate: 8, service_ms: 15, bytes: 200, timeout_ms: 6000, keys: own, repeat_unknown: true}
Y
        ;;
    padana)
        cat <<'Y'
  - {name: stock, service: banco, method: GET, path: /stock, rate: 150, service_ms: 20, bytes: 2000, timeout_ms: 4000}
  - {name: order, service: banco, method: POST, path: /orders, rate: 25, service_ms: 30, bytes: 200, timeout_ms: 6000, keys: minted, repeat_unknown: true}
  - {name: manual, service: archivio, method: GET, path: /manuals, rate: 10, service_ms: 40, bytes: 300000, timeout_ms: 40000}
Y
        ;;
    esac
}

site_add_entry() { # NAME REGION PLACE INDEX
    local name=$1 region=$2 place=$3 index=$4
    ENTRY_ADDR[$name]=$SITE_HOST:$((21000 + index))
    ENTRY_ADMIN[$name]=$SITE_HOST:$((23000 + index))
    ENTRY_REGION[$name]=$region
    ENTRY_PLACE[$name]=$place
    cat >"$SITE/$name.yaml" <<Y
name: $name
region: $region
place: $place
listen: ${ENTRY_ADDR[$name]}
peer: $SITE_HOST:$((22000 + index))
admin: ${ENTRY_ADMIN[$name]}
platform: $PLATFORM
seeds:
  - $SITE_HOST:22000
  - $SITE_HOST:22003
  - $SITE_HOST:22006
log:
  file: $SITE/$name.log
  level: info
spans: $SITE/$name.spans
policy: $SITE_POLICY
Y
    if [ "$SITE_HISTORY" = 1 ]; then
        echo "history: $SITE/$name.history" >>"$SITE/$name.yaml"
    fi
    INSTANCES+=("{\"name\":\"$name\",\"role\":\"entry\",\"region\":\"$region\",\"place\":\"$place\",\"addr\":\"${ENTRY_ADDR[$name]}\",\"peer\":\"$SITE_HOST:$((22000 + index))\",\"admin\":\"${ENTRY_ADMIN[$name]}\",\"state\":\"live\"}")
}

site_add_backends() { # SERVICE REGION PLACE COUNT
    local i
    for ((i = 1; i <= $4; i++)); do
        local name=$1-$3-$i addr=$SITE_HOST:$((24000 + BACKENDS))
        BACKENDS=$((BACKENDS + 1))
        echo "$name $1 $2 $3 $addr $SLOTS" >>"$SITE/upstreams.txt"
        INSTANCES+=("{\"name\":\"$name\",\"role\":\"backend\",\"service\":\"$1\",\"region\":\"$2\",\"place\":\"$3\",\"addr\":\"$addr\",\"slots\":$SLOTS,\"state\":\"live\"}")
    done
}

join_by_comma() {
    local IFS=,
    echo "$*"
}

site_make() { # SHAPE DIR
    local region place service index=0 rows row_limit
    SITE=$2
    SITE_SHAPE=$1
    mkdir -p "$SITE"
    site_pick_host
    site_shape "$1" || return
    INSTANCES=()
    BACKENDS=0
    : >"$SITE/upstreams.txt"
    local topology=()
    for region in $REGIONS; do
        local names=() delays=() other
        set -- $(places_of "$region")
        site_add_entry "$1-1" "$region" "$1" $index
        site_add_entry "$1-2" "$region" "$1" $((index + 1))
        site_add_entry "$2-1" "$region" "$2" $((index + 2))
        index=$((index + 3))
        for place in $(places_of "$region"); do
            names+=("\"$place\"")
            site_add_backends "${SERVICES% *}" "$region" "$place" 4
            site_add_backends "${SERVICES#* }" "$region" "$place" 2
        done
        for other in $REGIONS; do
            [ "$other" = "$region" ] || delays+=("\"$other\":$REGION_DELAY")
        done
        topology+=("{\"name\":\"$region\",\"places\":[$(join_by_comma "${names[@]}")],\"delay_ms\":{$(join_by_comma "${delays[@]}")}}")
        echo "{\"region\":\"$region\",\"limit\":$REGION_LIMIT,\"rate\":0,\"link_bytes\":0}" >"$SITE/region-$region.json"
    done
    echo "{\"regions\":[$(join_by_comma "${topology[@]}")]}" >"$SITE/topology.json"
    echo "[$(join_by_comma "${INSTANCES[@]}")]" >"$SITE/instances.json"
    for service in $SERVICES; do
        rows=()
        row_limit=$((SLOTS * 4))
        [ "$service" = "${SERVICES% *}" ] || row_limit=$((SLOTS * 2))
        for region in $REGIONS; do
            for place in $(places_of "$region"); do
                rows+=("{\"place\":\"$place\",\"weight\":10,\"limit\":$row_limit,\"cap\":${SITE_CAP:-30}}")
            done
        done
        echo "{\"schema\":1,\"service\":\"$service\",\"rows\":[$(join_by_comma "${rows[@]}")],\"classes\":[$(classes_of "$service")]}" >"$SITE/table-$service.json"
    done
    {
        echo "entries:"
        local name
        for name in "${!ENTRY_ADDR[@]}"; do echo "  - ${ENTRY_ADDR[$name]}"; done
        echo "clients: 600"
        echo "concurrency: 3000"
        echo "classes:"
        if [ -n "${LOAD_FILE:-}" ]; then cat "$LOAD_FILE"; else load_of "$SITE_SHAPE"; fi
    } >"$SITE/load.yaml"
}

control() { curl -s -m 5 -X POST "http://$PLATFORM/control?$1"; }
backend_control() { curl -s -m 5 -X POST "http://$BACKEND_CONTROL/control?$1"; }
set_instance_state() { # NAME STATE
    curl -s -m 5 -o /dev/null -X POST --data "[{\"name\":\"$1\",\"state\":\"$2\"}]" "http://$PLATFORM/v1/instances"
}

entry_start() { # NAME
    "$BUILD/irisstall-entry" -c "$SITE/$1.yaml" 2>>"$SITE/$1.err" &
    ENTRY_PID[$1]=$!
}

wait_until() { # SECONDS COMMAND...: true once the command succeeds
    local tries=$(($1 * 20))
    shift
    while ! "$@" >/dev/null 2>&1; do
        tries=$((tries - 1))
        [ $tries -gt 0 ] || return 1
        sleep 0.05
    done
}

entry_ready() { curl -s -m 1 -f "http://${ENTRY_ADDR[$1]}/v1/health"; }

# All credits of every region are usable again.
credits_full() {
    local name total=0
    for name in "${!ENTRY_PID[@]}"; do
        total=$((total + $(curl -s -m 1 "http://${ENTRY_ADMIN[$name]}/metrics" | awk '/^irisstall_credit_usable /{print $2}')))
    done
    set -- $REGIONS
    [ "$total" -ge $((REGION_LIMIT * $#)) ]
}

site_start() {
    local name region service
    "$BUILD/fake-platform" --listen="$PLATFORM" --history="$SITE/platform.history" 2>>"$SITE/platform.err" &
    PLATFORM_PID=$!
    "$BUILD/fake-backend" --upstreams="$SITE/upstreams.txt" --control="$BACKEND_CONTROL" --history="$SITE/backend.history" 2>>"$SITE/backend.err" &
    BACKEND_PID=$!
    wait_until 10 control "" || return
    curl -s -o /dev/null -X POST --data @"$SITE/instances.json" "http://$PLATFORM/v1/instances"
    "$BUILD/irisctl" put topology main "$SITE/topology.json" >/dev/null || return
    for region in $REGIONS; do
        "$BUILD/irisctl" put region "$region" "$SITE/region-$region.json" >/dev/null || return
    done
    for service in $SERVICES; do
        "$BUILD/irisctl" put table "$service" "$SITE/table-$service.json" >/dev/null || return
    done
    for name in "${!ENTRY_ADDR[@]}"; do entry_start "$name"; done
    for name in "${!ENTRY_ADDR[@]}"; do
        wait_until 15 entry_ready "$name" || { echo "entry $name is not ready" >&2; return 1; }
    done
    wait_until 30 credits_full || { echo "credits are not shared out" >&2; return 1; }
}

site_stop() {
    local pid
    for pid in "${ENTRY_PID[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
    kill ${PLATFORM_PID:-} ${BACKEND_PID:-} 2>/dev/null
    wait 2>/dev/null
    return 0
}

# A site of REGIONS regions with two halls each and PER_HALL entries a hall, one service, two
# small backend servers a hall. For slopes, where the number of entries matters.
site_make_grid() { # DIR REGIONS PER_HALL
    local r hall i index=0 rows=() topology=()
    SITE=$1
    SITE_SHAPE=grid
    mkdir -p "$SITE"
    site_pick_host
    SERVICES="tallyboard"
    SLOTS=6
    REGION_LIMIT=$(($3 * 2 * 8))
    REGIONS=""
    INSTANCES=()
    BACKENDS=0
    : >"$SITE/upstreams.txt"
    for ((r = 1; r <= $2; r++)); do
        REGIONS="$REGIONS region-$r"
        for hall in a b; do
            rows+=("{\"place\":\"hall-$r-$hall\",\"weight\":10,\"cap\":30}")
            for ((i = 1; i <= $3; i++)); do
                site_add_entry "hall-$r-$hall-$i" "region-$r" "hall-$r-$hall" $index
                index=$((index + 1))
            done
            site_add_backends tallyboard "region-$r" "hall-$r-$hall" 2
        done
        topology+=("{\"name\":\"region-$r\",\"places\":[\"hall-$r-a\",\"hall-$r-b\"]}")
        echo "{\"region\":\"region-$r\",\"limit\":$REGION_LIMIT,\"rate\":0,\"link_bytes\":0}" >"$SITE/region-region-$r.json"
    done
    echo "{\"regions\":[$(join_by_comma "${topology[@]}")]}" >"$SITE/topology.json"
    echo "[$(join_by_comma "${INSTANCES[@]}")]" >"$SITE/instances.json"
    echo "{\"schema\":1,\"service\":\"tallyboard\",\"rows\":[$(join_by_comma "${rows[@]}")],\"classes\":[$(classes_of tallyboard)]}" >"$SITE/table-tallyboard.json"
}

#!/usr/bin/env bash
# A soak of irisstall-gateway: instances over three regions on loopback, under troubles drawn from a
# seed, with the promises judged on what callers, backend servers and the operator saw.
#
#   SEED=7 DURATION=60 INSTANCES=9 scripts/soak.sh
#
# SAYS=1 leaves the other troubles out and has 24 backend servers name limits, ask for rest and leave.
# POISON=5 leaves the other troubles out and has five requests come that end backend servers.
#
# INTERFERENCE=1 has backend servers slowed at times besides, who say so.
#
# EARLIER=1 leaves out the troubles that earlier versions can't bear (cuts from all backend
# servers, a store that comes back from an older copy, slow instances), for fleets of two builds.
#
# ROLLOUTS=1 has operators order roll-outs besides, good and bad ones.
#
# The same seed, duration and number of instances give the same schedule of troubles, not the same
# run. fake-site (standin/soak/) decides and judges; this script starts the processes and carries
# out its orders. Ends by itself, and leaves no process behind. Exit 0 if every rule held.
set -u
cd "$(dirname "$0")/.." || exit 2
BUILD=${BUILD:-build}
SEED=${SEED:-$RANDOM}
DURATION=${DURATION:-60}
INSTANCES=${INSTANCES:-9}
DIR=${DIR:-$(mktemp -d)}
GRACE_S=6
# Seconds past the duration after which all is ended by force: above the 15 that fake-site waits.
OVERTIME_S=30
NET=127.$((RANDOM % 250 + 2)).$((RANDOM % 250 + 2)).
# Sanitizers make a process several times slower.
SLACK=1
if nm -D "$BUILD/irisstall-gateway" | grep -q __asan; then SLACK=2; fi

places="toledo-hall:erie-west alpena-hall:huron-north gary-hall:michigan-south
sandusky-hall:erie-west sarnia-hall:huron-north racine-hall:michigan-south"
homes=(toledo-hall alpena-hall gary-hall sandusky-hall sarnia-hall racine-hall)

settings() { # NUMBER VARIANT: the seeds and the bounds of retries vary, every third link is wide
    local ip="$NET$1" seed=$(($2 % INSTANCES + 1))
    cat >"$DIR/$1.yaml.new" <<YAML
name: gateway-$1
place: ${homes[$((($1 - 1) % ${#homes[@]}))]}
callers: $ip:18141
readiness: $ip:18142
directory: $ip:18143
peer: $ip:18144
admin: $ip:18145
store: ${NET}250:18140
seeds: ["${NET}1:18144", "${NET}$seed:18144"]
places:
$(for entry in $places; do printf '  - {place: %s, region: %s}\n' "${entry%%:*}" "${entry##*:}"; done)
link_mbps: $(($1 % 3 ? 10 : 200))
cpu_cores: 0.5
directory_ttl_s: 2
grace_s: $GRACE_S
retry_ratio: 0.2
retry_constant: $((50 + $2 % 10))
retry_window_s: 10
${ROLLOUTS:+expose_share: 0.1
expose_slack: 50}
YAML
    mv "$DIR/$1.yaml.new" "$DIR/$1.yaml"
}

# Runs one process to its end and tells fake-site of both.
run_gateway() { # NUMBER
    LD_PRELOAD=$BUILD/cut-link.so CUT_FILE=$DIR/$1.cut CUT_HOST=${NET}250 CUT_EXCEPT=18140 \
        ASAN_OPTIONS=${ASAN_OPTIONS:-detect_leaks=0}:verify_asan_link_order=0 \
        "$BUILD/irisstall-gateway" -c "$DIR/$1.yaml" >>"$DIR/$1.log" 2>&1 {reports}>&- {orders}<&- &
    local pid=$!
    echo "$pid" >"$DIR/$1.pid"
    echo "started $1 $pid" >&"$reports"
    wait "$pid"
    local status=$?
    rm -f "$DIR/$1.pid"
    echo "ended $1 $status" >&"$reports"
}

carry_out() { # ORDER NUMBER DETAIL
    local pid
    echo "$(date +%s.%N) $*" >>"$DIR/orders.log"
    case $1 in
    start) run_gateway "$2" 2>/dev/null & ;;
    signal)
        pid=$(cat "$DIR/$2.pid" 2>/dev/null) && kill "-$3" "$pid" 2>/dev/null
        ;;
    settings) settings "$2" "$3" ;;
    cut) printf %s "$3" >"$DIR/$2.cut" ;;
    esac
}

kill_gateways() {
    local file pid
    for file in "$DIR"/*.pid; do
        pid=$(cat "$file" 2>/dev/null) && kill -KILL "$pid" 2>/dev/null
    done
}

clean_up() {
    trap - EXIT INT TERM HUP
    [ -n "${watchdog:-}" ] && kill "$watchdog" 2>/dev/null
    kill "$site" 2>/dev/null
    kill_gateways
    wait 2>/dev/null
}

# Ends all when the time is over, or when this script was killed and cannot clean up.
watch_over() {
    local left=$((DURATION + OVERTIME_S))
    while [ "$left" -gt 0 ] && kill -0 $$ 2>/dev/null; do
        sleep 1
        left=$((left - 1))
    done
    kill "$site" 2>/dev/null
    kill_gateways
}

for ((i = 1; i <= INSTANCES; i++)); do settings "$i" 0; done
echo "soak: seed=$SEED duration=${DURATION}s instances=$INSTANCES slack=$SLACK net=${NET}0 logs=$DIR"
mkfifo "$DIR/reports" "$DIR/orders" || exit 2
exec {reports}<>"$DIR/reports"
"$BUILD/fake-site" -s "$SEED" -d "$DURATION" -n "$INSTANCES" -a "$NET" -x "$SLACK" ${POISON:+-q "$POISON"} ${INTERFERENCE:+-i} ${EARLIER:+-e} ${SAYS:+-w} ${ROLLOUTS:+-o} \
    <"$DIR/reports" >"$DIR/orders" 2>"$DIR/site.out" {reports}>&- &
site=$!
trap 'clean_up' EXIT
trap 'clean_up; exit 130' INT TERM HUP
exec {orders}<"$DIR/orders"
watch_over {reports}>&- {orders}<&- >/dev/null 2>&1 &
watchdog=$!
while read -r order number detail <&"$orders"; do
    carry_out "$order" "$number" "$detail"
done
wait "$site"
status=$?
# Keys of client accounts go to no log.
if grep -l 'soak-key-' "$DIR"/*.log >"$DIR/leaks" 2>/dev/null; then
    echo "a key stands in a log: $(head -1 "$DIR/leaks")" >>"$DIR/site.out"
    [ "$status" -ne 0 ] || status=1
fi
if [ "$status" -ne 0 ]; then
    cat "$DIR/site.out"
    echo "soak: seed=$SEED duration=$DURATION instances=$INSTANCES: BROKEN ($status); logs: $DIR"
else
    grep -vE '^ +[0-9.]+ [a-z-]+ target=' "$DIR/site.out"
    [ -n "${KEEP:-}" ] || remove=1
fi
clean_up
[ -n "${remove:-}" ] && rm -rf "$DIR"
exit "$status"

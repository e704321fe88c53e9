#!/usr/bin/env bash
# Runs nine gateways over three regions against the stand-ins of the users' platform, puts them
# under load, shows the table, and ends by itself with the report.
set -eu
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
work=$(mktemp -d)
pids=()
cleanup() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait
    rm -rf "$work"
}
trap cleanup EXIT

places="toledo-hall:erie-west alpena-hall:huron-north gary-hall:michigan-south
sandusky-hall:erie-west sarnia-hall:huron-north racine-hall:michigan-south"
homes=(toledo-hall alpena-hall gary-hall sandusky-hall sarnia-hall racine-hall toledo-hall alpena-hall gary-hall)

settings() { # NUMBER
    local ip="127.0.1.$1"
    cat <<YAML
name: gateway-$1
place: ${homes[$(($1 - 1))]}
callers: $ip:18141
readiness: $ip:18142
directory: $ip:18143
peer: $ip:18144
admin: $ip:18145
store: 127.0.0.1:18140
seeds: ["127.0.1.1:18144"]
places:
$(for entry in $places; do printf '  - {place: %s, region: %s}\n' "${entry%%:*}" "${entry##*:}"; done)
link_mbps: 200
cpu_cores: 0.5
directory_ttl_s: 2
grace_s: 6
retry_ratio: 0.2
retry_constant: 58
retry_window_s: 10
YAML
}

"$BUILD/fake-site" -n 9 -r "${RATE:-300}" -d "${SECONDS_OF_LOAD:-10}" &
site=$!
pids+=("$site")
for number in 1 2 3 4 5 6 7 8 9; do
    settings "$number" >"$work/$number.yaml"
    "$BUILD/irisstall-gateway" -c "$work/$number.yaml" >"$work/$number.log" &
    pids+=("$!")
done
sleep 6
"$BUILD/irisctl" --instance 127.0.1.1:18145 table show
"$BUILD/irisctl" --instance 127.0.1.2:18145 status
"$BUILD/irisctl" --instance 127.0.1.1:18145 explain tally.example /counts/1 0-7 | head -4
status=0
wait "$site" || status=$?
echo "log lines: $(cat "$work"/*.log | wc -l)"
exit "$status"

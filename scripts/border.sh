#!/usr/bin/env bash
# Holds the shape of the gateway. Prints each line that breaks a rule; exit 1 if any:
#  - names of the users' platform (headers, kinds, fields, paths) stand in platform/, standin/,
#    deploy/, the tests and the documents only, and platform/ stays small;
#  - the decisions (gateway/policy/) include nothing of connections, the request path or libuv;
#  - the gateway says data hall and backend server, but for names that others read.
set -u
cd "${1:-$(dirname "$0")/..}" || exit 2
NAMES='Attempt-Id|Affinity-Key|Deadline-Ms|Expect-Instance|Not-Executed|Response-Signature'
NAMES="$NAMES|Server-Load|Server-Limit|Server-Leaving|Instance-Id|Cold-Ms|coldRemainingMs|callSeq|pathPrefix|routeType"
NAMES="$NAMES|trafficSplit|allowedRegions|targetLatencyMs|maxAttempts|timeoutMs|maxConns"
NAMES="$NAMES|coldStartS|coldPerS|healthPath|maxHeaderBytes|headerTimeoutMs|idleTimeoutMs"
NAMES="$NAMES|Credential|Tenant|apiKeys|ratePerS|evacuations|v1/resolve|v1/ready|waitMs|ttlS|seedNodes|internalPorts"
found=$(grep -rnE "$NAMES" --include='*.c' --include='*.h' --include='*.build' \
    --exclude-dir=platform --exclude-dir=standin --exclude-dir=test --exclude-dir=build \
    --exclude-dir=build-san --exclude-dir=target . || true)
lines=$(cat platform/*.c platform/*.h | wc -l)
if [ "$lines" -gt 1500 ]; then
    echo "platform/ has $lines lines, more than 1500"
    exit 1
fi
broken=0
report() { # TITLE LINES
    [ -n "$2" ] || return 0
    echo "$1:"
    echo "$2"
    broken=1
}
report "names of the platform outside platform/" "$found"
report "decisions that include more than state" "$(grep -rnE \
    '#include ["<](wire/|peer/|platform/|gateway/path/|uv\.h)' gateway/policy || true)"
# Kept for their readers: metric names and labels, and the text of the admin pages.
KEPT='irisstall_upstreams|"Upstreams |"UPSTREAMS"|UPSTREAMS are|_upstream"|upstream_failed|"zone closed"'
report "words that are not the project's" "$(grep -rnwiE 'zones?|upstreams?' gateway --include='*.[ch]' \
    | grep -vE "$KEPT" || true)"
exit "$broken"

#!/usr/bin/env bash
# The names of the users' platform (headers, kinds, fields, paths) stand in platform/, standin/,
# deploy/, the tests and the documents only. Prints each line elsewhere that has one; exit 1 if any.
set -u
cd "${1:-$(dirname "$0")/..}" || exit 2
NAMES='Attempt-Id|Affinity-Key|Deadline-Ms|Expect-Instance|Not-Executed|Response-Signature'
NAMES="$NAMES|Server-Load|Instance-Id|Cold-Ms|coldRemainingMs|callSeq|pathPrefix|routeType"
NAMES="$NAMES|trafficSplit|allowedRegions|targetLatencyMs|maxAttempts|timeoutMs|maxConns"
NAMES="$NAMES|coldStartS|coldPerS|healthPath|maxHeaderBytes|headerTimeoutMs|idleTimeoutMs"
NAMES="$NAMES|evacuations|v1/resolve|v1/ready|waitMs|ttlS|seedNodes|internalPorts"
found=$(grep -rnE "$NAMES" --include='*.c' --include='*.h' --include='*.build' \
    --exclude-dir=platform --exclude-dir=standin --exclude-dir=test --exclude-dir=build \
    --exclude-dir=build-san --exclude-dir=target . || true)
lines=$(cat platform/*.c platform/*.h | wc -l)
if [ "$lines" -gt 1500 ]; then
    echo "platform/ has $lines lines, more than 1500"
    exit 1
fi
[ -z "$found" ] && exit 0
echo "names of the platform outside platform/:"
echo "$found"
exit 1

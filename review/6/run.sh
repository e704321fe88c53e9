#!/usr/bin/env bash
# Case 6; see claim.txt. TROUBLE=0: no upstream goes down. Needs the build of the deploy file.
set -u
cd "$(dirname "$0")" || exit 2
exec python3 -B case.py 2>/dev/null

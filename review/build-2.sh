#!/usr/bin/env bash
# Prepares the cases of the second review. The stand-ins that their scripts start are written in
# Python (lab.py and case.py), use its standard library only and need no compiling: this checks that
# they load and that the build of the deploy file is there.
set -eu
cd "$(dirname "$0")/.."
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
for file in review/lab.py review/4/case.py review/6/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
test -x target/irisstall-gateway || { echo "build the deploy file first" >&2; exit 1; }

#!/usr/bin/env bash
# The border check holds on the tree, and notices a name that is put in.
set -eu
cd "$(dirname "$0")/.."
scripts/border.sh .
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
cp -r platform gateway "$copy"
printf 'static const char *const field = "Attempt-Id";\n' >>"$copy/gateway/policy/choice.c"
if scripts/border.sh "$copy" >/dev/null; then
    echo "the border check does not notice a name"
    exit 1
fi
echo "border: held"

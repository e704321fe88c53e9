#!/usr/bin/env bash
# The border check holds on the tree, and notices a name that is put in.
set -eu
cd "$(dirname "$0")/.."
scripts/border.sh .
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
cp -r platform gateway "$copy"
planted() { # FILE TEXT
    cp "$copy/$1" "$copy/kept"
    printf '%s\n' "$2" >>"$copy/$1"
    if scripts/border.sh "$copy" >/dev/null; then
        echo "the border check does not notice: $2"
        exit 1
    fi
    mv "$copy/kept" "$copy/$1"
}
planted gateway/policy/choice.c 'static const char *const field = "Attempt-Id";'
planted gateway/policy/slow.h '#include "wire/client.h"'
planted gateway/policy/slow.c '#include <uv.h>'
planted gateway/state/backend.h '/* The zone of an upstream. */'
scripts/border.sh "$copy"
echo "border: held"

#!/usr/bin/env bash
# Format and lint of every source file.
set -u
cd "$(dirname "$0")/.." || exit 2
mapfile -t files < <(git ls-files '*.c' '*.h' | grep -v 'pb-c')
clang-format --dry-run --Werror "${files[@]}" || exit 1
mapfile -t sources < <(git ls-files '*.c' | grep -v 'pb-c')
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 6 clang-tidy -p build --quiet --warnings-as-errors='*' 2>/dev/null || exit 1
echo "format and lint: clean"

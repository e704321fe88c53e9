#!/usr/bin/env bash
# Measures changes of the gateway's policies against a base: plays days of the users' sites with the
# users' bench on each variant of the code, with the same seeds, and prints the differences.
#
#   FLEETBENCH=PROGRAM scripts/experiment.sh [options] SITE.toml...
#     -b REV           the base (default: HEAD)
#     -v NAME[,NAME]   variants of the base that bench/variants.tsv lists; "all" takes every one
#     -r NAME=REV      another commit as a variant; may be repeated
#     -t NAME=DIR      the files of another checkout, as they are, as a variant; may be repeated
#     -d DAY[,DAY]     days (default: scale-1,trouble-2,scale-2)
#     -s SEED[,SEED]   seeds; 0 is the day's own (default: 0,1,2)
#     -j JOBS          plays at once (default: half of the processors)
#     -o FILE          where the table goes (default: build/experiment.tsv)
#     -w TEXT          why, for the bench's journal
#     -J DIR           where the bench's journal entries are copied to (default: journal)
#
# A play charges no processor time, so that the same code and seed give the same figures. The table
# has a line a play; scripts/experiment-report.sh prints it by variant, and draws it. This needs the
# users' bench, so it does not run in CI.
set -eu
cd "$(dirname "$0")/.."
top=$PWD
base=HEAD
names=
revs=()
trees=()
days=scale-1,trouble-2,scale-2
seeds=0,1,2
jobs=$(($(nproc) / 2))
out=build/experiment.tsv
why="experiment"
journal=journal
while getopts b:v:r:t:d:s:j:o:w:J: option; do
    case $option in
    b) base=$OPTARG ;;
    v) names=$OPTARG ;;
    r) revs+=("$OPTARG") ;;
    t) trees+=("$OPTARG") ;;
    d) days=$OPTARG ;;
    s) seeds=$OPTARG ;;
    j) jobs=$OPTARG ;;
    o) out=$OPTARG ;;
    w) why=$OPTARG ;;
    J) journal=$OPTARG ;;
    *) exit 2 ;;
    esac
done
shift $((OPTIND - 1))
[ $# -gt 0 ] || { echo "experiment: no site named" >&2; exit 2; }
: "${FLEETBENCH:?experiment: FLEETBENCH does not name the bench}"
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
if [ "$names" = all ]; then
    names=$(awk -F'\t' '!/^#/ {print $1}' bench/variants.tsv | uniq | paste -sd,)
fi

checkout() { # NAME REV
    git clone -q "$top" "$dir/$1"
    git -C "$dir/$1" checkout -q "$(git rev-parse "$2")"
    rm -f "$dir/$1"/journal/*.json
}

# Applies the edits of a variant; each must change its file.
edit() { # NAME
    local name file script
    while IFS=$'\t' read -r name file script; do
        [ "$name" = "$1" ] || continue
        sed -i -E "$script" "$dir/$1/$file"
        git -C "$dir/$1" diff --quiet -- "$file" || continue
        echo "experiment: variant $1 changes nothing in $file" >&2
        exit 2
    done <bench/variants.tsv
}

build() { # NAME
    (cd "$dir/$1" && "$FLEETBENCH" build >"$dir/$1.build" 2>&1) || { cat "$dir/$1.build" >&2; exit 2; }
}

variants=(base)
checkout base "$base"
for name in ${names//,/ }; do
    checkout "$name" "$base"
    edit "$name"
    variants+=("$name")
done
for rev in "${revs[@]}"; do
    checkout "${rev%%=*}" "${rev#*=}"
    variants+=("${rev%%=*}")
done
for tree in "${trees[@]}"; do
    checkout "${tree%%=*}" "$base"
    (cd "${tree#*=}" && git ls-files -co --exclude-standard -z | grep -zv ^journal/ |
        tar --null -T - --ignore-failed-read -cf - 2>/dev/null) | tar -xf - -C "$dir/${tree%%=*}"
    variants+=("${tree%%=*}")
done
for name in "${variants[@]}"; do
    build "$name"
done

play() { # VARIANT SITE DAY SEED
    local report
    report=$(mktemp "$dir/play.XXXXXX")
    local seed=()
    [ "$4" = 0 ] || seed=(--seed "$4")
    (cd "$dir/$1" && "$FLEETBENCH" run "$2" "$3" "${seed[@]}" --no-cpu --report "$report" \
        --why "$why; variant $1" >"$report.out" 2>&1) || true
    if [ -s "$report" ]; then
        jq -r --arg variant "$1" --arg site "$(basename "$2" .toml)" --arg day "$3" --arg seed "$4" '
            [$variant, $site, $day, $seed, .G, .all.in_aim / .all.n, .all.late / .all.n, .refused,
             .failed, ([.prices[][2]] | add), (.breaks | to_entries | map(.key) | join(",") | if . == "" then "-" else . end),
             (.classes | map(.name + "=" + (.worth | tostring)) | join(",")),
             (.zones | map(.name + "=" + (.worth | tostring)) | join(","))] | @tsv' "$report"
    else
        tail -3 "$report.out" >&2
        printf '%s\t%s\t%s\t%s\tnan\n' "$1" "$(basename "$2" .toml)" "$3" "$4"
    fi
    rm -f "$report" "$report.out"
}
export -f play
export FLEETBENCH dir why

mkdir -p "$(dirname "$out")"
for site in "$@"; do
    site=$(realpath "$site")
    for day in ${days//,/ }; do
        for seed in ${seeds//,/ }; do
            for name in "${variants[@]}"; do
                printf '%s\0%s\0%s\0%s\0' "$name" "$site" "$day" "$seed"
            done
        done
    done
done | xargs -0 -n 4 -P "$jobs" bash -c 'play "$@"' play >"$out"

for name in "${variants[@]}"; do
    cp -n "$dir/$name"/journal/*.json "$journal/" 2>/dev/null || true
    cp -rn "$dir/$name"/journal/blobs "$journal/" 2>/dev/null || true
done
scripts/experiment-report.sh "$out"

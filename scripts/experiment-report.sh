#!/usr/bin/env bash
# Prints the table that scripts/experiment.sh wrote, as Markdown: for each site, each variant's mean
# worth, its difference to the base over the same days and seeds with the standard error of that
# mean, and the differences of the other figures. With -p FILE it draws the differences as SVG, with
# -c it lists each class and data hall too.
#   scripts/experiment-report.sh [-p FILE.svg] [-c] TABLE.tsv...
set -eu
plot=
detail=0
while getopts p:c option; do
    case $option in
    p) plot=$OPTARG ;;
    c) detail=1 ;;
    *) exit 2 ;;
    esac
done
shift $((OPTIND - 1))

awk -F'\t' -v plot="$plot" -v detail="$detail" '
    function add_parts(list, what,    parts, n, i, pair) {
        n = split(list, parts, ",")
        for (i = 1; i <= n; i++) {
            split(parts[i], pair, "=")
            value[what, pair[1], key] = pair[2]
            if (!((what, $2, pair[1]) in seen)) { seen[what, $2, pair[1]]; names[what, $2, ++count[what, $2]] = pair[1] }
        }
    }
    {
        key = $1 SUBSEP $2 SUBSEP $3 SUBSEP $4
        if (!($2 in sites)) { sites[$2] = ++site_count; site[site_count] = $2 }
        if (!($1 in variants)) { variants[$1] = ++variant_count; variant[variant_count] = $1 }
        plays[$1, $2, ++play_count[$1, $2]] = $3 SUBSEP $4
        if ($5 == "nan") { lost[$1, $2]++; next }
        played[key] = 1
        for (i = 5; i <= 10; i++) figure[key, i] = $i
        if ($11 != "-") broken[$1, $2]++
        add_parts($12, "class"); add_parts($13, "hall")
    }
    # Mean and standard error of the paired differences of one figure.
    function compare(v, s, i,    k, n, a, b, d, sum, squares, total) {
        n = sum = squares = total = 0
        for (k = 1; k <= play_count[v, s]; k++) {
            a = v SUBSEP s SUBSEP plays[v, s, k]; b = "base" SUBSEP s SUBSEP plays[v, s, k]
            if (!(a in played) || !(b in played)) continue
            d = figure[a, i] - figure[b, i]
            n++; sum += d; squares += d * d; total += figure[a, i]
        }
        mean = n ? total / n : 0; diff = n ? sum / n : 0; pairs = n
        error = n > 1 ? sqrt(((squares - sum * sum / n) / (n - 1)) / n) : 0
        if (error != error) error = 0
    }
    function compare_part(v, s, what, name,    k, n, a, b, total, sum) {
        n = sum = total = 0
        for (k = 1; k <= play_count[v, s]; k++) {
            a = v SUBSEP s SUBSEP plays[v, s, k]; b = "base" SUBSEP s SUBSEP plays[v, s, k]
            if (!(a in played) || !(b in played)) continue
            n++; total += value[what, name, a]; sum += value[what, name, a] - value[what, name, b]
        }
        mean = n ? total / n : 0; diff = n ? sum / n : 0
    }
    END {
        for (s = 1; s <= site_count; s++) {
            printf "\n%s\n\n| variant | plays | worth | difference | ± | in aim | late | refused | failed | prices | broken |\n|---|---|---|---|---|---|---|---|---|---|---|\n", site[s]
            for (v = 1; v <= variant_count; v++) {
                compare(variant[v], site[s], 5)
                lines = sprintf("| %s | %d | %.3f | %+.3f | %.3f |", variant[v], pairs, mean, diff, error)
                shown[v, s] = diff; spread[v, s] = error
                for (i = 6; i <= 10; i++) { compare(variant[v], site[s], i); lines = lines sprintf(v == 1 ? " %.3f |" : " %.3f |", mean) }
                printf "%s %d%s |\n", lines, broken[variant[v], site[s]], lost[variant[v], site[s]] ? " (" lost[variant[v], site[s]] " not played)" : ""
            }
            if (!detail) continue
            for (w = 1; w <= 2; w++) {
                what = w == 1 ? "class" : "hall"
                printf "\n| %s |", what
                for (i = 1; i <= count[what, site[s]]; i++) printf " %s |", names[what, site[s], i]
                printf "\n|---|"
                for (i = 1; i <= count[what, site[s]]; i++) printf "---|"
                printf "\n"
                for (v = 1; v <= variant_count; v++) {
                    printf "| %s |", variant[v]
                    for (i = 1; i <= count[what, site[s]]; i++) { compare_part(variant[v], site[s], what, names[what, site[s], i]); printf " %.3f (%+.3f) |", mean, diff }
                    printf "\n"
                }
            }
        }
        if (plot == "") exit
        row = 16; left = 190; width = 760; middle = left + (width - left) / 2; scale = (width - left - 20) / 2
        for (s = 1; s <= site_count; s++) for (v = 2; v <= variant_count; v++) { d = shown[v, s] < 0 ? -shown[v, s] : shown[v, s]; if (d > top) top = d }
        if (top == 0) top = 1
        height = 40 + site_count * (variant_count * row + 14)
        printf "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" font-size=\"11\">\n<rect width=\"%d\" height=\"%d\" fill=\"white\"/>\n<text x=\"%d\" y=\"16\">difference of worth to the base, with its standard error; the longest bar is %.3f</text>\n", width, height, width, height, left, top > plot
        y = 36
        for (s = 1; s <= site_count; s++) {
            printf "<text x=\"6\" y=\"%d\" font-weight=\"bold\">%s</text>\n", y, site[s] > plot
            for (v = 2; v <= variant_count; v++) {
                y += row; x = shown[v, s] / top * scale; e = spread[v, s] / top * scale
                printf "<text x=\"%d\" y=\"%d\" text-anchor=\"end\">%s</text><rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"10\" fill=\"%s\"/><path d=\"M%.1f %d H%.1f\" stroke=\"black\"/>\n", left - 8, y, variant[v], x < 0 ? middle + x : middle, y - 9, x < 0 ? -x : x, x < 0 ? "#c0392b" : "#2c6fbb", middle + x - e, y - 4, middle + x + e > plot
            }
            y += row + 14
        }
        printf "<path d=\"M%d 22 V%d\" stroke=\"#888\"/>\n</svg>\n", middle, height - 10 > plot
    }' "$@"

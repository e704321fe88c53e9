#!/usr/bin/env bash
# Draws one metric of a slopes file against the number of nodes, as SVG on standard output.
#   scripts/plot.sh docs/capacity/slopes.tsv peer_bytes_sent 'control bytes sent, B/s a node'
set -eu
awk -F'\t' -v metric="$2" -v title="$3" '
    $3 == "nodes" { nodes[$1, $2] = $4 }
    $3 == metric { n++; s[n] = $1; size[n] = $2; y[n] = $4; if ($4 > top) top = $4 }
    END {
        w = 560; h = 320; l = 70; b = 40; right = 80
        printf "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">\n", w, h
        printf "<rect width=\"%d\" height=\"%d\" fill=\"white\"/><text x=\"%d\" y=\"18\">%s</text>\n", w, h, l, title
        printf "<path d=\"M%d 30 V%d H%d\" fill=\"none\" stroke=\"black\"/>\n", l, h - b, w - 20
        for (i = 0; i <= 4; i++) {
            gy = h - b - i / 4 * (h - b - 40)
            printf "<text x=\"%d\" y=\"%.1f\" text-anchor=\"end\">%.4g</text><path d=\"M%d %.1f H%d\" stroke=\"#ddd\"/>\n", l - 6, gy + 4, top * i / 4, l, gy, w - 20
            gx = l + i / 4 * (w - l - 30)
            printf "<text x=\"%.1f\" y=\"%d\" text-anchor=\"middle\">%d</text>\n", gx, h - b + 16, right * i / 4
        }
        printf "<text x=\"%d\" y=\"%d\" text-anchor=\"middle\">nodes</text>\n", (w + l) / 2, h - 8
        colour["region_size"] = "#c0392b"; colour["regions"] = "#2c6fbb"
        label["region_size"] = "one region grows"; label["regions"] = "more regions of six"
        for (i = 1; i <= n; i++) {
            px = l + nodes[s[i], size[i]] / right * (w - l - 30); py = h - b - y[i] / top * (h - b - 40)
            printf "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"4\" fill=\"%s\"/>\n", px, py, colour[s[i]]
            if (last[s[i]] != "") printf "<path d=\"M%s L%.1f %.1f\" stroke=\"%s\"/>\n", last[s[i]], px, py, colour[s[i]]
            last[s[i]] = sprintf("%.1f %.1f", px, py)
        }
        k = 0
        for (name in label) { printf "<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>\n", l + 14, 44 + 16 * k++, colour[name], label[name] }
        print "</svg>"
    }' "$1"

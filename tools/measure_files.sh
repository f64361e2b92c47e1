# Measures the tail latency of files while two of their six targets are slowed,
# at a load that the other four can serve alone.

FILES_PERCENT=45 # at 70%, the other four would need 105% of their capacity

measure_files() {
    data=$(mktemp -d)
    begin_page files.md "Tail latency of files while targets are slowed" files
    TAIL_PERCENT=$FILES_PERCENT
    text "As in [tail.md](tail.md), at $FILES_PERCENT% of what the targets" \
        "bear: the four of six targets of files that stay fast then have" \
        "67% to bear. Groups and columns as there."
    table deployment policies slowed group answered failed "p50 calm" \
        "p50 slowed" "p99 calm" "p99 calm again" "p99 slowed" \
        "ratio calm again" "p99 ratio" judge
    for deployment in $deployments; do
        (set_deployment "$deployment"; run_tail default "")
        (set_deployment "$deployment"
         run_tail "choice round-robin" "  choice: round-robin")
        awk -v d="$deployment" '$1 == d && $3 == "files" { print $2, $4 }' \
            "$data/ratios.txt" > "$data/$deployment.txt"
        plot "files-$deployment.svg" "
set style data histograms
set style fill solid 0.6
set yrange [0:*]
set ylabel 'p99 slowed / calm'
set title '$deployment: files, 2 of 6 targets slowed tenfold'
plot '$data/$deployment.txt' using 2:xtic(1) notitle, \
     1.5 with lines title 'aim'"
        text "![](files-$deployment.svg)"
    done
    rm -rf "$data"
}

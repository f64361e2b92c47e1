# Measures the imbalance of requests across targets, and owner changes without
# any fault.

SPREAD_S=12
SPREAD_PERCENT=40
SPREAD_SHIFT_S=6

# spread_of SERVICE: prints the number of targets on which requests of the
# service took effect, the mean, lowest and highest number of these requests on
# one of these targets, and the ratio of highest to mean.
spread_of() {
    events | awk -F'\t' -v service="$1" '$3 == service { count[$2]++; all++ }
        END {
            least = all
            for (target in count) {
                n++
                most = count[target] > most ? count[target] : most
                least = count[target] < least ? count[target] : least
            }
            mean = n > 0 ? all / n : 0
            printf "%d\t%.1f\t%d\t%d\t%.2f\n", n, mean, least, most,
                   (mean > 0 ? most / mean : 0)
        }'
}

run_spread() {
    local zipf=$1 changes service n mean least most share
    rate_at "$SPREAD_PERCENT"
    open_deployment
    changes=$(metric_sum rattanshed_owner_changes_total)
    start_load load "$SEED" "$rate" "$SPREAD_S" "$mix" --zipf "$zipf" \
        --shift-at "$SPREAD_SHIFT_S"
    wait_load load
    changes=$(($(metric_sum rattanshed_owner_changes_total) - changes))
    for service in "${services[@]}"; do
        IFS=$'\t' read -r n mean least most share < <(spread_of "$service")
        row "$deployment" "$zipf" "$service" "$n" "$mean" "$least" "$most" \
            "$share"
        events | awk -F'\t' -v s="$service" '$3 == s { c[$2]++ }
            END { for (t in c) print t, c[t] }' | sort \
            >> "$data/spread-$deployment-$zipf.txt"
    done
    echo "| $deployment | $zipf | $(totals load sent) |" \
         "$(totals load answered) | $(totals load not-run) | $changes |" \
         "$(owner_moves) | $(judge_result load) |" >> "$data/churn.txt"
}

measure_spread() {
    local zipf
    data=$(mktemp -d)
    begin_page spread.md "Imbalance across targets, churn without a fault" \
        spread
    text "$SPREAD_S s at $SPREAD_PERCENT% of what the targets bear; after" \
        "$SPREAD_SHIFT_S s other keys are the hot ones. \`zipf\` is the" \
        "exponent of the keys' popularity, of 10,000 keys. Requests a target:"
    table deployment zipf service targets mean least most most/mean
    for deployment in $deployments; do
        for zipf in 0.9 0.3; do
            (set_deployment "$deployment"; run_spread "$zipf")
        done
        plot "spread-$deployment.svg" "
set style data histograms
set style fill solid 0.6
set xtics rotate by -60 font ',8'
set ylabel 'requests'
set title '$deployment: requests a target'
plot '$data/spread-$deployment-0.9.txt' using 2:xtic(1) title 'zipf 0.9', \
     '$data/spread-$deployment-0.3.txt' using 2 title 'zipf 0.3'"
        text "![]($(basename spread-"$deployment".svg))"
    done
    text "The same runs, ownership. Owner changes by the processes' metric," \
        "and by what the targets ran:"
    table deployment zipf sent answered "not run" "owner changes" \
        "seen at targets" judge
    cat "$data/churn.txt" >> "$page"
    rm -rf "$data"
}

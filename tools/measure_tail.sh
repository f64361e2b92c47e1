# Measures the tail latency while some targets are ten times slower.

TAIL_S=10
TAIL_PERCENT=70
TAIL_SETTLE_S=3
TAIL_ZIPF=0.3
SLOW_FACTOR=10
SLOW_KEYED=2
SLOW_FILES=2

# targets_of_keys: prints service, key and target of the last request for each
# key that took effect. Leaves out requests without a slice, such as of files.
targets_of_keys() {
    cat "$work"/records/*.jsonl |
        jq -r 'select(.effect and .slice != "") |
            [.wall_end_us, .service, .key, .target] | @tsv' | sort -n |
        awk -F'\t' '{ last[$2 "\t" $3] = $4 }
            END { for (key in last) print key "\t" last[key] }'
}

# split_load LOAD: writes the latencies in ms of the answered requests of each
# group to $work/LOAD.GROUP, and the outcomes of the others to
# $work/LOAD.GROUP.failed. Groups: keys of targets of the first service that
# are not slowed (healthy) and that are (slowed), keys of the second service,
# and files. Leaves out keys of the first service without a known target.
split_load() {
    local group
    for group in healthy slowed second files; do
        : > "$work/$1.$group"
        : > "$work/$1.$group.failed"
    done
    jq -r '[.service, .key, .sent_us, .end_us, .outcome] | @tsv' \
        "$work/$1.jsonl" |
        awk -F'\t' -v owners="$work/owners.tsv" -v slow="$slow_names" \
            -v out="$work/$1" -v first="${services[0]}" \
            -v files="${services[2]}" '
        BEGIN {
            n = split(slow, names, " ")
            for (i = 1; i <= n; i++) is_slow[names[i]] = 1
            while ((getline line < owners) > 0) {
                split(line, field, "\t")
                owner[field[1], field[2]] = field[3]
            }
        }
        {
            group = "second"
            if ($1 == files) group = "files"
            else if ($1 == first) {
                if (!(($1, $2) in owner)) next
                group = owner[$1, $2] in is_slow ? "slowed" : "healthy"
            }
            if ($5 == "answered") print ($4 - $3) / 1000 > (out "." group)
            else print $5 > (out "." group ".failed")
        }'
}

# first_targets SERVICE COUNT: prints the names of the first targets of a
# service, which is given by its index.
first_targets() {
    printf '%s\n' "${targets[@]}" | grep "^${services[$1]}-" | head -"$2" |
        tr '\n' ' '
}

tail_row() {
    local group calm again slow
    for group in healthy slowed second files; do
        calm=$(quantile 0.99 < "$work/calm.$group")
        again=$(quantile 0.99 < "$work/again.$group")
        slow=$(quantile 0.99 < "$work/slow.$group")
        row "$deployment" "$policy_name" "$1" "$group" \
            "$(wc -l < "$work/slow.$group")" \
            "$(wc -l < "$work/slow.$group.failed")" \
            "$(quantile 0.5 < "$work/calm.$group")" \
            "$(quantile 0.5 < "$work/slow.$group")" \
            "$calm" "$again" "$slow" "$(ratio "$again" "$calm")" \
            "$(ratio "$slow" "$calm")" "$2"
        echo "$deployment ${policy_name// /_} $group $(ratio "$slow" "$calm")" \
            >> "$data/ratios.txt"
    done
}

run_tail() {
    local name judge_text
    policy_name=$1
    policies=$2
    rate_at "$TAIL_PERCENT"
    open_deployment
    sleep 3 # the targets' warm-up time (--cold-ms 3000)
    start_load calm "$SEED" "$rate" "$TAIL_S" "$mix" --zipf "$TAIL_ZIPF"
    wait_load calm
    targets_of_keys > "$work/owners.tsv"
    start_load again "$SEED" "$rate" "$TAIL_S" "$mix" --zipf "$TAIL_ZIPF"
    wait_load again
    slow_names="$(first_targets 0 "$SLOW_KEYED") $(first_targets 2 "$SLOW_FILES")"
    for name in $slow_names; do
        set_target_faults "$name" "{\"slow_factor\":$SLOW_FACTOR}"
    done
    sleep "$TAIL_SETTLE_S"
    start_load slow "$SEED" "$rate" "$TAIL_S" "$mix" --zipf "$TAIL_ZIPF"
    wait_load slow
    split_load calm
    split_load again
    split_load slow
    judge_text=$(judge_result calm again slow)
    tail_row "$SLOW_KEYED keyed, $SLOW_FILES files" "$judge_text"
}

measure_tail() {
    local name
    data=$(mktemp -d)
    begin_page tail.md "Tail latency while targets are slowed" tail
    text "$TAIL_S s at $TAIL_PERCENT% of what the targets bear (zipf" \
        "$TAIL_ZIPF) unslowed, then the same traffic with $SLOW_KEYED" \
        "targets of the first service and $SLOW_FILES of files slowed" \
        "${SLOW_FACTOR}fold. Groups: keys of \`healthy\` and of \`slowed\`" \
        "targets of the first service, by their owner in the unslowed run," \
        "the \`second\` service, and \`files\`. Latencies in ms, of what was" \
        "answered; failed: all else, refusals included, in the slowed run." \
        "Calm again: a second unslowed run; its ratio is what chance gives."
    table deployment policies slowed group answered failed "p50 calm" \
        "p50 slowed" "p99 calm" "p99 calm again" "p99 slowed" \
        "ratio calm again" "p99 ratio" judge
    for deployment in $deployments; do
        (set_deployment "$deployment"; run_tail default "")
        (set_deployment "$deployment"
         run_tail "admission none" "  admission: none")
        (set_deployment "$deployment"
         run_tail "choice round-robin" "  choice: round-robin")
        plot "tail-$deployment.svg" "
set style data histograms
set style fill solid 0.6
set logscale y
set ylabel 'p99 slowed / calm'
set xtics rotate by -20 font ',9'
set title '$deployment: p99 with slowed targets over p99 without'
plot $(for group in healthy slowed files; do
    awk -v d="$deployment" -v g="$group" '$1 == d {
        if ($3 == g) print $2, $4 }' "$data/ratios.txt" \
        > "$data/$deployment-$group.txt"
    printf "'%s' using 2:xtic(1) title '%s', " \
        "$data/$deployment-$group.txt" "$group"
done) 1 with lines title 'no change'"
        text "![](tail-$deployment.svg)"
    done
    rm -rf "$data"
}

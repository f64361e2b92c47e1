# Measures goodput and refusals when a third of the targets restarts cold under
# nearly full load.

COLD_S=16
COLD_PERCENT=90
COLD_AT_S=5
COLD_ZIPF=0.3

# target_states NAME...: prints the state of each target as JSON, one a line.
target_states() {
    local name
    for name in "$@"; do
        curl -fsS -m 2 "http://127.0.0.1:$(vm_field "$name" port)/standin"
        echo
    done
}

# goodput FROM UNTIL: prints the mean number of answers a second between these
# seconds of the load.
goodput() {
    jq --argjson from "$1" --argjson until "$2" '[.timeline[] |
        select(.at_ms >= $from * 1000 and .at_ms < $until * 1000) |
        .read.answered + .post.answered + .file.answered] |
        add / ($until - $from) | floor' "$work/load.json"
}

# worst_second FROM: prints the fewest answers in a second of the load, from
# second FROM until second COLD_S.
worst_second() {
    jq --argjson from "$1" --argjson last "$COLD_S" '
        [.timeline[] | select(.at_ms >= $from * 1000 and
            .at_ms < $last * 1000) |
         {second: (.at_ms / 1000 | floor),
          count: (.read.answered + .post.answered + .file.answered)}] |
        group_by(.second) | map(map(.count) | add) | min' "$work/load.json"
}

run_cold() {
    local name policy_name=$1 changes unserved slice
    local -a restarted=()
    policies=$2
    rate_at "$COLD_PERCENT"
    open_deployment
    sleep 3 # the targets' warm-up time (--cold-ms 3000)
    for ((i = 0; i < ${#targets[@]}; i += 3)); do
        restarted+=("${targets[$i]}")
    done
    changes=$(metric_sum rattanshed_owner_changes_total)
    start_load load "$SEED" "$rate" "$COLD_S" "$mix" --zipf "$COLD_ZIPF"
    sleep "$COLD_AT_S"
    for name in "${restarted[@]}"; do
        kill_process "$name"
        start_target "$name"
    done
    wait_load load
    target_states "${restarted[@]}" > "$work/restarted.json"
    target_states "${targets[@]}" > "$work/all_targets.json"
    changes=$(($(metric_sum rattanshed_owner_changes_total) - changes))
    read -r unserved slice < <(longest_unserved load)
    row "$deployment" "$policy_name" "$rate" "$(totals load sent)" \
        "$(totals load answered)" "$(totals load not-run)" \
        "$(totals load unknown)" \
        "$(totals load broken)/$(totals load silent)/$(totals load wrong)" \
        "$(goodput 1 "$COLD_AT_S")" "$(worst_second "$COLD_AT_S")" \
        "$(goodput $((COLD_S - 4)) $((COLD_S - 1)))" \
        "$(jq -s 'map(.peak_in_flight) | max' "$work/restarted.json")" \
        "$(jq -s 'map(.peak_in_flight) | max' "$work/all_targets.json")" \
        "$(jq -s 'map(.refusals.cold // 0) | add' "$work/restarted.json")" \
        "$(jq -s 'map(.refusals.busy // 0) | add' "$work/restarted.json")" \
        "$changes" "$unserved" "$(judge_result load)"
    jq -r '.timeline[] | [.at_ms / 1000,
        ([.read, .post, .file] | map(.answered) | add) * 10] | @tsv' \
        "$work/load.json" |
        awk '{ sum += $2; n++; if (n == 5) {
            print $1, sum / n; sum = 0; n = 0 } }' \
        > "$data/$deployment-${policy_name// /_}.txt"
}

measure_cold() {
    data=$(mktemp -d)
    begin_page cold.md "Cold start of a third of the targets under full load" \
        cold
    text "$COLD_S s at $COLD_PERCENT% of what the targets bear (zipf" \
        "$COLD_ZIPF); after $COLD_AT_S s a third of the targets is killed" \
        "and starts again at once, cold for 3 s. Goodput: answers a second," \
        "of all services. In flight: the most requests that a target ran," \
        "queued or was just asked for at once; the bound is 2 slots and a" \
        "window of 2. Refused: by the restarted targets."
    table deployment policies "rate" sent answered "not run" unknown \
        "broken/silent/wrong" "goodput before" "worst second" \
        "goodput at the end" "in flight, restarted" "in flight, all" \
        "refused cold" "refused busy" "owner changes" "unserved ms" judge
    for deployment in $deployments; do
        (set_deployment "$deployment"; run_cold default "")
        (set_deployment "$deployment"; run_cold "ramp none" "  ramp: none")
        (set_deployment "$deployment"
         run_cold "admission, ramp, retry plain" \
            $'  admission: none\n  ramp: none\n  retry: immediate')
        plot "cold-$deployment.svg" "
set ylabel 'answers/s'
set xlabel 's'
set yrange [0:*]
set title '$deployment: a third of the targets restarts'
plot '$data/$deployment-default.txt' with lines title 'default', \
     '$data/$deployment-ramp_none.txt' with lines title 'ramp none', \
     '$data/$deployment-admission,_ramp,_retry_plain.txt' with lines \
     title 'none, none, immediate'"
        text "![](cold-$deployment.svg)"
    done
    rm -rf "$data"
}

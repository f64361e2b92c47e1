# Measures unavailability and owner changes when a target, an entry process or
# both are killed, or when a target is killed and removed from the VM list 2 s
# later.

LOSSES_S=12
LOSSES_PERCENT=40
LOSSES_AT_S=4

run_loss() {
    local kind=$1 changes lost_entry_changes=0 slices="" unserved slice moves
    rate_at "$LOSSES_PERCENT"
    open_deployment
    changes=$(metric_sum rattanshed_owner_changes_total)
    start_load load "$SEED" "$rate" "$LOSSES_S" "$mix" --zipf 0.5
    sleep "$LOSSES_AT_S"
    if [ "$kind" != entry ]; then
        kill_process "${targets[1]}"
    fi
    if [ "$kind" != target ]; then
        lost_entry_changes=$(metric rattanshed_owner_changes_total \
            "${entries[0]}")
        kill_process "${entries[0]}"
    fi
    if [ "$kind" = target-listed ]; then
        sleep 2
        curl -fsS -o /dev/null -d "{\"remove\":[\"${targets[1]}\"]}" \
            "http://127.0.0.1:$platform_port/standin/vms"
    fi
    wait_load load
    moves=$(owner_moves)
    changes=$(($(metric_sum rattanshed_owner_changes_total) +
               lost_entry_changes - changes))
    read -r unserved slice < <(longest_unserved load)
    row "$deployment" "$kind" "$(totals load sent)" \
        "$(totals load answered)" "$(totals load not-run)" \
        "$(totals load unknown)" "$(totals load broken)" \
        "$(totals load silent)" "$(totals load wrong)" "$unserved" \
        "$changes" "$moves" "$(judge_result load)"
    jq -r '.timeline[] | [.at_ms / 1000, .read.answered + .post.answered,
        ([.read.worst_us, .post.worst_us] | max / 1000)] | @tsv' \
        "$work/load.json" > "$data/$deployment-$kind.txt"
}

measure_losses() {
    data=$(mktemp -d)
    begin_page losses.md "Unavailable time and churn at losses" losses
    text "$LOSSES_S s at $LOSSES_PERCENT% of what the targets bear (zipf" \
        "0.5); SIGKILL after $LOSSES_AT_S s. \`target\`: the platform's list" \
        "goes on naming it; \`target-listed\`: 2 s later it is off the list." \
        "Unserved: the longest time that a slice went without an answer, of" \
        "all slices, in ms. A lost target has 8 slices (listas, sorteo):" \
        "that many changes are needed. Moves: seen at the targets."
    table deployment lost sent answered "not run" unknown broken silent \
        wrong "unserved ms" "owner changes" moves judge
    for deployment in $deployments; do
        for kind in ${RS_LOSSES:-target target-listed entry both}; do
            (set_deployment "$deployment"; run_loss "$kind")
        done
    done
    for deployment in $deployments; do
        plot "losses-$deployment.svg" "
set ylabel 'slowest answer, ms'
set xlabel 's'
set title '$deployment: slowest answer to a keyed request, by 100 ms'
plot '$data/$deployment-target.txt' using 1:3 with lines title 'target', \
     '$data/$deployment-entry.txt' using 1:3 with lines title 'entry', \
     '$data/$deployment-both.txt' using 1:3 with lines title 'both'"
        text "![](losses-$deployment.svg)"
    done
    rm -rf "$data"
}

# Measures service while a failure domain is taken out by ticket and back in.

DOMAIN_S=30
DOMAIN_PERCENT=40
DOMAIN_OUT_S=5
DOMAIN_IN_S=17

now_s() {
    date +%s.%N
}

# targets_in DOMAIN: prints the names of the domain's targets as a regular
# expression.
targets_in() {
    jq -r --arg domain "$1" '[.vms[] | select(.kind == "target" and
        .domain == $domain) | .id] | join("|")' "$work/vms.json"
}

# slices_at TIME TARGETS: prints the number of slices whose last request that
# took effect up to TIME ran on a target that the expression TARGETS matches.
slices_at() {
    events | awk -F'\t' -v until="$1" -v targets="^($2)\$" '
        $4 != "-" && $1 <= until { last[$4] = $2 }
        END { for (slice in last) n += last[slice] ~ targets
              print n + 0 }'
}

# moves_between FROM UNTIL: prints the number of owner changes in this period,
# as seen at the targets, and the number of slices whose owner changed.
moves_between() {
    events | awk -F'\t' -v from="$1" -v until="$2" '$4 != "-" {
        if (($4 in last) && last[$4] != $2 && $1 > from && $1 <= until) {
            moves++
            moved[$4] = 1
        }
        last[$4] = $2 }
        END { for (slice in moved) n++
              print moves + 0, n + 0 }'
}

run_domain() {
    local out_at in_at out_in_force_at back_in_force_at last_request_s
    local unserved slice slices_before
    local out_moves out_slices in_moves in_slices end_at pattern
    rate_at "$DOMAIN_PERCENT"
    open_deployment
    shift_ports "$example/tickets/0002.json" > "$work/0002.json"
    shift_ports "$example/tickets/0003.json" > "$work/0003.json"
    pattern=$(targets_in "${domains[1]}")
    start_load load "$SEED" "$rate" "$DOMAIN_S" "$mix" --zipf 0.5
    sleep "$DOMAIN_OUT_S"
    out_at=$(now_s)
    Deployment_Submit 2 "$work/0002.json"
    out_in_force_at=$(now_s)
    sleep "$((DOMAIN_IN_S - DOMAIN_OUT_S))"
    in_at=$(now_s)
    Deployment_Submit 3 "$work/0003.json"
    back_in_force_at=$(now_s)
    wait_load load
    end_at=$(now_s)
    last_request_s=$(events | awk -F'\t' -v from="$out_at" -v until="$in_at" \
        -v targets="^($pattern)\$" '$2 ~ targets && $6 < until {
            last = $6 } END { printf "%.1f\n", last - from }')
    slices_before=$(slices_at "$out_at" "$pattern")
    read -r out_moves out_slices < <(moves_between "$out_at" "$in_at")
    read -r in_moves in_slices < <(moves_between "$in_at" "$end_at")
    read -r unserved slice < <(longest_unserved load)
    row "$deployment" "$(totals load sent)" "$(totals load answered)" \
        "$(totals load not-run)" "$(totals load unknown)" \
        "$(totals load broken)/$(totals load silent)/$(totals load wrong)" \
        "$unserved" \
        "$(awk "BEGIN { printf \"%.1f/%.1f\", $out_in_force_at - $out_at,
            $back_in_force_at - $in_at }")" "$last_request_s" "$slices_before" \
        "$out_slices in $out_moves" "$in_slices in $in_moves" \
        "$(slices_at "$end_at" "$pattern")" "$(judge_result load)"
    jq -r '.timeline[] | [.at_ms / 1000,
        ([.read, .post] | map(.answered) | add) * 10,
        ([.read, .post] | map(."not-run") | add) * 10,
        ([.read, .post] | map(.unknown + .other) | add) * 10] | @tsv' \
        "$work/load.json" > "$data/$deployment.txt"
}

measure_domain() {
    data=$(mktemp -d)
    begin_page domain.md "Service while a failure domain leaves and returns" \
        domain
    text "$DOMAIN_S s at $DOMAIN_PERCENT% of what all targets bear (zipf" \
        "0.5); after $DOMAIN_OUT_S s a ticket takes one of three domains" \
        "out, $((DOMAIN_IN_S - DOMAIN_OUT_S)) s after it is in force another" \
        "takes it in. Slices there: that the domain's targets had, which" \
        "must move. Moved: slices in changes of owner, seen at the targets."
    table deployment sent answered "not run" unknown \
        "broken/silent/wrong" "unserved ms" "in force after s (out/in)" \
        "last new work there after s" "slices there" "moved out" \
        "moved back" "there at the end" judge
    for deployment in $deployments; do
        (set_deployment "$deployment"; run_domain)
    done
    for deployment in $deployments; do
        plot "domain-$deployment.svg" "
set ylabel 'keyed requests/s'
set xlabel 's'
set title '$deployment: a domain leaves and returns'
plot '$data/$deployment.txt' using 1:2 with lines title 'answered', \
     '$data/$deployment.txt' using 1:3 with lines title 'not run', \
     '$data/$deployment.txt' using 1:4 with lines title 'other'"
        text "![](domain-$deployment.svg)"
    done
    rm -rf "$data"
}

#!/bin/bash
# Measures the cost of the control plane: network traffic, CPU time and memory
# of the entry processes, reads and writes of the platform, and the time from a
# ticket's acceptance until it is in force.
# usage: tools/measure_control.sh BUILD
# Environment variables:
# RS_CONTROL: one line for each size to measure, with four numbers: slices of a
# rule, entry processes in a cell, cells, tickets to submit.
# RS_PAGES: folder for the page (default: docs/measurements).
set -euo pipefail
build=$(cd "${1:?usage: tools/measure_control.sh BUILD}" && pwd)
here=$(cd "$(dirname "$0")" && pwd)
pages=${RS_PAGES:-$here/../docs/measurements}
mkdir -p "$pages"
. "$here/measure_common.sh"

CONTROL_S=8
TICKET_EVERY_S=2
FORCE_TICKETS=20
FORCE_POLL_S=0.02

# sample NAME: writes one line to $work/NAME.sample: the time in s; totals over
# the entry processes of bytes sent and received on control links, clock ticks
# of CPU time of the main threads and of the processes, and RSS in KiB; the
# platform's reads and writes; the slices held in total.
sample() {
    local name stat sent=0 received=0 main_ticks=0 process_ticks=0
    local rss=0 held=0
    local -a stat_fields
    for name in "${entries[@]}"; do
        curl -fsS -m 2 -o "$work/metrics.txt" \
            "http://127.0.0.1:$(vm_field "$name" admin_port)/metrics"
        sent=$((sent + $(metric_in rattanshed_control_sent_bytes)))
        received=$((received + $(metric_in rattanshed_control_received_bytes)))
        held=$((held + $(metric_in rattanshed_held_slices)))
        read -r -a stat_fields < "/proc/${pids[$name]}/task/${pids[$name]}/stat"
        main_ticks=$((main_ticks + stat_fields[13] + stat_fields[14]))
        read -r -a stat_fields < "/proc/${pids[$name]}/stat"
        process_ticks=$((process_ticks + stat_fields[13] + stat_fields[14]))
        rss=$((rss + $(awk '/^VmRSS/ { print $2 }' \
            "/proc/${pids[$name]}/status")))
    done
    read -r reads writes < <(curl -fsS "http://127.0.0.1:$platform_port/standin" |
        jq -r '"\(.reads) \(.writes)"')
    echo "$(date +%s.%N) $sent $received $main_ticks $process_ticks" \
        "$rss $reads $writes $held" \
        > "$work/$1.sample"
}

# metric_in NAME: prints a metric from $work/metrics.txt, or 0 when it is not
# there.
metric_in() {
    awk -v name="$1" '{ sub(/{}$/, "", $1) } $1 == name { value = $2 }
        END { print (value == "" ? 0 : value) }' "$work/metrics.txt"
}

# rates FROM UNTIL: prints the rates between two samples, and the RSS and the
# slices held at the second one, separated by tabs. Means of an entry process:
# bytes sent and received a second, CPU use of the main thread and of the
# process in percent of a core, RSS in MiB. Then the platform's reads and
# writes a second, and the slices held in total.
rates() {
    paste -d' ' "$work/$1.sample" "$work/$2.sample" |
        awk -v n="${#entries[@]}" -v ticks="$(getconf CLK_TCK)" '{
            s = $10 - $1
            printf "%.0f\t%.0f\t%.2f\t%.2f\t%.1f\t%.1f\t%.1f\t%d\n",
                ($11 - $2) / s / n, ($12 - $3) / s / n,
                ($13 - $4) / ticks / s / n * 100,
                ($14 - $5) / ticks / s / n * 100,
                $15 / n / 1024, ($16 - $7) / s, ($17 - $8) / s, $18 }'
}

# write_ticket NUMBER: writes a ticket that changes the timeout of one service
# to $work/ticket.json.
write_ticket() {
    jq -c --argjson number "$1" '
        {number: $number, author: "measure", note: "another timeout",
         objects: [.objects[] | select(.kind == "service")][:1]} |
        .objects[0].value.timeout_ms = 2000 + $number' "$work/0001.json" \
        > "$work/ticket.json"
}

# submit_timed NUMBER: submits a ticket and prints the time in ms from its
# acceptance until the first entry process, asked every FORCE_POLL_S, reports
# that it is in force.
submit_timed() {
    local accepted url
    write_ticket "$1"
    ctl ticket submit "$work/ticket.json" > "$work/logs/submit.log" 2>&1 ||
        fail "ticket $1: $(cat "$work/logs/submit.log")"
    accepted=$(date +%s%N)
    url="http://127.0.0.1:$(vm_field "${entries[0]}" admin_port)/tickets/$1/force"
    until [ "$(curl -fsS -m 2 "$url" | jq .in_force)" = true ]; do
        sleep "$FORCE_POLL_S"
        [ $((($(date +%s%N) - accepted) / 1000000000)) -lt 20 ] ||
            fail "ticket $1 is not in force"
    done
    echo $((($(date +%s%N) - accepted) / 1000000))
}

# submit_every COUNT: submits a ticket every TICKET_EVERY_S, or when the one
# before is in force, if that is later. Writes the times from submit_timed() to
# $work/force.txt.
submit_every() {
    local began next number
    : > "$work/force.txt"
    for ((number = 2; number < 2 + $1; number++)); do
        next=$((SECONDS + TICKET_EVERY_S))
        submit_timed "$number" >> "$work/force.txt"
        while [ "$SECONDS" -lt "$next" ]; do
            sleep 0.1
        done
    done
}

# control_row STATE RATES: adds a row with the output of rates().
control_row() {
    local IFS=$'\t'
    local -a cells
    read -r -a cells <<< "$2"
    row "$rule_slices" "$entries_per_domain" "$domain_count" "$1" \
        "${cells[@]}"
}

run_control() {
    rule_slices=$1
    entries_per_domain=$2
    domain_count=$3
    set_deployment lista-serrana
    delay_ms=0
    open_deployment
    sleep 4
    sample a
    sleep "$CONTROL_S"
    sample b
    submit_every "$4"
    sample c
    control_row idle "$(rates a b)"
    control_row tickets "$(rates b c)"
    echo "| $rule_slices | $entries_per_domain | $domain_count | $4 |" \
        "$(quantile 0.5 < "$work/force.txt") |" \
        "$(quantile 1 < "$work/force.txt") |" >> "$data/force.md"
    echo "$rule_slices $entries_per_domain $domain_count $(rates a b)" \
        >> "$data/idle.txt"
}

data=$(mktemp -d)
page=$pages/control.md
{
    echo "# What control costs"
    echo
    echo "Made by \`tools/measure_control.sh build\` on $(nproc) cores shared" \
         "with other work; load average at the start:" \
         "$(cut -d' ' -f1 /proc/loadavg). Lista Serrana without callers and" \
         "without delays; two keyed rules of so many slices each, 31 targets" \
         "(10 or 11 with one cell). \`idle\`: $CONTROL_S s; \`tickets\`: one" \
         "every $TICKET_EVERY_S s. All figures but the last three columns are" \
         "means of an entry process; bytes are those of control links (not" \
         "the platform's, nor the targets'). The share of the control task" \
         "is that of the main thread."
    echo
} > "$page"
table "slices a rule" "entries a cell" cells state "sent B/s" "received B/s" \
    "control task, % of a core" "process, % of a core" "RSS MB" \
    "platform reads/s" "writes/s" "slices held"
while read -r slices entries_of_cell cells tickets; do
    (run_control "$slices" "$entries_of_cell" "$cells" "$tickets")
done <<< "${RS_CONTROL:-64 3 3 4
256 3 3 $FORCE_TICKETS
1024 3 3 4
256 5 3 4
256 3 1 4
256 5 1 4}"
text "From a ticket's acceptance until it is in force at every entry process," \
    "ms, asked every 20 ms:"
table "slices a rule" "entries a cell" cells tickets p50 most
cat "$data/force.md" >> "$page"
plot control.svg "
set xlabel 'slices a rule'
set ylabel 'B/s sent by a process'
set y2label 'control task, % of a core'
set ytics nomirror
set y2tics
set yrange [0:*]
set y2range [0:*]
set title 'idle, 3 cells of 3'
plot '< grep \" 3 3 \" $data/idle.txt | sort -n' using 1:4 with linespoints \
     title 'B/s', '' using 1:6 axes x1y2 with linespoints title '% of a core'"
text "![](control.svg)"
rm -rf "$data"

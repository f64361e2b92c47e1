# Bash functions that the measurements share.

deployments=${RS_DEPLOYMENTS:-lista-serrana bochas}
SEED=7
MEASURE_PORT_SHIFT=${MEASURE_PORT_SHIFT:-1000}
KEYED_MS=25
FILE_MS=60
SLOTS=2
declare -A EXAMPLE_BASE=([lista-serrana]=21000 [bochas]=23000)

# set_deployment NAME: sets the deployment's name, ports, service times,
# network delay, and the number of targets of its three services.
set_deployment() {
    deployment=$1
    port_shift=$MEASURE_PORT_SHIFT
    if [ -n "${RS_BASE_PORT:-}" ]; then
        port_shift=$((RS_BASE_PORT - EXAMPLE_BASE[$1]))
    fi
    service_us=$((KEYED_MS * 1000))
    file_us=$((FILE_MS * 1000))
    if [ "$deployment" = lista-serrana ]; then
        delay_ms=1
        sizes=(16 9 6)
    else
        delay_ms=1.5
        sizes=(20 10 6)
    fi
}

# rate_at PERCENT: sets `rate` and `mix` so that each service gets PERCENT of
# its targets' capacity.
rate_at() {
    local full=($((sizes[0] * SLOTS * 1000 / KEYED_MS))
                $((sizes[1] * SLOTS * 1000 / KEYED_MS))
                $((sizes[2] * SLOTS * 1000 / FILE_MS)))
    rate=$(((full[0] + full[1] + full[2]) * $1 / 100))
    mix=${full[0]},${full[1]},${full[2]}
}

# open_deployment: starts the deployment and waits until ticket 1 is in force
# and all services answer.
open_deployment() {
    . "$here/deployment.sh"
    Deployment_Prepare
    Deployment_Start
    Deployment_Submit 1 "$work/0001.json"
    Deployment_Await
}

# begin_page FILE TITLE PART: starts a page with the notes on how it was made.
begin_page() {
    page=$pages/$1
    {
        echo "# $2"
        echo
        echo "Made by \`tools/measure.sh build $3\` on $(nproc) cores shared" \
             "with other work; compare only figures of one run. Load average" \
             "at the start: $(cut -d' ' -f1 /proc/loadavg). Service times are" \
             "exponential, mean $KEYED_MS ms for keys and $FILE_MS ms for" \
             "files; delays between failure domains as in the brief, those" \
             "to clients left out. Seed $SEED."
        echo
    } > "$page"
}

# table HEADER...: adds a table's header to the page.
table() {
    {
        printf '| %s ' "$@"
        echo '|'
        printf '|---%.0s' "$@"
        echo '|'
    } >> "$page"
}

# row CELL...: adds a row to the table.
row() {
    {
        printf '| %s ' "$@"
        echo '|'
    } >> "$page"
}

# text WORD...: adds a paragraph to the page.
text() {
    printf '%s\n' "" "$*" "" >> "$page"
}

# totals LOAD FIELD: prints the sum of a field over all classes of a load.
totals() {
    jq "[.classes[][\"$2\"]] | add" "$work/$1.json"
}

# quantile SHARE: prints a quantile (SHARE is 0 to 1) of the numbers on
# standard input, or "-" when there are none.
quantile() {
    sort -n | awk -v share="$1" '{ at[NR] = $1 }
        END { i = int(NR * share); i = i < 1 ? 1 : i
              print (NR > 0 ? at[i] : "-") }'
}

# ratio A B: prints A / B with two decimals, or "-" when A is "-" or B isn't
# above 0.
ratio() {
    awk -v a="$1" -v b="$2" 'BEGIN {
        if (b + 0 > 0 && a != "-") { printf "%.2f\n", a / b } else print "-" }'
}

# judge_result LOAD...: prints what follows the last ": " in the last line that
# judge() prints.
judge_result() {
    local result
    result=$(judge "$@" | tail -1) || true
    echo "${result##*: }"
}

# plot FILE COMMANDS: writes an SVG next to the page, with gnuplot.
plot() {
    gnuplot <<END
set terminal svg size 760,340 background "white"
set output "$pages/$1"
set grid
set key outside
$2
END
}

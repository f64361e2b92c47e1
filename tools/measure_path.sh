# Measures the overhead of the request path: latency that it adds, and CPU time
# of the entry processes.

PATH_S=8
PATH_SERVICE_US=2000
PATH_RATES="250 500 1000"
DIRECT_PORT_OFFSET=400

# entry_ticks: prints the CPU time of all entry processes in clock ticks.
entry_ticks() {
    local name sum=0 fields_of
    for name in "${entries[@]}"; do
        read -r -a fields_of < "/proc/${pids[$name]}/stat"
        sum=$((sum + fields_of[13] + fields_of[14]))
    done
    echo "$sum"
}

# start_direct: starts as many targets as the first service has, which accept
# requests straight from the load, and sets `direct` to their addresses.
start_direct() {
    local i port
    direct=
    for ((i = 0; i < sizes[0]; i++)); do
        port=$((base_port + DIRECT_PORT_OFFSET + i))
        spawn "direct-$i" "$build/standin/standin_target" \
            --targets "direct-$i:$port" --service "${services[0]}" \
            --slots "$SLOTS" --queue 64 --exponential --cold-ms 0 \
            --service-time-us "$PATH_SERVICE_US" --check-fences 0
        direct+="${direct:+,}127.0.0.1:$port"
        wait_for_port "$port"
    done
}

run_path() {
    local before idle spent per_second
    service_us=$PATH_SERVICE_US
    open_deployment
    start_direct
    sleep 3
    per_second=$(getconf CLK_TCK)
    before=$(entry_ticks)
    sleep 4
    idle=$((($(entry_ticks) - before) / 4)) # clock ticks a second
    for rate in $PATH_RATES; do
        before=$(entry_ticks)
        start_load through "$SEED" "$rate" "$PATH_S" 100,0,0 --zipf 0.3
        wait_load through
        spent=$(($(entry_ticks) - before))
        load_entries=$direct
        start_load direct "$SEED" "$rate" "$PATH_S" 100,0,0 --zipf 0.3
        wait_load direct
        load_entries=
        row "$deployment" "$rate" \
            "$(totals through answered)/$(totals through sent)" \
            "$(class_ms direct p50_us)" "$(class_ms through p50_us)" \
            "$(class_ms direct p99_us)" "$(class_ms through p99_us)" \
            "$(ratio "$idle" "$per_second")" \
            "$(awk "BEGIN { printf \"%.2f\", $spent / $per_second / $PATH_S }")" \
            "$(totals through answered | awk -v ticks="$spent" \
                -v second="$per_second" '{
                if (ticks > 0) printf "%.0f", $1 * second / ticks }')"
    done
}

# class_ms LOAD FIELD: prints a latency of the reads in ms.
class_ms() {
    jq ".classes.read.$2 / 100 | floor / 10" "$work/$1.json"
}

measure_path() {
    begin_page path.md "Cost of the path" path
    text "$PATH_S s for each rate of reads by key (zipf 0.3), by way of the" \
        "nine entry processes and then straight to as many targets of the" \
        "same kind without keys' owners, in the same run. Service time" \
        "$PATH_SERVICE_US us here. The path through has up to two hops and," \
        "for two in three requests, the delay between failure domains both" \
        "ways. Latencies in ms. Cores: of all entry processes, at rest and" \
        "under the load."
    table deployment "requests/s" "answered/sent" "p50 direct" \
        "p50 through" "p99 direct" "p99 through" "cores at rest" "cores" \
        "requests a core-second"
    for deployment in $deployments; do
        (set_deployment "$deployment"; run_path)
    done
}

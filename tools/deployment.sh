# Bash functions that run one of the deployments under examples/ on this
# machine: the stand-ins for the platform and the targets, the entry processes,
# and load. On exit every process is ended by its process id.
#
# Variables to set before Deployment_Prepare:
#   build          build folder
#   deployment     lista-serrana or bochas
# Optional variables (default):
#   port_shift     added to all ports, a multiple of 1000 (0)
#   delay_ms       one-way network delay between failure domains; 0: direct
#                  connections without standin_link (0)
#   policies       lines for the `policies:` section of the settings ("")
#   service_us     mean service time of the targets of keyed services (25000)
#   file_us        mean service time of the targets of files (60000)
#   file_bytes     size of the files (65536)
#   rule_slices    slices of each rule, 0: as in the example (0)
#   entries_per_domain, domain_count: size, as in the example by default (3, 3)
# Optional variables that can also be set later:
#   load_entries   addresses that load is sent to ("": the entry processes)
#   KEEP_WORK      if not "", the work folder is kept after a success ("")
#   stays          if not "", Deployment_Stop returns instead of exiting ("")

port_shift=${port_shift:-0}
delay_ms=${delay_ms:-0}
policies=${policies:-}
service_us=${service_us:-25000}
file_us=${file_us:-60000}
file_bytes=${file_bytes:-65536}
rule_slices=${rule_slices:-0}
entries_per_domain=${entries_per_domain:-3}
domain_count=${domain_count:-3}
START_TIMEOUT_S=15
FORCE_TIMEOUT_S=20
END_TIMEOUT_S=3
LOCK_TIMEOUT_S=300
LINK_PORT_OFFSET=500
PLATFORM_PORT_OFFSET=900
EXAMPLE_ENTRIES=3
LINK_CONTROL_PORT_OFFSET=901

declare -gA pids=() fields=()

# fail TEXT: prints the message and exits; the exit trap ends the processes.
fail() {
    echo "$0: $1" >&2
    exit 2
}

# shift_ports FILE...: prints the example's files with their ports shifted by
# `port_shift`.
shift_ports() {
    local to=$((base_port / 1000))
    sed -E "s/\\b$((example_base_port / 1000))([0-9]{3})\\b/$to\\1/g" "$@"
}

# lock_ports: locks the deployment's ports. If another run on this machine has
# locked them, waits for it to end, LOCK_TIMEOUT_S at most, and then fails.
lock_ports() {
    exec {lock_fd}>"${TMPDIR:-/tmp}/rattanshed-ports-$base_port.lock"
    flock -w "$LOCK_TIMEOUT_S" "$lock_fd" ||
        fail "ports from $base_port are still in use by another run"
}

# add_entries: adds to the VM list, for each domain, the entry processes that
# are requested beyond those of the example.
add_entries() {
    jq -c --argjson entries "$entries_per_domain" \
        --argjson given "$EXAMPLE_ENTRIES" --argjson base "$base_port" '
        ([.vms[] | select(.kind == "entry")]) as $known |
        ([$known[].domain] | unique) as $domains |
        .vms += [range(0; $domains | length) as $d |
            range($given; $entries) as $n |
            ($base + 10 * (($known | length) +
             $d * ($entries - $given) + $n - $given)) as $port |
            {id: "\($domains[$d])-\($n + 1)", kind: "entry",
             domain: $domains[$d], state: "live", host: "127.0.0.1",
             callers_port: $port, admin_port: ($port + 1),
             control_port: ($port + 2), relay_port: ($port + 3)}]' \
        "$work/all.json" > "$work/more.json"
    mv "$work/more.json" "$work/all.json"
}

# select_entries: removes the entry processes that exceed the requested
# numbers, and all targets of a domain that has no entry processes left. Writes
# the VM list and sets `domains`, `entries` and `targets`.
select_entries() {
    local program='
        [.vms[] | select(.kind == "entry") | .domain] as $all |
        (reduce $all[] as $d ([]; if index($d) then . else . + [$d] end)
         | .[:$domains]) as $kept |
        .vms |= map(select((.domain as $d | $kept | index($d)) and
            (.kind == "target" or
             (.id | capture("-(?<n>[0-9]+)$").n | tonumber) <= $entries)))'
    jq -c --argjson entries "$entries_per_domain" \
        --argjson domains "$domain_count" "$program" "$work/all.json" \
        > "$work/vms.json"
    domains=($(jq -r '[.vms[] | select(.kind == "entry") | .domain] |
        reduce .[] as $d ([]; if index($d) then . else . + [$d] end) | .[]' \
        "$work/vms.json"))
    entries=($(jq -r '.vms[] | select(.kind == "entry") | .id' \
        "$work/vms.json"))
    targets=($(jq -r '.vms[] | select(.kind == "target") | .id' \
        "$work/vms.json"))
}

# write_first_ticket: writes the example's first ticket without the removed
# domains, their places, and these places in the rules. Sets the slices of the
# rules if `rule_slices` isn't 0.
write_first_ticket() {
    jq -c --argjson slices "$rule_slices" \
        --argjson domains "$(printf '%s\n' "${domains[@]}" | jq -R . | jq -s .)" '
        def kept: . as $d | $domains | index($d) != null;
        [.objects[] | select(.kind == "place" and (.value.domain | kept)) |
            .name] as $places |
        .objects |= map(
            select(.kind != "domain" or (.name | kept)) |
            select(.kind != "place" or (.value.domain | kept)) |
            if .kind == "rule" then
                .value.places |= map(select(. as $p | $places | index($p))) |
                if $slices > 0 then .value.slices = $slices else . end
            else . end)' "$example/tickets/0001.json" > "$work/0001.json"
}

# write_links: for each entry process and each other domain, gives standin_link
# a pair of ports to forward, and lists these in the VM list as the addresses
# to use from that domain.
write_links() {
    jq -r --argjson base "$((base_port + LINK_PORT_OFFSET))" \
        --arg domains "${domains[*]}" '
        ($domains | split(" ")) as $domains |
        [.vms[] | select(.kind == "entry") as $vm | $domains[] as $from |
         select($from != $vm.domain) | {vm: $vm, from: $from}] |
        to_entries | map(.value + {port: ($base + .key * 2)})' \
        "$work/vms.json" > "$work/links.json"
    jq -r '.[] |
        "\(.port) \(.vm.host):\(.vm.control_port) \(.from) \(.vm.domain)",
        "\(.port + 1) \(.vm.host):\(.vm.relay_port) \(.from) \(.vm.domain)"' \
        "$work/links.json" > "$work/links.txt"
    jq -c --slurpfile links "$work/links.json" '
        .vms |= map(. as $vm | ([$links[0][] | select(.vm.id == $vm.id) |
            {key: .from, value: {control_port: .port,
             relay_port: (.port + 1)}}] | from_entries) as $from |
            if $from == {} then . else . + {from: $from} end)' \
        "$work/vms.json" > "$work/vms-linked.json"
    mv "$work/vms-linked.json" "$work/vms.json"
}

# print_extra_settings NAME: prints settings for an entry process beyond those
# of the example, made from those of the first entry process of its domain.
print_extra_settings() {
    local domain port
    domain=$(vm_field "$1" domain)
    port=$(vm_field "$1" callers_port)
    shift_ports "$example/settings/$domain-1.yaml" |
        sed -E "s/^name: .*/name: $1/
            s/^callers: .*/callers: {address: 127.0.0.1, port: $port}/
            s/^admin: .*/admin: {address: 127.0.0.1, port: $((port + 1))}/
            s/^peers: .*/peers: {address: 127.0.0.1, control_port: $((port + 2)), relay_port: $((port + 3))}/"
}

write_settings() {
    local name
    mkdir -p "$work/settings"
    for name in "${entries[@]}"; do
        if [ -e "$example/settings/$name.yaml" ]; then
            shift_ports "$example/settings/$name.yaml"
        else
            print_extra_settings "$name"
        fi > "$work/settings/$name.yaml"
        if [ -n "$policies" ]; then
            printf 'policies:\n%s\n' "$policies" >> "$work/settings/$name.yaml"
        fi
    done
}

# Deployment_Prepare: locks the ports and writes the files that the processes
# read. Sets the variables that the other functions use, such as work (a
# temporary folder), domains, entries, targets and services.
Deployment_Prepare() {
    local root
    root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
    example=$root/examples/$deployment
    [ -d "$example" ] || fail "no deployment $deployment"
    build=$(cd "$build" && pwd)
    example_base_port=$(jq -r '[.vms[] | .callers_port // empty] | min' \
        "$example/vms.json")
    base_port=$((example_base_port + port_shift))
    platform_port=$((base_port + PLATFORM_PORT_OFFSET))
    work=$(mktemp -d)
    trap Deployment_Stop EXIT
    trap 'exit 130' INT TERM
    lock_ports
    mkdir -p "$work/records" "$work/logs"
    shift_ports "$example/vms.json" > "$work/all.json"
    if [ "$entries_per_domain" -gt "$EXAMPLE_ENTRIES" ]; then
        add_entries
    fi
    select_entries
    write_first_ticket
    if [ "$delay_ms" != 0 ]; then
        write_links
    fi
    read_fields
    write_settings
    services=($(jq -r '.objects[] | select(.kind == "service") | .name' \
        "$work/0001.json"))
    admins=()
    for name in "${entries[@]}"; do
        admins+=("--admin=127.0.0.1:$(vm_field "$name" admin_port)")
    done
}

# vm_field NAME FIELD: prints a field of a VM.
vm_field() {
    echo "${fields[$1.$2]}"
}

# read_fields: loads the fields of all VMs, except objects, into `fields`.
read_fields() {
    local key value
    while IFS=$'\t' read -r key value; do
        fields[$key]=$value
    done < <(jq -r '.vms[] | . as $vm | to_entries[] |
        select(.value | type != "object") |
        ["\($vm.id).\(.key)", .value] | @tsv' "$work/vms.json")
}

# addresses KIND FIELD: prints HOST:PORT of all VMs of a kind, separated by
# commas; FIELD names the port.
addresses() {
    jq -r --arg kind "$1" "[.vms[] | select(.kind == \$kind) |
        \"\\(.host):\\(.$2)\"] | join(\",\")" "$work/vms.json"
}

# spawn NAME COMMAND...: starts a process in the background and stores its id
# in `pids`. Its output goes to $work/logs/NAME.log.
spawn() {
    local name=$1
    shift
    "$@" >> "$work/logs/$name.log" 2>&1 {lock_fd}>&- &
    pids[$name]=$!
}

# wait_for_port PORT: waits until a process listens on the port, and fails if
# none does within START_TIMEOUT_S.
wait_for_port() {
    local tries=$((START_TIMEOUT_S * 20))
    until (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; do
        tries=$((tries - 1))
        [ "$tries" -gt 0 ] || fail "no process listens on port $1"
        sleep 0.05
    done
}

start_target() {
    local service port
    service=$(vm_field "$1" service)
    port=$(vm_field "$1" port)
    local -a more=(--service-time-us "$service_us")
    if [ "$service" = "${services[2]}" ]; then
        more=(--service-time-us "$file_us" --file-bytes "$file_bytes"
              --check-fences 0)
    fi
    spawn "$1" "$build/standin/standin_target" --targets "$1:$port" \
        --service "$service" --slots 2 --exponential --cold-ms 3000 \
        --record-lines "$work/records/$1.jsonl" "${more[@]}"
}

start_entry() {
    spawn "$1" "$build/rattanshed/rattanshed" -c "$work/settings/$1.yaml"
}

Deployment_Start() {
    local name
    spawn platform "$build/standin/standin_platform" \
        --port "$platform_port" --vms "$work/vms.json"
    wait_for_port "$platform_port"
    if [ "$delay_ms" != 0 ]; then
        spawn link "$build/standin/standin_link" --pairs "$work/links.txt" \
            --port $((base_port + LINK_CONTROL_PORT_OFFSET)) \
            --delay-ms "$delay_ms"
        wait_for_port $((base_port + LINK_CONTROL_PORT_OFFSET))
    fi
    for name in "${targets[@]}"; do
        start_target "$name"
    done
    for name in "${entries[@]}"; do
        start_entry "$name"
    done
    for name in "${entries[@]}"; do
        wait_for_port "$(vm_field "$name" admin_port)"
    done
    for name in "${!pids[@]}"; do
        kill -0 "${pids[$name]}" 2>/dev/null ||
            fail "$name: $(tail -1 "$work/logs/$name.log")"
    done
}

# ctl ARGUMENT...: runs rattanctl with the addresses of all entry processes.
ctl() {
    "$build/rattanctl/rattanctl" "${admins[@]}" "$@"
}

# Deployment_Submit NUMBER FILE: submits a ticket and waits until it is in
# force. Retries the submission, since just after the start the platform may
# not be reachable yet.
Deployment_Submit() {
    local tries=$((START_TIMEOUT_S * 5))
    until ctl ticket submit "$2" > "$work/logs/submit.log" 2>&1; do
        tries=$((tries - 1))
        [ "$tries" -gt 0 ] || fail "ticket $1: $(cat "$work/logs/submit.log")"
        sleep 0.2
    done
    ctl --timeout="$FORCE_TIMEOUT_S" ticket wait "$1" \
        > "$work/logs/wait.log" 2>&1 ||
        fail "ticket $1: $(cat "$work/logs/wait.log")"
}

# is_served SERVICE: tells whether the first entry process answers requests for
# 40 keys of the service.
is_served() {
    local port key
    port=$(vm_field "${entries[0]}" callers_port)
    for key in $(seq 40); do
        curl -fsS -m 2 -o /dev/null -H "X-Request-Id: probe-$1-$key" \
            "http://127.0.0.1:$port/$1/probe$key" 2>/dev/null || return 1
    done
}

# Deployment_Await: waits until all slices are held and all services answer.
Deployment_Await() {
    local tries=$((START_TIMEOUT_S * 2)) expected service
    expected=$(jq '[.objects[] | select(.kind == "rule") | .value.slices] | add' \
        "$work/0001.json")
    until [ "$(metric_sum rattanshed_held_slices)" = "$expected" ]; do
        tries=$((tries - 1))
        [ "$tries" -gt 0 ] || fail "slices held: $(metric_sum \
            rattanshed_held_slices) of $expected"
        sleep 0.5
    done
    for service in "${services[@]}"; do
        until is_served "$service"; do
            tries=$((tries - 1))
            [ "$tries" -gt 0 ] || fail "$service is not served"
            sleep 0.5
        done
    done
}

# metric NAME ENTRY: prints a metric of an entry process, or 0 when it can't be
# read.
metric() {
    curl -fsS -m 2 "http://127.0.0.1:$(vm_field "$2" admin_port)/metrics" \
        2>/dev/null |
        awk -v name="$1" '{ sub(/{}$/, "", $1) } $1 == name { value = $2 }
            END { print value == "" ? 0 : value }'
}

# metric_sum NAME: prints the sum of a metric over the entry processes that
# were started and not killed.
metric_sum() {
    local sum=0 name
    for name in "${entries[@]}"; do
        if [ -n "${pids[$name]:-}" ]; then
            sum=$((sum + $(metric "$1" "$name")))
        fi
    done
    echo "$sum"
}

# kill_process NAME: ends a process with SIGKILL, as an abrupt loss.
kill_process() {
    kill -KILL "${pids[$1]}"
    wait "${pids[$1]}" 2>/dev/null || true
    unset "pids[$1]"
}

# set_target_faults NAME JSON: sets the faults that a target injects.
set_target_faults() {
    curl -fsS -m 2 -o /dev/null -d "$2" \
        "http://127.0.0.1:$(vm_field "$1" port)/standin"
}

# start_load NAME SEED RATE SECONDS MIX [ARGUMENT...]: starts standin_load in
# the background. MIX: shares of reads, POSTs and files.
start_load() {
    local name=$1 seed=$2 rate=$3 seconds=$4 mix=$5
    shift 5
    spawn "$name" "$build/standin/standin_load" \
        --entries "${load_entries:-$(addresses entry callers_port)}" \
        --services "$(IFS=,; echo "${services[*]}")" --name "$name" \
        --seed "$seed" --rate "$rate" --seconds "$seconds" --mix "$mix" \
        --json "$work/$name.json" --log "$work/$name.jsonl" "$@"
}

# wait_load NAME: waits until a load ends.
wait_load() {
    wait "${pids[$1]}" || fail "$1: $(tail -5 "$work/logs/$1.log")"
    unset "pids[$1]"
}

# judge NAME...: checks the logs of these loads against the targets' records.
judge() {
    local -a logs=() lines=()
    local file
    for file in "$@"; do
        logs+=(--log "$work/$file.jsonl")
    done
    for file in "$work"/records/*.jsonl; do
        lines+=(--record-lines "$file")
    done
    "$build/standin/standin_judge" "${lines[@]}" "${logs[@]}"
}

# Deployment_Stop: the exit trap. Sends SIGTERM to each process by its id, and
# SIGKILL to those that have not ended after END_TIMEOUT_S. Removes the work
# folder after a success, unless KEEP_WORK is set, and else prints its path.
# Unlocks the ports, and exits with the same status unless `stays` is set.
Deployment_Stop() {
    local status=$? name tries=$((END_TIMEOUT_S * 20))
    trap - EXIT
    for name in "${!pids[@]}"; do
        kill -TERM "${pids[$name]}" 2>/dev/null || true
    done
    while [ "$tries" -gt 0 ] && [ -n "$(running_processes)" ]; do
        sleep 0.05
        tries=$((tries - 1))
    done
    for name in $(running_processes); do
        kill -KILL "${pids[$name]}" 2>/dev/null || true
    done
    for name in "${!pids[@]}"; do
        wait "${pids[$name]}" 2>/dev/null || true
    done
    pids=()
    if [ "$status" = 0 ] && [ -z "${KEEP_WORK:-}" ]; then
        rm -rf "$work"
    else
        echo "logs and records: $work"
    fi
    flock -u "$lock_fd"
    exec {lock_fd}>&-
    if [ -z "${stays:-}" ]; then
        exit "$status"
    fi
}

# running_processes: prints the names of the processes that have not ended.
running_processes() {
    local name
    for name in "${!pids[@]}"; do
        if kill -0 "${pids[$name]}" 2>/dev/null; then
            echo "$name"
        fi
    done
}

# longest_unserved LOAD: prints the longest time in ms for which a slice was
# not served, and the slice (see unserved.awk). The slices of the keys come
# from the targets' records, or from an entry process if no target recorded a
# request for the key.
longest_unserved() {
    slices_of_recorded_keys > "$work/slices.tsv"
    slices_of_other_keys "$1" >> "$work/slices.tsv"
    jq -r '[.service, .key, .sent_us, .end_us, .outcome] | @tsv' \
        "$work/$1.jsonl" | sort -s -n -k3,3 |
        awk -F'\t' -v keys="$work/slices.tsv" -f "$(dirname \
            "${BASH_SOURCE[0]}")/unserved.awk"
}

# slices_of_other_keys LOAD: prints service, key and slice of the load's keys,
# except of files, that are not in $work/slices.tsv, as an entry process
# reports them.
slices_of_other_keys() {
    local service key name port
    for name in "${entries[@]}"; do
        [ -z "${pids[$name]:-}" ] || port=$(vm_field "$name" admin_port)
    done
    jq -r --arg files "${services[2]}" 'select(.service != $files) |
        [.service, .key] | @tsv' "$work/$1.jsonl" | sort -u |
        join -t '' -v 1 - <(cut -f1,2 "$work/slices.tsv" | sort -u) |
        while IFS=$'\t' read -r service key; do
            curl -fsS -m 2 "http://127.0.0.1:$port/owner?service=$service&key=$key" |
                jq -r --arg service "$service" --arg key "$key" \
                    '[$service, $key, .slice] | @tsv'
        done
}

# slices_of_recorded_keys: prints service, key and slice of the keys of
# requests that targets recorded, other than those without a slice.
slices_of_recorded_keys() {
    cat "$work"/records/*.jsonl |
        jq -r 'select(.slice != "") | [.service, .key, .slice] | @tsv' |
        sort -u
}

# events: prints the requests that took effect, in order of their ends, with
# the fields: end time in s, target, service, slice (or "-"), holder, start
# time in s.
events() {
    cat "$work"/records/*.jsonl |
        jq -r 'select(.effect) | [.wall_end_us / 1e6, .target, .service,
            (if .slice == "" then "-" else .slice end), .holder,
            .wall_start_us / 1e6] | @tsv' | sort -n
}

# owner_moves: prints how often a request took effect on another target than
# the previous request of the same slice.
owner_moves() {
    events | awk -F'\t' '$4 != "-" {
        if (($4 in last) && last[$4] != $2) { moves++ }
        last[$4] = $2 } END { print moves + 0 }'
}

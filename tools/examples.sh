#!/bin/bash
# Regenerates the settings, VM lists and first three tickets of both example
# deployments in examples/. All addresses are on loopback.
set -euo pipefail
cd "$(dirname "$0")/../examples"

entries_per_domain=3
slices_per_row=32
slices_per_target=8
host=127.0.0.1

# write_settings FILE NAME DOMAIN PORT: writes the settings of an entry
# process. Its four ports are PORT and the three that follow.
write_settings() {
    cat > "$1" <<END
name: $2
region: $region
domain: $3
callers: {address: $host, port: $4}
admin: {address: $host, port: $(($4 + 1))}
peers: {address: $host, control_port: $(($4 + 2)), relay_port: $(($4 + 3))}
platform: {address: $host, port: $((base + 900))}
log_level: info
END
}

write_entries() {
    local index=0 domain number name port
    for domain in $domains; do
        for number in $(seq "$entries_per_domain"); do
            name=$domain-$number
            port=$((base + index * 10))
            write_settings "settings/$name.yaml" "$name" "$domain" "$port"
            vms+=("{\"id\":\"$name\",\"kind\":\"entry\",\"domain\":\"$domain\",\"state\":\"live\",\"host\":\"$host\",\"callers_port\":$port,\"admin_port\":$((port + 1)),\"control_port\":$((port + 2)),\"relay_port\":$((port + 3))}")
            index=$((index + 1))
        done
    done
}

# write_targets SERVICE COUNT CHECKS_FENCES: adds the service's targets and
# places. Targets are assigned to the domains round-robin, continuing where the
# service before ended.
write_targets() {
    local names=($domains) number name domain
    declare -A lists=()
    for number in $(seq "$2"); do
        name=$(printf '%s-%02d' "$1" "$number")
        domain=${names[$((target % ${#names[@]}))]}
        vms+=("{\"id\":\"$name\",\"kind\":\"target\",\"domain\":\"$domain\",\"state\":\"live\",\"host\":\"$host\",\"port\":$((base + 300 + target)),\"service\":\"$1\"}")
        lists[$domain]+="${lists[$domain]:+,}
     {\"name\":\"$name\",\"checks_fences\":$3}"
        target=$((target + 1))
    done
    for domain in $domains; do
        objects+=("{\"kind\":\"place\",\"name\":\"$1-$domain\",\"value\":{
    \"service\":\"$1\",\"domain\":\"$domain\",\"targets\":[${lists[$domain]}]}}")
    done
}

# write_service NAME COUNT KEYED CHECKS_FENCES TIMEOUT_MS MAX_RUN_MS: adds a
# service with COUNT targets, their places and, if it is keyed, its rule.
write_service() {
    objects+=("{\"kind\":\"service\",\"name\":\"$1\",\"value\":{
    \"keyed\":$3,\"slots\":2,\"connections\":$connections,
    \"timeout_ms\":$5,\"max_run_ms\":$6,\"window\":2,\"cold_ms\":3000,
    \"cut_off\":\"keep-serving\",\"repeatable\":[\"GET\",\"HEAD\"]}}")
    write_targets "$1" "$2" "$4"
    if [ "$3" = true ]; then
        write_rule "$1" "$2"
    fi
}

write_rule() {
    local rows=$((($2 * slices_per_target + slices_per_row - 1) / slices_per_row))
    local places=""
    for domain in $domains; do
        places+="${places:+,}\"$1-$domain\""
    done
    objects+=("{\"kind\":\"rule\",\"name\":\"$1\",\"value\":{
    \"service\":\"$1\",\"prefix\":\"\",\"slices\":$((rows * slices_per_row)),
    \"places\":[$places]}}")
}

# join ITEM...: prints the items one a line, separated by commas.
join() {
    local text=""
    for item in "$@"; do
        text+="${text:+,
}  $item"
    done
    printf '%s' "$text"
}

begin() {
    mkdir -p "$1/settings" "$1/tickets"
    cd "$1"
    vms=()
    objects=()
    target=0
    for domain in $domains; do
        objects+=("{\"kind\":\"domain\",\"name\":\"$domain\",\"value\":{\"region\":\"$region\",\"state\":\"in\"}}")
    done
    write_entries
}

finish() {
    printf '{"vms":[\n%s\n]}\n' "$(join "${vms[@]}")" > vms.json
    printf '{"number":1,"author":"%s","note":"first state","objects":[\n%s\n]}\n' \
        "$1" "$(join "${objects[@]}")" > tickets/0001.json
    write_domain_ticket 2 "$1" out
    write_domain_ticket 3 "$1" in
    cd ..
}

# write_domain_ticket NUMBER AUTHOR STATE: writes a ticket that sets the second
# domain's state to STATE (in or out).
write_domain_ticket() {
    local names=($domains)
    printf '{"number":%d,"author":"%s","note":"%s is %s","objects":[\n%s\n]}\n' \
        "$1" "$2" "${names[1]}" "$3" \
        "  {\"kind\":\"domain\",\"name\":\"${names[1]}\",\"value\":{\"region\":\"$region\",\"state\":\"$3\"}}" \
        > "$(printf 'tickets/%04d.json' "$1")"
}

region=sul domains="sul-poa sul-cwb sul-fln" base=21000 connections=110
begin lista-serrana
write_service listas 16 true true 2000 500
write_service reservas 9 true true 3000 1000
write_service guias 6 false false 10000 5000
finish lista-serrana

region=rio-plata domains="montevideo-a canelones-b maldonado-c"
base=23000 connections=130
begin bochas
write_service sorteo 20 true true 2000 500
write_service inscripcion 10 true true 3000 1000
write_service archivo 6 false false 10000 5000
finish bochas

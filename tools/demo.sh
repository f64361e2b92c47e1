#!/bin/bash
# Runs an example deployment under load, kills a target and an entry process,
# and checks what the callers and the targets recorded.
# usage: tools/demo.sh BUILD [--deployment lista-serrana|bochas]
# Exit status: 0 all checks hold, 1 a check failed, 2 the demo could not run.
set -euo pipefail
build=${1:?usage: tools/demo.sh BUILD [--deployment NAME]}
shift
deployment=lista-serrana
while [ $# -gt 0 ]; do
    case $1 in
    --deployment) deployment=$2; shift 2 ;;
    --deployment=*) deployment=${1#*=}; shift ;;
    *) echo "unknown argument: $1" >&2; exit 2 ;;
    esac
done

SEED=7
RATE=400
LOAD_S=20
MIX=60,30,10
LOSE_TARGET_AFTER_S=6
LOSE_ENTRY_AFTER_S=6
MAX_UNSERVED_MS=2000
. "$(dirname "$0")/deployment.sh"

# count OUTCOME: prints how many requests of the load had this outcome.
count() {
    jq "[.classes[][\"$1\"]] | add" "$work/load.json"
}

broken=0
# check TEXT COMMAND...: runs the command, which tests the property that TEXT
# names; prints whether it holds, and sets `broken` if it doesn't.
check() {
    local text=$1
    shift
    if "$@"; then
        echo "  kept    $text"
    else
        echo "  BROKEN  $text"
        broken=1
    fi
}

Deployment_Prepare
echo "$deployment: ${#domains[@]} failure domains, ${#entries[@]} entry" \
     "processes, ${#targets[@]} targets"
Deployment_Start
Deployment_Submit 1 "$work/0001.json"
Deployment_Await
echo "ticket 1 is in force; $RATE requests a second for $LOAD_S s"

changes=$(metric_sum rattanshed_owner_changes_total)
start_load load "$SEED" "$RATE" "$LOAD_S" "$MIX"
sleep "$LOSE_TARGET_AFTER_S"
lost_target=${targets[1]}
kill_process "$lost_target"
echo "target $lost_target is lost"
sleep "$LOSE_ENTRY_AFTER_S"
lost_entry=${entries[0]}
lost_entry_changes=$(metric rattanshed_owner_changes_total "$lost_entry")
kill_process "$lost_entry"
echo "entry process $lost_entry is lost"
wait_load load

changes=$(($(metric_sum rattanshed_owner_changes_total) + lost_entry_changes -
           changes))
read -r unserved_ms unserved_slice < <(longest_unserved load)
echo
cat "$work/logs/load.log"
echo
printf '%-32s %s\n' "answered" "$(count answered)" \
    "refused as not run" "$(count not-run)" \
    "outcome unknown" "$(count unknown)" \
    "connection broke, no answer" "$(count broken), $(count silent)" \
    "owner changes, by the metric" "$changes" \
    "owner changes, seen at targets" "$(owner_moves)" \
    "longest unserved, by slice" "$unserved_ms ms ($unserved_slice)"
echo
check "the records of the targets agree with the answers" judge load
check "no answer is another request's or cut" [ "$(count wrong)" = 0 ]
check "a key is served again within $MAX_UNSERVED_MS ms" \
    [ "$unserved_ms" -le "$MAX_UNSERVED_MS" ]
check "most requests are answered" \
    [ "$(($(count answered) * 2))" -gt "$((RATE * LOAD_S))" ]
exit $broken

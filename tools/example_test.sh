#!/bin/bash
# Starts an example deployment, sends requests for LOAD_S seconds, and checks
# the targets' records, that no answer is wrong, and the share of answered
# requests in each class.
# usage: tools/example_test.sh BUILD DEPLOYMENT
# Exit status: 0 passed, 1 failed, 2 the deployment could not run.
set -euo pipefail
build=$1
deployment=$2

SEED=11
RATE=100
LOAD_S=4
MIX=60,30,10
MIN_ANSWERED_PERCENT=90
. "$(dirname "$0")/deployment.sh"

Deployment_Prepare
Deployment_Start
Deployment_Submit 1 "$work/0001.json"
Deployment_Await
start_load load "$SEED" "$RATE" "$LOAD_S" "$MIX"
wait_load load
cat "$work/logs/load.log"
judge load
jq -e --argjson percent "$MIN_ANSWERED_PERCENT" '
    [.classes[]] |
    ([.[].wrong] | add) == 0 and
    all(.[]; .sent > 0 and .answered * 100 >= .sent * $percent)' \
    "$work/load.json"

#!/bin/sh
# Checks the Promela models in this folder with spin. Each model, with the
# sizes listed below, must hold in a complete search, and in each broken
# variant (a -D flag that removes a rule) spin must find a violation. Prints a
# line for each check, and the end of the report for each that fails; exits
# non-zero when any result is not the expected one.
set -eu
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
jobs=3
memory_mb=2000
depth=3000000

# verify NAME MODEL SEARCH FLAGS...: builds and runs pan, the verifier that
# spin generates for the model; writes its report to $work/NAME.report. SEARCH:
# `whole` searches depth-first, `short` breadth-first for a short
# counterexample, `live` depth-first also for acceptance cycles, with weak
# fairness.
verify() {
    name=$1
    model=$2
    search=$3
    shift 3
    mkdir -p "$work/$name"
    (
        cp "$model" "$work/$name/model.pml"
        cd "$work/$name"
        spin -a "$@" model.pml >spin.log 2>&1
        case $search in
        live) build="-DNOREDUCE -DMEMLIM=$memory_mb" run="-a -f" ;;
        short) build="-DSAFETY -DBFS -DMEMLIM=$memory_mb" run="" ;;
        *) build="-DSAFETY -DCOLLAPSE -DMEMLIM=$memory_mb" run="" ;;
        esac
        # shellcheck disable=SC2086
        gcc -O2 -w $build -o pan pan.c
        # shellcheck disable=SC2086
        ./pan -m$depth $run
    ) >"$work/$name.report" 2>&1 || true
}

# complete REPORT: tells whether the search covered all states.
complete() {
    ! grep -qE 'max search depth too small|Search not completed|out of memory|memory limit|error: ' "$1" &&
        grep -q 'errors: ' "$1"
}

# check EXPECTATION NAME MODEL SEARCH FLAGS...: verifies a model and prints the
# result. If it isn't the expected one (`holds`: no violation in a complete
# search; `caught`: a violation), creates $work/failed.
check() {
    expect=$1
    shift
    verify "$@"
    report=$work/$1.report
    count=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$report")
    states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' "$report")
    verdict=FAILED
    if [ "$expect" = holds ] && [ "${count:-x}" = 0 ] &&
       complete "$report"; then
        verdict="holds in a complete search"
    elif [ "$expect" = caught ] && [ "${count:-0}" -gt 0 ] &&
         grep -qE 'assertion violated|acceptance cycle' "$report"; then
        verdict="caught"
    fi
    echo "model $1: $verdict (${states:-no} states)"
    if [ "$verdict" = FAILED ]; then
        tail -5 "$report"
        : >"$work/failed"
    fi
}

# One line for each check, with the arguments of check().
cases="
holds cell-two-messages cell.pml whole -DSLOTS=2 -DMAX_STEP=1 -DRESTARTS=0
holds cell cell.pml whole -DSLOTS=1
holds change change.pml whole
holds rows rows.pml whole
holds live live.pml live
holds granter granter.pml whole
holds granter-RESTORE granter.pml whole -DRESTORE
caught cell-NO_WAIT_FOR_LAPSE cell.pml whole -DSLOTS=1 -DNO_WAIT_FOR_LAPSE
caught cell-COUNT_FROM_RECEIPT cell.pml whole -DSLOTS=1 -DCOUNT_FROM_RECEIPT
caught cell-VOTE_AFTER_RESTART cell.pml whole -DSLOTS=1 -DVOTE_AFTER_RESTART
caught cell-NO_FIRST_STEP cell.pml whole -DSLOTS=1 -DNO_FIRST_STEP
caught cell-MINORITY cell.pml whole -DSLOTS=1 -DMINORITY
caught change-CHANGE_WITHOUT_OLD_MAJORITY change.pml short -DCHANGE_WITHOUT_OLD_MAJORITY
caught change-CHANGE_WITHOUT_LEASE change.pml short -DCHANGE_WITHOUT_LEASE
caught change-CHANGE_WITHOUT_ACK change.pml short -DCHANGE_WITHOUT_ACK
caught change-STALE_ROSTER_SERVED change.pml short -DSTALE_ROSTER_SERVED
caught rows-ROW_WITHOUT_CAS rows.pml short -DROW_WITHOUT_CAS
caught rows-ACK_WITHOUT_READING_BACK rows.pml short -DACK_WITHOUT_READING_BACK
caught granter-RELEASE_UNDER_OLD_FENCE granter.pml short -DRELEASE_UNDER_OLD_FENCE
caught granter-SETTLE_AT_ONCE granter.pml short -DSETTLE_AT_ONCE
caught granter-NO_ASSUMED_HOLDS granter.pml short -DNO_ASSUMED_HOLDS
caught granter-GIVEN_UP_IS_ARRIVED granter.pml short -DGIVEN_UP_IS_ARRIVED
caught granter-NO_DELAY_ASSUMED granter.pml short -DNO_DELAY_ASSUMED
caught granter-NO_CONDITION granter.pml short -DNO_CONDITION
caught granter-GRANT_WITHOUT_AUTHORITY granter.pml short -DGRANT_WITHOUT_AUTHORITY
caught restore-VERSION_WITHOUT_ERA granter.pml whole -DRESTORE -DVERSION_WITHOUT_ERA
caught restore-LEASE_ROW_TRUSTED granter.pml whole -DRESTORE -DLEASE_ROW_TRUSTED
caught restore-FENCE_REUSED granter.pml whole -DRESTORE -DFENCE_REUSED
caught restore-UNPROVEN_MOVED granter.pml whole -DRESTORE -DUNPROVEN_MOVED
caught restore-NO_DELAY_IN_ERA granter.pml whole -DRESTORE -DNO_DELAY_IN_ERA
caught restore-PROOF_IS_LAST_HOLD granter.pml whole -DRESTORE -DPROOF_IS_LAST_HOLD
caught live-NO_RETRY live.pml live -DNO_RETRY
caught live-PROMISE_NEVER_LAPSES live.pml live -DPROMISE_NEVER_LAPSES
"

running=0
while read -r line; do
    [ -n "$line" ] || continue
    # shellcheck disable=SC2086
    check $line &
    running=$((running + 1))
    if [ "$running" -ge "$jobs" ]; then
        wait
        running=0
    fi
done <<EOF
$cases
EOF
wait
[ ! -e "$work/failed" ] || exit 1
echo "models: all results as expected"

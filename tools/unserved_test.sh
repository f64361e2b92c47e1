#!/bin/bash
# Tests tools/unserved.awk with requests whose longest unserved time is known.
set -euo pipefail
cd "$(dirname "$0")"
keys=$(mktemp)
trap 'rm -f "$keys"' EXIT
printf 's\ta\t1\ns\tb\t2\n' > "$keys"
failed=0

# expect MS REQUEST...: checks that MS is the longest unserved time for these
# requests, each given as "service key sent_us end_us outcome".
expect() {
    local expected=$1 got
    shift
    got=$(printf '%s\n' "$@" | tr ' ' '\t' |
          awk -F'\t' -v keys="$keys" -f unserved.awk | cut -f1)
    if [ "$got" != "$expected" ]; then
        echo "expected $expected ms, got $got: $*"
        failed=1
    fi
}

expect 2009 "s a 1000 5000 not-run" "s a 2000000 2010000 not-run" \
    "s a 2600000 2900000 answered"
expect 599 "s a 1000 3000000 answered" "s a 500000 600000 answered"
expect 999 "s a 1000 5000 not-run" "s a 400000 1000000 answered"
expect 2500 "s a 1000 2501000 silent"
expect 999 "s a 1000 2501000 silent" "s a 400000 1000000 answered"
expect 2500 "s a 1000 2501000 answered" "s b 400000 500000 answered"
expect 5 "s a 1000 6000 not-run" "s a 3000000 3002000 answered"
exit $failed

#!/bin/sh
# Runs each libFuzzer target in BUILD for SECONDS.
# usage: tools/fuzz.sh BUILD SECONDS
set -eu
build=$1
seconds=$2
find "$build" -name '*_fuzz' -type f | sort | while read -r target; do
    echo "fuzz: $target for $seconds s"
    "$target" -max_total_time="$seconds" -max_len=4096 -verbosity=0 \
        -print_final_stats=1
done

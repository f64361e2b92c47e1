#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the disruption.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review-2/case-$(basename "$here")
folder=$(mktemp -d) || exit 2
if [ ! -x "$program" ] || [ ! -x target/rattanshed/rattanshed ]; then
    echo "build the deploy file and run review/build-2.sh first" >&2
    rmdir "$folder"
    exit 2
fi
timeout -k 5 110 "$program" "$here" "$folder" &
job=$!
# The nodes end with the program, whatever ends it.
trap 'kill "$job"; wait "$job"; rm -rf "$folder"; exit 2' HUP INT TERM
wait "$job"
status=$?
rm -rf "$folder"
[ "$status" -le 2 ] || status=2
exit "$status"

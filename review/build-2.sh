#!/bin/sh
# Builds the stand-ins and cases of the second review into target/review-2.
# usage: review/build-2.sh
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=gnu11 -O1 -g -Wall -Wextra -Wno-unused-parameter -Wno-format-truncation -I. $(pkg-config --cflags glib-2.0 jansson)"
libs="$(pkg-config --libs glib-2.0 jansson) -pthread"
for case in review/[0-9]*/case.c; do
    number=$(basename "$(dirname "$case")")
    # shellcheck disable=SC2086
    cc $flags "$case" review/bed/*.c -o "$out/case-$number" $libs
done

#!/bin/sh
# Builds the stand-ins and drivers of the third review in target/review-3/.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
bed=review/bed-3
flags="-std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -I. $(pkg-config --cflags glib-2.0 jansson)"
libs="$(pkg-config --libs glib-2.0 jansson) -lpthread"
# shellcheck disable=SC2086
for program in store worker; do
    cc $flags "$bed/$program.c" "$bed/wire.c" -o "$out/$program" $libs
done
# shellcheck disable=SC2086
for program in epoch crash drain reader silent; do
    cc $flags "$bed/$program.c" "$bed/deployment.c" "$bed/wire.c" \
        -o "$out/$program" $libs
done

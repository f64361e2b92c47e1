#!/bin/sh
# Lists the hand-written C sources and headers.
set -eu
cd "$(dirname "$0")/.."
find . -path './build*' -prune -o -path ./target -prune -o -path './.git' -prune -o \
    -name '*.[ch]' ! -name '*.pb-c.[ch]' -print | sed 's|^\./||' | sort

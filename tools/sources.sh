#!/bin/sh
# Lists the C sources that are written by hand.
set -eu
cd "$(dirname "$0")/.."
find core wire http settings platform ticket member cell place front \
    dispatch admin rattanshed rattanctl standin tests \
    -name '*.[ch]' ! -name '*.pb-c.[ch]' | sort

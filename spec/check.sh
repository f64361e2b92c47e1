#!/bin/sh
# Checks each Promela model in this folder.
set -eu
cd "$(dirname "$0")"
ls ./*.pml >/dev/null 2>&1 || exit 0

#!/bin/sh
# Installs the missing ones of the Debian packages that the build, the checks
# and the measurements need.
set -eu
packages="gcc make cmake pkg-config clang clang-format clang-tidy cppcheck
libclang-rt-14-dev libuv1-dev libh2o-dev libssl-dev libhttp-parser-dev
libprotobuf-c-dev libcyaml-dev libargtable2-dev libglib2.0-dev
libjansson-dev libxxhash-dev zlib1g-dev libcunit1-dev libcurl4-openssl-dev spin
gnuplot-nox curl jq"
missing=""
for package in $packages; do
    status=$(dpkg-query -W -f '${db:Status-Status}' "$package" 2>/dev/null ||
             true)
    if [ "$status" != installed ]; then
        missing="$missing $package"
    fi
done
if [ -n "$missing" ]; then
    echo "installing:$missing"
    apt-get update -qq
    # shellcheck disable=SC2086
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq \
        --no-install-recommends $missing >/dev/null
fi

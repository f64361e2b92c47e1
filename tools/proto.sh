#!/bin/sh
# Regenerates the committed protobuf-c code. Needs the Debian package
# protobuf-c-compiler.
set -eu
cd "$(dirname "$0")/.."
for file in $(find . -name '*.proto' ! -path './build*' ! -path './target/*' | sed 's|^\./||'); do
    protoc-c --proto_path=. --c_out=. "$file"
done

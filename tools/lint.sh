#!/bin/sh
# Runs clang-tidy, with warnings as errors, on the hand-written .c files other
# than fuzz targets, using the compile commands of BUILD. Skips a file
# that has passed, if since then neither the file, nor a header, nor
# .clang-tidy has changed.
# usage: tools/lint.sh BUILD JOBS
set -eu
build=$1
jobs=$2
cd "$(dirname "$0")/.."
stamps=$build/lint
mkdir -p "$stamps"
newest=$(find . -path './build*' -prune -o -path ./target -prune -o -name '*.h' -printf '%T@ %p\n' |
         sort -n | tail -1 | cut -d' ' -f2)
tools/sources.sh | grep '\.c$' | grep -v '_fuzz\.c$' | while read -r file; do
    stamp=$stamps/$(echo "$file" | tr / _)
    if [ ! -e "$stamp" ] || [ "$file" -nt "$stamp" ] ||
       [ "$newest" -nt "$stamp" ] || [ .clang-tidy -nt "$stamp" ]; then
        echo "$file"
    fi
done | xargs -P "$jobs" -I{} sh -c \
    'clang-tidy --quiet -p '"$build"' {} 2>/dev/null &&
     touch '"$stamps"'/$(echo {} | tr / _)'
echo "lint: clean"

#!/bin/sh
# Runs clang-tidy (warnings are errors) over the hand-written sources that
# BUILD compiles; a file unchanged since it last passed is not read again.
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

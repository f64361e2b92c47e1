#!/bin/bash
# Measures the example deployments and writes pages with tables and plots. All
# figures on a page come from one run of this script.
# usage: tools/measure.sh BUILD [PART...]
# Parts: spread losses domain tail files cold path; all of them by default.
# Environment variables (default):
# RS_DEPLOYMENTS: deployments to measure (lista-serrana bochas).
# RS_PAGES: folder for the pages (docs/measurements).
# RS_LOSSES: kinds of losses to measure (target target-listed entry both).
# MEASURE_PORT_SHIFT: added to the ports of the examples (1000).
# RS_BASE_PORT: first port, instead of MEASURE_PORT_SHIFT.
set -euo pipefail
build=$(cd "${1:?usage: tools/measure.sh BUILD [PART...]}" && pwd)
shift
here=$(cd "$(dirname "$0")" && pwd)
pages=${RS_PAGES:-$here/../docs/measurements}
mkdir -p "$pages"
for file in "$here"/measure_*.sh; do
    case $file in
    */measure_control.sh) ;;
    *) . "$file" ;;
    esac
done
parts=("$@")
if [ ${#parts[@]} = 0 ]; then
    parts=(spread losses domain tail files cold path)
fi
for part in "${parts[@]}"; do
    echo "measuring: $part"
    measure_"$part"
done

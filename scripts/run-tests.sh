#!/usr/bin/env bash
# Runs all tests of a build folder. Failures of tests listed in KNOWN-RED.txt are printed but do not
# fail the run; every other failure does. The last line is "N passed, N failed".
set -uo pipefail

build=${1:?usage: run-tests.sh BUILD_FOLDER}
top=$(cd "$(dirname "$0")/.." && pwd)
log=$(mktemp)
trap 'rm -f "$log"' EXIT

known_red=()
if [ -f "$top/KNOWN-RED.txt" ]; then
    mapfile -t known_red < <(sed -n 's/^test: *//p' "$top/KNOWN-RED.txt")
fi

ctest --test-dir "$build" --output-on-failure -j "${JOBS:-4}" 2>&1 | tee "$log"

total=$(sed -n 's/.*tests failed out of \([0-9]*\).*/\1/p' "$log" | tail -n 1)
mapfile -t failed < <(sed -n 's/^[[:space:]]*[0-9]* - \([^ ]*\) (.*/\1/p' "$log" | sort -u)

unexpected=0
for name in "${failed[@]}"; do
    for red in "${known_red[@]}"; do
        if [ "$name" = "$red" ]; then
            echo "known red: $name (see KNOWN-RED.txt)"
            continue 2
        fi
    done
    echo "failed: $name"
    unexpected=$((unexpected + 1))
done

echo "$((total - ${#failed[@]})) passed, $unexpected failed"
[ "${total:-0}" -gt 0 ] && [ "$unexpected" -eq 0 ]

#!/bin/sh
# Builds the stand-ins of the cases. They are Python scripts that use the standard library alone, as the
# project's own soak test does, so there is nothing to compile; this checks that they can be read.
set -eu
cd "$(dirname "$0")"
command -v python3 > /dev/null || { echo "python3 is missing" >&2; exit 1; }
for file in standin/*.py [1-5]/*.py; do
    [ -f "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done

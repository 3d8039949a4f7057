#!/usr/bin/env bash
# Runs clang-tidy in parallel on all source files except generated code, with the build's flags.
set -euo pipefail
build=$(cd "${1:?usage: lint.sh BUILD_FOLDER}" && pwd)
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard 'src/*.cpp' 'tests/*.cpp' 'platform/*.cpp' \
    | grep -v '^src/wire/generated/' \
    | xargs -P "${JOBS:-8}" -n 2 clang-tidy -p "$build" --quiet 2> >(grep -v 'warnings generated' >&2)

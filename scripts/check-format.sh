#!/usr/bin/env bash
# Fails if clang-format would change a source file. Generated code is excluded.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | grep -v '^src/wire/generated/' \
    | xargs clang-format --dry-run --Werror

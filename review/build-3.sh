#!/bin/sh
# Prepares the stand-ins of the scripts of the third review. They are Python without dependencies, so nothing is
# compiled: each file is read by the interpreter that the scripts use.
set -e
cd "$(dirname "$0")"
for file in standin-3/*.py 1[1-5]/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
python3 -B -c 'import asyncio, resource, select, tomllib'

#!/usr/bin/env bash
# Checks the stand-ins of the cases, which are Python programs of the standard library only: there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done

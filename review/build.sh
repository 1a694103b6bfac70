#!/bin/sh
# Builds the stand-ins of the cases: Python files of the standard library alone, review/standin_*.py, which need no
# more than to compile. No bytecode is written, so that review/ holds no folders but the cases.
set -eu
cd "$(dirname "$0")/.."
for file in review/standin_*.py review/[0-9]/*.py; do
    .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1], "rb").read(), sys.argv[1], "exec")' "$file"
done

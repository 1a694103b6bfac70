#!/bin/sh
# After the build of the deploy file: the parts of the program that the cases 6 to 9 start (SCGI front, inventory, links
# between nodes), by the project's own extras. The stand-ins of these cases are in the cases themselves; case 10 uses those
# of the earlier cases. All are of Python's standard library alone, and need no more than to compile.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/pip -q install -e '.[broker,members]'
for file in review/standin_*.py review/[6-9]/*.py review/10/*.py; do
    .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1], "rb").read(), sys.argv[1], "exec")' "$file"
done

#!/bin/sh
# After the build of the deploy file: the parts of the program that the cases 6 to 10 start. Their stand-ins are in
# the cases themselves and need Python's standard library alone.
set -e
cd "$(dirname "$0")/.."
.venv/bin/pip -q install -e '.[fleet]'

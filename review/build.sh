#!/bin/sh
# Builds the stand-ins of the cases: small Python programs of the standard library alone, in review/standin.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review

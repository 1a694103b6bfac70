#!/bin/sh
# A repeat of a keyed request within its window, after a caller that connected and was quiet before it wrote.
cd "$(dirname "$0")/../.." || exit 2
exec .venv/bin/python review/8/case.py

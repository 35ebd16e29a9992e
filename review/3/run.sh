#!/bin/sh
# TROUBLE=0 plays the case without its disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
TROUBLE="${TROUBLE:-1}" exec .venv/bin/python -B review/3/case.py

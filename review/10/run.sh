#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
[ -x "$folder/../../.venv/bin/python" ] || exit 2
exec "$folder/../../.venv/bin/python" -B "$folder/case.py"

#!/bin/sh
# The stand-ins are Python without dependencies: they are compiled, which shows that they can be read.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review

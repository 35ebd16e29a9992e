#!/bin/sh
# Builds what the cases 6 to 10 start besides the program. Their stand-ins are rig_2.py and the case.py of each folder:
# they use the standard library alone, so they are only compiled here, with the .venv of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m py_compile review/rig_2.py
for case in 6 7 8 9 10; do
    if [ -e "review/$case/case.py" ]; then
        .venv/bin/python -m py_compile "review/$case/case.py"
    fi
done

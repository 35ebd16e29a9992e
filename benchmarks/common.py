"""What the benchmarks share: resident memory, CPU, and reports as lines, JSON and plots."""

from __future__ import annotations

import argparse
import gc
import json
import os
import resource
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any


def resident() -> int:
    """Bytes of this process in memory just now."""
    gc.collect()
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


def cpu() -> float:
    """Seconds of CPU that this process has used."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def fresh(script: str, *words: str) -> Any:
    """Runs a part in a process of its own: what the last one left in memory is not counted with the next."""
    done = subprocess.run([sys.executable, script, *words], check=True, stdout=subprocess.PIPE, text=True,
                          env=os.environ | {"PYTHONPATH": str(Path(__file__).parent.parent)})  # fmt: skip
    return json.loads(done.stdout)


def main(
    what: str, measure: Callable[[argparse.Namespace], dict[str, Any]], show: Callable[[dict[str, Any]], None],
    plot: Callable[[dict[str, Any], Path], None], more: Callable[[argparse.ArgumentParser], None],
) -> None:  # fmt: skip
    parser = argparse.ArgumentParser(description=what)
    parser.add_argument("--json", action="store_true", help="one JSON object in place of the table")
    parser.add_argument("--plots", type=Path, help="a folder for the plots")
    more(parser)
    given = parser.parse_args()
    found = measure(given)
    if given.plots is not None:
        plot(found, given.plots)
    print(json.dumps(found)) if given.json else show(found)

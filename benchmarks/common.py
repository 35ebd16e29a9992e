"""Shared by the benchmarks: resident memory, CPU time, and the output of results as a table, JSON and plots."""

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
    """Resident memory of this process in bytes, after a garbage collection."""
    gc.collect()
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


def cpu() -> float:
    """CPU seconds used by this process."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def run_in_new_process(script: str, *arguments: str) -> Any:
    """Runs `script` in a new process, so that memory left by another part isn't counted, and decodes its JSON."""
    finished = subprocess.run([sys.executable, script, *arguments], check=True, stdout=subprocess.PIPE, text=True,
                          env=os.environ | {"PYTHONPATH": str(Path(__file__).parent.parent)})  # fmt: skip
    return json.loads(finished.stdout)


def main(
    description: str, measure: Callable[[argparse.Namespace], dict[str, Any]], show: Callable[[dict[str, Any]], None],
    plot: Callable[[dict[str, Any], Path], None], add_options: Callable[[argparse.ArgumentParser], None],
) -> None:  # fmt: skip
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--json", action="store_true", help="print one JSON object instead of the table")
    parser.add_argument("--plots", type=Path, help="a folder for the plots")
    add_options(parser)
    arguments = parser.parse_args()
    result = measure(arguments)
    if arguments.plots is not None:
        plot(result, arguments.plots)
    print(json.dumps(result)) if arguments.json else show(result)

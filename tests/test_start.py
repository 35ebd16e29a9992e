"""Tests of the start of a router: after a release most routers start at once, and slow imports prolong the outage."""

from __future__ import annotations

import signal
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_a_platform_router_does_not_import_libraries_that_it_does_not_use() -> None:
    modules = "pearstall.__main__, pearstall.net.config, pearstall.net.serve"  # the first imports the others late
    code = f"import sys, {modules}; print(*sorted({{name.partition('.')[0] for name in sys.modules}}))"
    process = subprocess.run([sys.executable, "-c", code], check=True, stdout=subprocess.PIPE, text=True)
    assert not {"yaml", "click", "ckdl", "structlog", "hypothesis"} & set(process.stdout.split())


def test_a_reload_signal_before_the_program_runs_does_not_end_the_process() -> None:
    """Runs the start command of each deploy file with a program that prints the SIGHUP handler it inherited."""
    for name in ("balancer", "traced"):
        line = tomllib.loads((ROOT / "deploy" / f"{name}.toml").read_text())["run"]
        setup, _, _ = line.partition("exec ")
        program = f"{sys.executable} -c 'import signal; print(signal.getsignal(signal.SIGHUP))'"
        process = subprocess.run(["/bin/sh", "-c", setup + "exec " + program], stdout=subprocess.PIPE, text=True)
        assert process.stdout.strip() == str(signal.SIG_IGN)

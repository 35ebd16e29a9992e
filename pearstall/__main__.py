"""`python -m pearstall`: one real router; with a word behind it, the command line."""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from pearstall import signals

if TYPE_CHECKING:
    from pearstall.net.config import Config

READ_ATTEMPTS = 30
READ_PAUSE_SECONDS = 0.1


def main() -> int:
    if len(sys.argv) > 1 and not sys.argv[1].startswith("-"):
        from pearstall.cli.main import main as commands  # with its libraries; the platform needs neither

        return commands()
    signals.hold_back()
    parser = argparse.ArgumentParser(prog="pearstall", description="A router for model servers.")
    parser.add_argument("--config", default="", help="the configuration; else what EDGE_CONFIG names")
    parser.add_argument("--operators", "--openai", default="", help="the operators' settings (KDL): further fronts")
    parser.add_argument("--inventory", default="", help="a CSV or YAML list of model servers, not discovery")
    parser.add_argument("--trace", action="store_true", help="every event and action as a line, for experiments")
    given = parser.parse_args()
    return serve(given)


def serve(given: argparse.Namespace) -> int:
    import asyncio  # most of the start's time: after the signals are held back

    from pearstall.net.config import ConfigError, read_config
    from pearstall.net.serve import run

    read = partial(read_config, operators=given.operators, inventory=given.inventory, config=given.config)
    try:
        asyncio.run(run(read_when_possible(read), given.trace))
    except ConfigError as error:
        print(f"pearstall: {error}", file=sys.stderr)
        return 2
    return 0


def read_when_possible(read: Callable[[], Config]) -> Config:
    """A file that can't be read for a reason that passes is read again; a start that fails is an outage."""
    from pearstall.net.config import ConfigError

    for _ in range(READ_ATTEMPTS - 1):
        try:
            return read()
        except ConfigError as error:
            if not error.passing:
                raise
            time.sleep(READ_PAUSE_SECONDS)
    return read()


if __name__ == "__main__":
    sys.exit(main())

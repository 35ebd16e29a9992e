"""`python -m pearstall` runs one router; with a sub-command it is the command line interface."""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from pearstall import footprint, signals

if TYPE_CHECKING:
    from pearstall.net.config import Config

READ_ATTEMPTS = 30
READ_RETRY_SECONDS = 0.1


def main() -> int:
    if len(sys.argv) > 1 and not sys.argv[1].startswith("-"):
        # Imported only when needed: a platform's router uses neither the command line nor its libraries.
        from pearstall.cli.main import main as commands

        return commands()
    signals.block()
    parser = argparse.ArgumentParser(prog="pearstall", description="A router for model servers.")
    parser.add_argument("--config", default="", help="the configuration file (default: EDGE_CONFIG)")
    parser.add_argument("--operators", "--openai", default="", help="the operators' settings (KDL): more fronts")
    parser.add_argument("--inventory", default="", help="model servers in a CSV or YAML file instead of discovery")
    parser.add_argument("--trace", action="store_true", help="print each event and action as a line, for experiments")
    options = parser.parse_args()
    return serve(options)


def serve(options: argparse.Namespace) -> int:
    if not options.operators:
        footprint.exclude_openssl()
    import asyncio  # most of the start-up time, so it is imported after signals are blocked

    from pearstall.net.config import ConfigError, read_config
    from pearstall.net.serve import run

    read = partial(read_config, operators=options.operators, inventory=options.inventory, config=options.config)
    try:
        asyncio.run(run(read_with_retries(read), options.trace))
    except ConfigError as error:
        print(f"pearstall: {error}", file=sys.stderr)
        return 2
    return 0


def read_with_retries(read: Callable[[], Config]) -> Config:
    """Retries after transient read errors, because a router that fails to start is an outage."""
    from pearstall.net.config import ConfigError

    for _ in range(READ_ATTEMPTS - 1):
        try:
            return read()
        except ConfigError as error:
            if not error.transient:
                raise
            time.sleep(READ_RETRY_SECONDS)
    return read()


if __name__ == "__main__":
    sys.exit(main())

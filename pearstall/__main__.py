"""`python -m pearstall`: one real router; with a word behind it, the command line."""

from __future__ import annotations

import argparse
import sys

from pearstall import signals


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

    try:
        config = read_config(operators=given.operators, inventory=given.inventory, config=given.config)
        asyncio.run(run(config, given.trace))
    except ConfigError as error:
        print(f"pearstall: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())

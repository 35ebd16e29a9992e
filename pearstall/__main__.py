"""`python -m pearstall`: one real router."""

from __future__ import annotations

import argparse
import asyncio
import sys

from pearstall.net.config import ConfigError, read_config
from pearstall.net.serve import run


def main() -> int:
    parser = argparse.ArgumentParser(prog="pearstall", description="A router for model servers.")
    parser.add_argument("--config", default="", help="the configuration; else what EDGE_CONFIG names")
    parser.add_argument("--openai", default="", help="a file that says where the OpenAI-style front listens")
    parser.add_argument("--inventory", default="", help="a CSV or YAML list of model servers, not discovery")
    given = parser.parse_args()
    try:
        asyncio.run(run(read_config(openai=given.openai, inventory=given.inventory, config=given.config)))
    except ConfigError as error:
        print(f"pearstall: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())

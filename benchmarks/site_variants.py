"""Writes variants of a site for the operators' bench, to check that the router isn't tuned to a single deployment.

    python benchmarks/site_variants.py [SITE.toml] [--output FOLDER]    # with requirements-dev.txt

Reads the site file and writes `many-classes.toml`, `one-class.toml` and `pushed-lists.toml`, with copies of the files
that the bench requires next to a site. They differ from the site and from each other in the names and number of
classes, in effects, shares, limits, deadlines, costs, the deduplication window and the drain grace. The files written
aren't committed to the repository.
"""

from __future__ import annotations

import argparse
import copy
import shutil
import sys
import tomllib
from pathlib import Path
from typing import Any

import tomli_w

ROOT = Path(__file__).parent.parent
SITE = ROOT.parent / "given" / "kit" / "sites" / "punten-assistent.toml"
OUTPUT = ROOT / "deploy" / "sites"
COMPANION_FILES = ("real.json", "wire.json", "unlock.txt")

Table = dict[str, Any]


class MissingKit(Exception):
    """The site file or a file that belongs with it is missing."""


def request_class(
    name: str, share: float, aim_ms: int, deadline_ms: int, worth: float, effect: str = "safe", **more: Any
) -> Table:
    return {
        "name": name,
        "share": [0.9 * share, 1.1 * share],
        "attempt_noise": [0.08, 0.5],
        "aim_ms": aim_ms,
        "deadline_ms": deadline_ms,
        "worth": worth,
        "late_worth": 0.3,
        "effect": effect,
        "stream": True,
        **more,
    }


def many_classes(site: Table) -> Table:
    """Four classes that cover every effect, one with a short deadline; few tenants; a long drain grace."""
    variant = copy.deepcopy(site)
    variant["name"] = "many-classes"
    long_prompts, short_prompts = site["fam"]["class"][:2]
    variant["class"] = [
        request_class("lookup", 0.3, 450, 1100, 2),
        request_class("order", 0.2, 1500, 5000, 6, "keyed", group="all", window_ms=1200),
        request_class("booking", 0.2, 1800, 6000, 4, "unsafe"),
        request_class("report", 0.3, 3000, 9000, 1),
    ]
    variant["fam"]["class"] = [
        short_prompts | {"token_ms": 60, "turns": [1.2, 2.0]},
        short_prompts | {"token_ms": 80},
        long_prompts | {"token_ms": 120},
        long_prompts | {"token_ms": 200, "turns": [3.0, 5.0]},
    ]
    variant["tenant"] = [
        {"name": "north", "share": 0.5, "usage": [0.5, 1.2]},
        {"name": "south", "share": 0.35, "usage": [0.6, 1.4]},
        {"name": "east", "share": 0.15, "usage": [0.5, 1.2]},
    ]
    variant["rules"] = site["rules"] | {"drain_grace_ms": 900, "fall_multiple": 2.5}
    variant["prices"] = site["prices"] | {"cross_zone": 0.03, "waste": 0.15, "late_fail": 0.05}
    variant["clients"] = site["clients"] | {"marks_retry": False, "honour": [0.6, 1.0]}
    variant["allow"] = site["allow"] | {"max_attempts": 2}
    return variant


def one_class(site: Table) -> Table:
    """One class; two zones; a short drain grace; streams that can't be resumed; a longer connect timeout."""
    variant = copy.deepcopy(site)
    variant["name"] = "one-class"
    variant["class"] = [request_class("assist", 1.0, 1200, 4000, 1, "keyed", group="all", window_ms=2500)]
    variant["fam"]["class"] = [site["fam"]["class"][1] | {"token_ms": 70, "aim_ms_per_k": 40}]
    variant["fam"]["resume"] = False
    variant["net"] = site["net"] | {"zones": site["net"]["zones"][:2]}
    variant["tenant"] = [
        {"name": "first", "share": 0.8, "usage": [0.5, 1.2]},
        {"name": "second", "share": 0.2, "usage": [0.6, 1.5]},
    ]
    variant["rules"] = site["rules"] | {"drain_grace_ms": 300, "fall_ms": 3000}
    variant["prices"] = site["prices"] | {"cross_zone": 0.0, "waste": 0.03}
    variant["clients"] = site["clients"] | {"backoff": "exp", "retries": [1, 2.99]}
    for tier in variant["tier"]:
        tier["conn"] |= {"idle_s": 10, "connect_timeout_ms": 400}
    return variant


def pushed_lists(site: Table) -> Table:
    """Lists pushed by an agent of each router; deduplication by zone or cell; long connect timeout; short grace."""
    variant = copy.deepcopy(site)
    variant["name"] = "pushed-lists"
    long_prompts, short_prompts = site["fam"]["class"][:2]
    variant["class"] = [
        request_class("pay", 0.3, 500, 900, 3, "unsafe"),
        request_class("search", 0.4, 1200, 4000, 2, "keyed", group="zone", window_ms=900),
        request_class("draft", 0.3, 2000, 7000, 1, "keyed", group="cell", window_ms=3000),
    ]
    variant["fam"]["class"] = [short_prompts | {"turns": [1.1, 1.5]}, short_prompts, long_prompts]
    variant["fam"]["resume"] = False
    variant["discovery"] = site["discovery"] | {"mode": "push"}
    variant["allow"] = site["allow"] | {"second_copies": True, "max_attempts": 4}
    variant["tenant"] = [{"name": "all", "share": 1.0, "usage": [0.5, 1.2]}]
    variant["rules"] = site["rules"] | {"drain_grace_ms": 150}
    variant["prices"] = site["prices"] | {"waste": 0.3}
    for tier in variant["tier"]:
        tier["conn"] |= {"idle_s": 4, "connect_timeout_ms": 600}
    return variant


def write_variants(source: Path, output: Path) -> list[Path]:
    missing = [path for path in (source, *(source.parent / name for name in COMPANION_FILES)) if not path.is_file()]
    if missing:
        raise MissingKit(f"no kit here: {missing[0]} is missing")
    site = tomllib.loads(source.read_text())
    output.mkdir(parents=True, exist_ok=True)
    for name in COMPANION_FILES:
        shutil.copyfile(source.parent / name, output / name)
    written = []
    for variant in (many_classes(site), one_class(site), pushed_lists(site)):
        target = output / f"{variant['name']}.toml"
        target.write_text(tomli_w.dumps(variant))
        written.append(target)
    return written


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("site", nargs="?", type=Path, default=SITE)
    parser.add_argument("--output", type=Path, default=OUTPUT)
    options = parser.parse_args()
    try:
        for path in write_variants(options.site, options.output):
            print(path)
    except MissingKit as error:
        print(error, file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())

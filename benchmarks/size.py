"""The cost of a router by the size of its fleet: CPU per list and per request, and memory.

    python benchmarks/size.py [--json] [--plots FOLDER]

For 100, 300 and 1,024 routers in the settings and as many servers in the list: milliseconds per request with its
answer (`warm`), with half of the servers replaced (`half cold`) and with every server saturated (`crowded`);
milliseconds for a list of half of the servers; bytes per server after 2,000 requests. Only the decisions are
measured, in event time; compare ratios within one run, not absolute values.
"""

from __future__ import annotations

import argparse
import sys
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from benchmarks.common import main, run_in_new_process  # noqa: E402
from pearstall.choice import Router  # noqa: E402
from pearstall.interface import (  # noqa: E402
    FirstToken,
    ListKind,
    Outcome,
    Replica,
    ReplicaList,
    Request,
    Result,
    Send,
    Settings,
    State,
)

SIZES = (100, 300, 1024)
S = 1_000_000
CLASSES = [
    {"aim": 2 * S, "give_up": 6 * S, "late_worth": 0.5, "token_aim": 100_000},
    {"aim": S, "give_up": 3 * S, "late_worth": 0.5, "token_aim": 50_000},
]


class Fleet:
    """One router with `size` servers that all answer immediately."""

    def __init__(self, size: int) -> None:
        rules = {"zones": 4, "cold_time": 20 * S, "cold_share": 0.12, "tip_multiple": 3.0, "max_attempts": 3}
        settings = Settings.from_mapping({"classes": CLASSES, "gateways": size, "quota_rate": 3.0 * size, **rules})
        self.size, self.now, self.asked = size, 100 * S, 0
        self.router = Router(settings, 1)
        self.router.start(self.now)
        self.list(ListKind.FULL, range(size), 0)

    def list(self, kind: ListKind, ids: range, started: int) -> float:
        """Delivers a server list; returns milliseconds."""
        rows = [Replica(id, id % 4, 0, State.READY, started=started) for id in ids]
        began = time.perf_counter()
        self.router.handle(self.now, ReplicaList(kind, rows))
        return 1e3 * (time.perf_counter() - began)

    def ask(self, count: int) -> float:
        """Plays `count` requests; returns milliseconds per request."""
        began = time.perf_counter()
        for _ in range(count):
            self.asked += 1
            id, kind = self.asked, self.asked % 2
            prefix = kind * (id % 40 + 1)
            actions = self.router.handle(
                self.now, Request(id, kind, self.now + 3 * S, 1000.0, id, prefix, 500.0 * kind)
            )
            if actions and isinstance(send := actions[0], Send):
                self.router.handle(self.now, FirstToken(id, 0, send.replica, 100_000))
                self.router.handle(self.now, Outcome(id, 0, send.replica, Result.OK, True, 2 * S, 400))
            self.now += 50_000
        return 1e3 * (time.perf_counter() - began) / count


def part(size: int) -> dict[str, float]:
    import tracemalloc

    tracemalloc.start()
    fleet = Fleet(size)
    fleet.ask(2000)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    warm = fleet.ask(400)
    listed = fleet.list(ListKind.DELTA, range(0, size, 2), fleet.now)
    cold = fleet.ask(200)
    for replica in fleet.router.replicas.values():
        replica.streams = 9
    fleet.router.saturated = True
    return {"warm": warm, "half cold": cold, "crowded": fleet.ask(100), "list": listed, "bytes a server": used / size}


def measure(arguments: argparse.Namespace) -> dict[str, Any]:
    if arguments.part:
        return {"part": part(arguments.part)}
    return {str(size): run_in_new_process(__file__, "--part", str(size), "--json")["part"] for size in SIZES}


def show(result: dict[str, Any]) -> None:
    rows = list(next(iter(result.values())))
    print(f"{'servers':>8}" + "".join(f"{name:>16}" for name in rows))
    for size, row in result.items():
        print(f"{size:>8}" + "".join(f"{row[name]:>16.2f}" for name in rows))


def plot(result: dict[str, Any], folder: Path) -> None:
    from pearstall.lab.plots import figure, save

    drawing, (axes,) = figure(columns=1)
    for name in ("warm", "half cold", "crowded", "list"):
        axes.plot([int(size) for size in result], [row[name] for row in result.values()], marker=".", label=name)
    axes.set_xlabel("servers")
    axes.set_ylabel("ms")
    axes.legend(fontsize=6)
    save(drawing, folder / "size.svg")


def options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--part", type=int, default=0, help=argparse.SUPPRESS)


if __name__ == "__main__":
    main(str(__doc__), measure, show, plot, options)

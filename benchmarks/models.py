"""The models: states and steps per second, the effect of the reduction and of more processes, and state space growth.

    python benchmarks/models.py [--deep] [--workers 4] [--json] [--plots FOLDER]

Searches every shape of every model to its depth, and finds the shortest breaking sequence of each mutant. Exits
when all are done.
"""

from __future__ import annotations

import argparse
import sys
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from benchmarks.common import main  # noqa: E402
from pearstall.models import catalogue  # noqa: E402
from pearstall.models.explore import digest, replayed, search, shrunk  # noqa: E402
from pearstall.models.mutants import MUTANTS, applied  # noqa: E402


def restoring() -> dict[str, float]:
    """Microseconds to restore a state by replay, by the length of its sequence, and to digest a state."""
    make = catalogue.model("attempt").shapes["one"]
    names = ["ask q0", "reset q0", "tick", "reset q0", "tick", "tick", "drain 1", "tick", "gone 1"]
    out = {}
    for count in (0, 3, 6, 9):
        began, rounds = time.perf_counter(), 300
        for _ in range(rounds):
            machine = replayed(make, names[:count])
        out[f"replay of {count}"] = (time.perf_counter() - began) / rounds * 1e6
    began = time.perf_counter()
    for _ in range(300):
        digest(machine)
    return out | {"digest": (time.perf_counter() - began) / 300 * 1e6}


def mutants() -> list[dict[str, Any]]:
    out = []
    for mutant in MUTANTS:
        chosen = catalogue.model(mutant.model)
        with applied(mutant):
            breach = search(chosen, mutant.shape, mutant.depth).breach
            if breach is not None:
                breach = shrunk(chosen.shapes[mutant.shape], breach)
        out.append({
            "mutant": mutant.name, "model": mutant.model, "found": breach is not None,
            "property": breach.property if breach else "", "length": len(breach.sequence) if breach else 0,
        })  # fmt: skip
    return out


def measure(arguments: argparse.Namespace) -> dict[str, Any]:
    result: dict[str, Any] = {"restoring": restoring(), "mutants": mutants(), "searches": [], "reduction": []}
    for reduce in (False, True):
        row = search(catalogue.model("attempt"), "two", 5, reduce=reduce)
        result["reduction"].append({"reduced": reduce, "states": row.states, "steps": row.transitions,
                                   "spared": row.slept, "states_a_second": row.states / row.seconds})  # fmt: skip
    for name in catalogue.MODULES:
        rows = []
        for shape in catalogue.model(name).shapes:
            print(f"{name}, {shape}", file=sys.stderr, flush=True)
            rows.append(catalogue.check(name, shape, arguments.deep, arguments.workers))
            result["searches"].append(rows[-1].as_dict())
        result.setdefault("untested", {})[name] = catalogue.untested(name, rows)
    return result


def show(result: dict[str, Any]) -> None:
    print(", ".join(f"{name} {value:.0f} us" for name, value in result["restoring"].items()))
    for row in result["reduction"]:
        print(f"{'reduced' if row['reduced'] else 'full':>8}: {row['states']:,} states, {row['steps']:,} steps, "
              f"{row['spared']:,} spared, {row['states_a_second']:,.0f} states per second and core")  # fmt: skip
    for row in result["searches"]:
        print(f"{row['model']:>8}, {row['shape']:<16} depth {row['depth']:>2}: {row['states']:>9,} states, "
              f"{row['transitions']:>10,} steps, {row['seconds']:.0f} s, "
              f"{row['transitions'] / row['seconds']:,.0f} steps per second"
              + (f"  BROKEN {row['breach']}" if row["breach"] else ""))  # fmt: skip
    rows = result["searches"]
    print(f"{sum(row['states'] for row in rows):,} states in {sum(row['seconds'] for row in rows):.0f} s; untested "
          f"properties: {sum(result['untested'].values(), []) or 'none'}")  # fmt: skip
    for row in result["mutants"]:
        print(f"{row['length']:>3}  {row['property']:<22} {row['mutant']}" + ("" if row["found"] else "  ESCAPED"))


def plot(result: dict[str, Any], folder: Path) -> None:
    from pearstall.lab.plots import figure, save

    drawing, (left, right) = figure(columns=2)
    for row in result["searches"]:
        label = f"{row['model']}, {row['shape']}"
        left.plot(range(1, len(row["levels"]) + 1), row["levels"], marker=".", label=label)
    left.set_yscale("log")
    left.set_xlabel("events")
    left.set_ylabel("new states")
    left.legend(fontsize=6)
    lengths = [row["length"] for row in result["mutants"]]
    right.hist(lengths, bins=range(1, max(lengths) + 2), align="left")
    right.set_xlabel("events of the shortest sequence")
    right.set_ylabel("mutants")
    save(drawing, folder / "models.svg")


def options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--deep", action="store_true")
    parser.add_argument("--workers", type=int, default=4)


if __name__ == "__main__":
    main(str(__doc__), measure, show, plot, options)

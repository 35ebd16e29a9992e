"""Experiments: runs each variant with each seed in worker processes, stores results in SQLite, compares variants.

An interrupted experiment can be resumed: runs that the file of results holds are not repeated. Comparisons are paired
by seed, since the seed determines load, faults and links; the interval is a bootstrap interval (Efron and Tibshirani
1993).
"""

from __future__ import annotations

import concurrent.futures
import json
import multiprocessing
import os
import sqlite3
import time
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import numpy as np

from pearstall.lab.scenarios import Plan, read_plan
from pearstall.lab.world import Result, play

SCHEMA = """
create table if not exists runs (
    variant text not null, seed integer not null, worth real not null, breaches integer not null,
    digest text not null, seconds real not null, result text not null, primary key (variant, seed)
);
create table if not exists about (key text primary key, value text not null);
"""
RESAMPLES = 4000
MAX_STORED_WAITS = 2000  # waits stored per class and run


class Store:
    """The results of one experiment."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.base = sqlite3.connect(path)
        self.base.executescript(SCHEMA)

    def __enter__(self) -> Store:
        return self

    def __exit__(self, *error: object) -> None:
        self.base.close()

    def about(self, key: str, value: str | None = None) -> str | None:
        if value is not None:
            self.base.execute("insert or replace into about values (?, ?)", (key, value))
            self.base.commit()
            return value
        row = self.base.execute("select value from about where key = ?", (key,)).fetchone()
        return str(row[0]) if row else None

    def put(self, variant: str, result: Result) -> None:
        row = asdict(result)
        row["device_waits"] = downsampled(result.device_waits, MAX_STORED_WAITS)
        row["first"] = {name: downsampled(waits, MAX_STORED_WAITS) for name, waits in result.first.items()}
        self.base.execute(
            "insert or replace into runs values (?, ?, ?, ?, ?, ?, ?)",
            (variant, result.seed, result.worth, len(result.breaches), result.digest, result.real_seconds,
             json.dumps(row)),
        )  # fmt: skip
        self.base.commit()

    def done(self) -> set[tuple[str, int]]:
        return {(row[0], row[1]) for row in self.base.execute("select variant, seed from runs")}

    def results(self, variant: str) -> dict[int, dict[str, Any]]:
        rows = self.base.execute("select seed, result from runs where variant = ? order by seed", (variant,))
        return {seed: json.loads(result) for seed, result in rows}

    def variants(self) -> list[str]:
        names = [row[0] for row in self.base.execute("select distinct variant from runs order by variant")]
        return sorted(names, key=lambda name: (name != "base", name))


def downsampled(values: list[float], most: int) -> list[float]:
    """Picks evenly spaced values from the sorted ones, which preserves quantiles."""
    ordered = sorted(values)
    if len(ordered) <= most:
        return ordered
    return [ordered[int(n * (len(ordered) - 1) / (most - 1))] for n in range(most)]


def _run_one(path: str, variant: str, seed: int) -> tuple[str, Result]:
    return variant, play(read_plan(path).named(variant), seed)


def run_all(
    plan: Plan, seeds: list[int], store: Store, workers: int = 0,
    progress: Callable[[int, int, float], object] = lambda done, of, left: None, only: list[str] | None = None,
) -> int:  # fmt: skip
    """Runs what the store lacks, and returns the number of runs; results before an interrupt are stored."""
    names = only or [variant.name for variant in plan.variants]
    stored = store.done()
    missing = [(name, seed) for seed in seeds for name in names if (name, seed) not in stored]
    store.about("scenario", Path(plan.path).read_text())
    began, count = time.monotonic(), 0
    workers = workers or min(len(missing) or 1, os.cpu_count() or 1)
    progress(0, len(missing), 0.0)
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(workers, mp_context=context) as pool:
        tasks = [pool.submit(_run_one, plan.path, name, seed) for name, seed in missing]
        try:
            for task in concurrent.futures.as_completed(tasks):
                store.put(*task.result())
                count += 1
                progress(count, len(missing), (time.monotonic() - began) / count * (len(missing) - count))
        except BaseException:
            for task in tasks:
                task.cancel()
            raise
    return count


def halve(
    path: str, names: list[str], seeds: list[int], store: Store, measure: str = "worth", least: bool = False,
    workers: int = 0, progress: Callable[[str], object] = lambda line: None,
) -> list[tuple[str, float, int]]:  # fmt: skip
    """Successive halving (Jamieson and Talwalkar 2016): runs all variants on a few seeds, then the better half on
    twice as many, until one variant is left or all seeds are used. In each round all variants run on the same seeds,
    and `base` always runs for comparison. Returns name, mean and number of seeds of each variant, best first;
    variants eliminated later come before those eliminated earlier."""
    plan = read_plan(path)
    remaining = [name for name in names if name != "base"]
    count = max(2, len(seeds) >> max(0, (len(remaining) - 1).bit_length() - 1))
    eliminated: list[tuple[str, float, int]] = []
    while True:
        count = min(count, len(seeds))
        chosen = seeds[:count]
        run_all(plan, chosen, store, workers, only=["base", *remaining])
        means = {}
        for name in ["base", *remaining]:
            results = store.results(name)
            values = [measures(results[seed]).get(measure, 0.0) for seed in chosen]
            means[name] = sum(values) / len(values)
        order = sorted(remaining, key=lambda name: means[name], reverse=not least)
        progress(f"{count} seeds, {len(remaining)} variants: best {order[0]} with {means[order[0]]:.4f}, "
                 f"base {means['base']:.4f}")  # fmt: skip
        if count == len(seeds) or len(order) <= 1:
            return [(name, means[name], count) for name in order] + eliminated + [("base", means["base"], count)]
        keep = max(1, (len(order) + 1) // 2)
        eliminated = [(name, means[name], count) for name in order[keep:]] + eliminated
        remaining = order[:keep]
        count *= 2


@dataclass(slots=True)
class Difference:
    """The difference of one measure, other minus base, paired by seed."""

    measure: str
    base: float
    other: float
    mean: float
    low: float
    high: float
    pairs: int

    @property
    def says(self) -> str:
        if self.pairs < 3:
            return "too few pairs"
        if self.low <= 0 <= self.high:
            return "none shown"
        return "more" if self.mean > 0 else "less"


@dataclass(slots=True)
class Comparison:
    base: str
    other: str
    pairs: int
    differences: list[Difference] = field(default_factory=list)

    def __iter__(self) -> Iterator[Difference]:
        return iter(self.differences)

    def as_dict(self) -> dict[str, Any]:
        return {
            "base": self.base, "other": self.other, "pairs": self.pairs,
            "differences": [asdict(one) | {"says": one.says} for one in self.differences],
        }  # fmt: skip


def bootstrap(differences: list[float], seed: int = 1, level: float = 0.95) -> tuple[float, float]:
    """Returns the confidence interval of the mean."""
    values = np.asarray(differences)
    random = np.random.Generator(np.random.PCG64(seed))
    samples = random.integers(0, len(values), (RESAMPLES, len(values)))
    means = values[samples].mean(axis=1)
    low, high = np.quantile(means, [(1 - level) / 2, (1 + level) / 2])
    return float(low), float(high)


def measures(result: dict[str, Any]) -> dict[str, float]:
    asked = max(1, result["asked"])
    out = {
        "worth": result["worth"],
        "executions an ask": result["executions"] / asked,
        "tries an ask": result["tries"] / asked,
        "refused": result["kinds"].get("refused", 0) / asked,
        "failed": (result["kinds"].get("failed", 0) + result["kinds"].get("lost", 0)) / asked,
        "cut": result["kinds"].get("cut", 0) / asked,
        "wasted tokens": result["wasted"] / max(1, result["made"] + result["prompt_read"]),
        "prompt reused": result["prompt_reused"] / max(1, result["prompt_read"] + result["prompt_reused"]),
    }
    worths = [w / a for w, a in zip(result["series"]["worth"], result["series"]["asked"], strict=True) if a]
    windows = [sum(worths[n : n + 10]) / 10 for n in range(max(1, len(worths) - 9))]
    out["worst 10 s"] = min(windows) if len(worths) >= 10 else min(worths, default=0.0)
    for name, value in result["by_class"].items():
        out[f"class {name}"] = value
    if len(result["by_tenant"]) > 1:
        out["worst tenant"] = min(result["by_tenant"].values())
    for name, waits in result["first"].items():
        if waits:
            out[f"first token p50, {name}"] = float(np.quantile(waits, 0.5))
            out[f"first token p99, {name}"] = float(np.quantile(waits, 0.99))
    devices, waits = result.get("devices") or {}, result.get("device_waits") or []
    if devices.get("asked"):
        out["devices served"] = devices.get("held served", 0) / devices["asked"]
        out["attempts a device's ask"] = devices["attempts"] / devices["asked"]
        if waits:
            out["device wait p50"] = float(np.quantile(waits, 0.5))
            out["device wait p99"] = float(np.quantile(waits, 0.99))
    precision, recall, delay = detection(result)
    if result["sick"]:
        out["ejection precision"], out["ejection recall"] = precision, recall
        if recall:
            out["seconds to eject"] = delay
    return out


def detection(result: dict[str, Any]) -> tuple[float, float, float]:
    """Compares ejections with the injected faults: precision, recall, and the mean time from the start of a fault
    to the first ejection."""
    sick = result["sick"]
    hits = 0
    first_hits: dict[int, float] = {}
    for at, _, name in result["ejections"]:
        for number, (since, until, other) in enumerate(sick):
            if name == other and since <= at <= until + 1.0:
                hits += 1
                first_hits.setdefault(number, at - since)
    count = len(result["ejections"])
    precision = hits / count if count else 1.0
    recall = len(first_hits) / len(sick) if sick else 1.0
    return precision, recall, sum(first_hits.values()) / len(first_hits) if first_hits else 0.0


def compare(store: Store, other: str, base: str = "base") -> Comparison:
    first, second = store.results(base), store.results(other)
    seeds = sorted(first.keys() & second.keys())
    out = Comparison(base, other, len(seeds))
    if not seeds:
        return out
    rows = [(measures(first[seed]), measures(second[seed])) for seed in seeds]
    for name in rows[0][0]:
        pairs = [(one[name], two[name]) for one, two in rows if name in one and name in two]
        if not pairs:
            continue
        differences = [two - one for one, two in pairs]
        low, high = bootstrap(differences) if len(pairs) > 1 else (differences[0], differences[0])
        out.differences.append(
            Difference(
                name, float(np.mean([one for one, _ in pairs])), float(np.mean([two for _, two in pairs])),
                float(np.mean(differences)), low, high, len(pairs),
            )
        )  # fmt: skip
    return out

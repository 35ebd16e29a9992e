"""Reduces a scenario that breaks a rule while it still breaks the same rule (delta debugging, Zeller 2002).

Reductions are tried from large to small: time after the breach, faults, routers, servers, load, zones, classes. Each
try is a complete run with the same seed, so the resulting scenario and seed reproduce the breach.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import msgspec

from pearstall.lab.world import Scenario, play


@dataclass(slots=True)
class Shrunk:
    scenario: Scenario
    seed: int
    breach: str
    tries: int
    size: str


def rule_of(breach: str) -> str:
    """Returns the text of a breach without its seed, time, ids and numbers."""
    return re.sub(r"[0-9.]+", "#", breach.partition(" s: ")[2])


def size_of(scenario: Scenario) -> str:
    return (
        f"{scenario.seconds:g} s, {scenario.routers} routers, {scenario.servers} servers, "
        f"{len(scenario.faults)} faults, "
        f"{scenario.most_rate:g} asks per second"
    )


def _smaller(scenario: Scenario, at: float) -> Iterator[Scenario]:
    replace = msgspec.structs.replace
    if at + 1.0 < scenario.seconds * 0.9:
        yield replace(scenario, seconds=at + 1.0)
    for number in range(len(scenario.faults)):
        yield replace(scenario, faults=scenario.faults[:number] + scenario.faults[number + 1 :])
    for divisor in (2, 1.3):
        if scenario.routers > 1:
            yield replace(scenario, routers=max(1, int(scenario.routers / divisor)))
        if scenario.servers > 2:
            yield replace(scenario, servers=max(2, int(scenario.servers / divisor)))
        if scenario.most_rate > 1:
            rate = scenario.rate
            yield replace(
                scenario, most_rate=scenario.most_rate / divisor, rate=lambda t, r=rate, p=divisor: r(t) / p
            )
    if scenario.zones > 1:
        yield replace(scenario, zones=1)
    if len(scenario.classes) > 1:
        for number in range(len(scenario.classes)):
            yield replace(scenario, classes=scenario.classes[:number] + scenario.classes[number + 1 :])


def shrink(
    scenario: Scenario, seed: int, most: int = 60, progress: Callable[[int, str], object] = lambda n, size: None
) -> Shrunk | None:
    """Returns None if that seed breaks no rule. `most`: largest number of runs."""
    first_run = play(scenario, seed)
    if not first_run.breaches:
        return None
    rule, breach, tries = rule_of(first_run.breaches[0]), first_run.breaches[0], 1
    improved = True
    while improved and tries < most:
        improved = False
        at = float(breach.partition(", ")[2].partition(" s:")[0])
        for smaller in _smaller(scenario, at):
            if tries >= most:
                break
            tries += 1
            same_rule = [text for text in play(smaller, seed).breaches if rule_of(text) == rule]
            if same_rule:
                scenario, breach, improved = smaller, same_rule[0], True
                progress(tries, size_of(scenario))
                break
    return Shrunk(scenario, seed, breach, tries, size_of(scenario))

"""A scenario that breaks a rule, made smaller while it still breaks the same one (delta debugging, Zeller 2002).

What can go is tried from large to small: time behind the breach, faults, routers, servers, zones, load. Each try is a
whole run of the same seed, so the result is a scenario and a seed that anybody can replay.
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
    """The breach without its seed, time, ids and numbers."""
    return re.sub(r"[0-9.]+", "#", breach.partition(" s: ")[2])


def size_of(scenario: Scenario) -> str:
    return (
        f"{scenario.seconds:g} s, {scenario.routers} routers, {scenario.servers} servers, "
        f"{len(scenario.faults)} faults, "
        f"{scenario.most_rate:g} asks a second"
    )


def _smaller(scenario: Scenario, at: float) -> Iterator[Scenario]:
    change = msgspec.structs.replace
    if at + 1.0 < scenario.seconds * 0.9:
        yield change(scenario, seconds=at + 1.0)
    for number in range(len(scenario.faults)):
        yield change(scenario, faults=scenario.faults[:number] + scenario.faults[number + 1 :])
    for part in (2, 1.3):
        if scenario.routers > 1:
            yield change(scenario, routers=max(1, int(scenario.routers / part)))
        if scenario.servers > 2:
            yield change(scenario, servers=max(2, int(scenario.servers / part)))
        if scenario.most_rate > 1:
            rate = scenario.rate
            yield change(scenario, most_rate=scenario.most_rate / part, rate=lambda t, r=rate, p=part: r(t) / p)
    if scenario.zones > 1:
        yield change(scenario, zones=1)
    if len(scenario.classes) > 1:
        for number in range(len(scenario.classes)):
            yield change(scenario, classes=scenario.classes[:number] + scenario.classes[number + 1 :])


def shrink(
    scenario: Scenario, seed: int, most: int = 60, progress: Callable[[int, str], object] = lambda n, size: None
) -> Shrunk | None:
    """None where that seed breaks no rule. `most`: runs tried."""
    found = play(scenario, seed)
    if not found.breaches:
        return None
    rule, breach, tries = rule_of(found.breaches[0]), found.breaches[0], 1
    improved = True
    while improved and tries < most:
        improved = False
        at = float(breach.partition(", ")[2].partition(" s:")[0])
        for smaller in _smaller(scenario, at):
            if tries >= most:
                break
            tries += 1
            again = [text for text in play(smaller, seed).breaches if rule_of(text) == rule]
            if again:
                scenario, breach, improved = smaller, again[0], True
                progress(tries, size_of(scenario))
                break
    return Shrunk(scenario, seed, breach, tries, size_of(scenario))

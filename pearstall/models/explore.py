"""Explicit-state model checking of real objects: explores every ordering of a few events.

The search is breadth first, so the first breach found has a shortest sequence. A *machine* wraps real objects: it
lists the events that are enabled, applies one, and returns its canonical state. Visited states are stored as BLAKE3
digests. A state is restored by replaying its sequence from the start, because the product's timers and callbacks are
closures over its objects, which copying would not rebind. See Holzmann, *The Model Checker SPIN* (1997). The
partial-order reduction uses Godefroid's sleep sets (1996): two independent events are explored in one order only.
"""

from __future__ import annotations

import concurrent.futures
import multiprocessing
import os
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass, field
from typing import Any, Protocol

from blake3 import blake3

DIGEST = 12  # bytes; with ten million states the probability of a collision is 1 in 10^15
CHUNK = 400  # states per task of a worker process


class Machine(Protocol):
    """Events are identified by name; a name means the same event in every state."""

    def events(self) -> list[str]: ...

    def apply(self, event: str) -> None: ...

    def state(self) -> object:
        """Returns the canonical state: all that distinguishes two states, with ids renamed and times relative."""

    def breaches(self) -> list[str]:
        """Returns the properties that the last step or the state violates, as `name: description`."""

    def applied(self) -> Iterable[str]:
        """Returns the properties that the last step exercised, because their premise held."""

    def settle(self) -> list[str]:
        """Runs a fair environment until no timer is pending; returns breaches of the liveness properties."""


@dataclass(frozen=True, slots=True)
class Property:
    """A property to check; `source` names the rule that it formalises."""

    name: str
    source: str
    says: str


NO_EXCEPTION = Property(
    "no-exception", "exceptions stop at the connection", "No event lets an exception escape the machine."
)


@dataclass(frozen=True, slots=True)
class Model:
    """A machine with its properties.

    `shapes` are named configurations, each a factory of a machine. `independent` says whether two events commute in
    every state; the tests compare the reduced search with the full one.
    """

    name: str
    says: str
    properties: tuple[Property, ...]
    shapes: dict[str, Callable[[], Machine]]
    depths: dict[str, tuple[int, int]]  # per shape: in CI, and with --deep
    independent: Callable[[str, str], bool] = lambda one, other: False


@dataclass(slots=True)
class Breach:
    """A violated property and a shortest sequence of events that leads to it."""

    model: str
    shape: str
    what: str
    sequence: list[str]

    @property
    def property(self) -> str:
        return self.what.partition(":")[0]


@dataclass(slots=True)
class SearchResult:
    """The outcome and statistics of a search."""

    model: str
    shape: str
    depth: int = 0
    states: int = 0
    transitions: int = 0
    slept: int = 0  # transitions skipped by the reduction
    whole: bool = False  # the state space was exhausted at that depth
    seconds: float = 0.0
    settled: int = 0
    breach: Breach | None = None
    applied: Counter[str] = field(default_factory=Counter)
    events: Counter[str] = field(default_factory=Counter)
    levels: list[int] = field(default_factory=list)

    def as_dict(self) -> dict[str, Any]:
        out: dict[str, Any] = {name: getattr(self, name) for name in self.__slots__}
        out["breach"] = asdict(self.breach) if self.breach is not None else None
        return out


def digest(machine: Machine) -> bytes:
    return blake3(repr(machine.state()).encode()).digest(DIGEST)


def replayed(make: Callable[[], Machine], names: Iterable[str]) -> Machine:
    machine = make()
    for name in names:
        machine.apply(name)
    return machine


def step(machine: Machine, event: str) -> list[str]:
    """Applies an event and returns the breaches. An exception violates `no-exception`, which every machine has."""
    try:
        machine.apply(event)
    except Exception as error:
        return [f"{NO_EXCEPTION.name}: {type(error).__name__}: {error}"]
    return machine.breaches()


def settled(machine: Machine) -> list[str]:
    try:
        return machine.settle()
    except Exception as error:
        return [f"{NO_EXCEPTION.name}: {type(error).__name__}: {error}"]


def fire_due_timers(machine: Machine, has_timer: Callable[[], bool], most: int = 300) -> list[str]:
    """Fires timers until none is pending, and returns the first breach on the way."""
    for _ in range(most):
        if not has_timer():
            break
        machine.apply("tick")
        if broken := machine.breaches():
            return broken
    return []


def kind_of(event: str) -> str:
    return event.partition(" ")[0]


@dataclass(slots=True)
class _ChunkResult:
    """The result of expanding one chunk of a level."""

    children: list[tuple[bytes, tuple[str, ...], frozenset[str]]] = field(default_factory=list)
    transitions: int = 0
    slept: int = 0
    settled: int = 0
    applied: Counter[str] = field(default_factory=Counter)
    events: Counter[str] = field(default_factory=Counter)
    breach: tuple[tuple[str, ...], str] | None = None


# A sequence, its sleep set and, where the state was visited before, the only events to explore: those that left its
# sleep set.
Node = tuple[tuple[str, ...], frozenset[str], frozenset[str] | None]


def expand(
    make: Callable[[], Machine], nodes: list[Node], independent: Callable[[str, str], bool] | None, last: bool
) -> _ChunkResult:
    """Applies every enabled event to each state. At the `last` level, new states are settled and not expanded."""
    out = _ChunkResult()
    seen: set[bytes] = set()
    for sequence, sleep_set, only in nodes:
        machine: Machine | None = replayed(make, sequence)
        assert machine is not None
        names = machine.events()
        explored: list[str] = []
        for name in names:
            if only is not None and name not in only:
                explored.append(name)
                continue
            if name in sleep_set:
                out.slept += 1
                continue
            one = machine if machine is not None else replayed(make, sequence)
            machine = None
            out.transitions += 1
            out.events[kind_of(name)] += 1
            broken = step(one, name)
            out.applied.update(one.applied())
            key = digest(one)
            if not broken and last and key not in seen:
                broken = settled(one)
                out.settled += 1
            if broken:
                result = (*sequence, name), broken[0]
                if out.breach is None or len(result[0]) < len(out.breach[0]):
                    out.breach = result
                continue
            child_sleep_set: frozenset[str] = frozenset()
            if independent is not None:
                child_sleep_set = frozenset(other for other in (*sleep_set, *explored) if independent(other, name))
            explored.append(name)
            if independent is not None or key not in seen:
                seen.add(key)
                out.children.append((key, (*sequence, name), child_sleep_set))
    return out


def _expand_chunk(module: str, model: str, shape: str, nodes: list[Node], reduce: bool, last: bool) -> _ChunkResult:
    from importlib import import_module

    chosen: Model = import_module(module).MODEL
    return expand(chosen.shapes[shape], nodes, chosen.independent if reduce else None, last)


def search(
    model: Model,
    shape: str,
    depth: int,
    module: str = "",
    workers: int = 1,
    reduce: bool = False,
    most: int = 5_000_000,
    progress: Callable[[SearchResult, int], object] = lambda result, left: None,
) -> SearchResult:
    """Searches breadth first to `depth` events or `most` states. Worker processes import the model from `module`."""
    make = model.shapes[shape]
    result = SearchResult(model.name, shape)
    began = time.perf_counter()
    first = digest(make())
    visited: dict[bytes, frozenset[str]] = {first: frozenset()}  # state -> its sleep set
    level: list[Node] = [((), frozenset(), None)]
    independent = model.independent if reduce else None
    pool = None
    if workers > 1:
        context = multiprocessing.get_context("spawn")
        pool = concurrent.futures.ProcessPoolExecutor(workers, mp_context=context)
    try:
        while level and result.depth < depth and len(visited) < most:
            last = result.depth + 1 == depth
            result.depth += 1
            fresh: list[Node] = []
            size = CHUNK if len(level) > workers * CHUNK else max(1, -(-len(level) // (4 * workers)))
            chunks = [level[at : at + size] for at in range(0, len(level), size)]
            parts: Iterable[_ChunkResult]
            if pool is not None and len(level) > 50:
                tasks = [
                    pool.submit(_expand_chunk, module, model.name, shape, chunk, reduce, last) for chunk in chunks
                ]
                parts = (task.result() for task in tasks)
            else:
                parts = (expand(make, chunk, independent, last) for chunk in chunks)
            breach: tuple[tuple[str, ...], str] | None = None
            for number, part in enumerate(parts):
                result.transitions += part.transitions
                result.slept += part.slept
                result.settled += part.settled
                result.applied.update(part.applied)
                result.events.update(part.events)
                if part.breach is not None and breach is None:
                    breach = part.breach
                for key, sequence, child_sleep_set in part.children:
                    before = visited.get(key)
                    if before is None:
                        visited[key] = child_sleep_set
                        fresh.append((sequence, child_sleep_set, None))
                    elif woken := before - child_sleep_set:
                        visited[key] = before & child_sleep_set
                        fresh.append((sequence, before & child_sleep_set, woken))
                result.states = len(visited)
                result.seconds = time.perf_counter() - began
                progress(result, len(chunks) - number - 1)
            result.levels.append(len(fresh))
            if breach is not None:
                result.breach = Breach(model.name, shape, breach[1], list(breach[0]))
                break
            level = fresh
        result.whole = not level
    finally:
        if pool is not None:
            pool.shutdown(cancel_futures=True)
    result.states, result.seconds = len(visited), time.perf_counter() - began
    return result


def cores() -> int:
    return min(8, os.cpu_count() or 1)


def shrunk(make: Callable[[], Machine], breach: Breach) -> Breach:
    """Removes events one by one as long as the rest still violates the same property."""
    names = breach.sequence
    again = True
    while again:
        again = False
        for at in range(len(names) - 1, -1, -1):
            fewer = names[:at] + names[at + 1 :]
            what = first_breach(make, fewer)
            if what is not None and what.partition(":")[0] == breach.property:
                names, again = fewer, True
                break
    return Breach(breach.model, breach.shape, first_breach(make, names) or breach.what, names)


def first_breach(make: Callable[[], Machine], names: Iterable[str]) -> str | None:
    """Returns the first breach of a sequence or of its settling; None if there is none or an event is not enabled."""
    machine = make()
    for name in names:
        if name not in machine.events():
            return None
        if broken := step(machine, name):
            return broken[0]
    left = settled(machine)
    return left[0] if left else None


def trace_states(make: Callable[[], Machine], names: Iterable[str]) -> list[tuple[str, str]]:
    """Returns each event of a sequence with the state after it, for display."""
    machine = make()
    out = [("", str(machine.state()))]
    for name in names:
        broken = step(machine, name)
        out.append((name, str(machine.state())))
        if broken:
            break
    return out

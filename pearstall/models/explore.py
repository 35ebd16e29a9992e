"""Explicit-state search over real objects: every ordering of a few events, breadth first, so that the first breach
has the shortest sequence.

A *machine* wraps real objects. It names the events that may happen now, applies one, and tells its canonical
state; the state's BLAKE3 digest is what is remembered of it. A state is restored by replaying its sequence from
the beginning: the product's timers and callbacks are closures over its objects, which no copy follows. After
Holzmann, *The Model Checker SPIN* (1997); the reduction is Godefroid's sleep sets (1996): of two independent
events one order is enough.
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

DIGEST = 12  # bytes: at ten million states two share one with a chance of 1 to 10^15
CHUNK = 400  # states that a worker expands at a time


class Machine(Protocol):
    """Events are names: the same name means the same thing in every state."""

    def events(self) -> list[str]: ...

    def apply(self, event: str) -> None: ...

    def state(self) -> object:
        """Whatever two states must differ in to be different; ids renamed, times relative."""

    def breaches(self) -> list[str]:
        """Properties that the last step, or the state, breaks: `name: what`."""

    def applied(self) -> Iterable[str]:
        """Properties that were put to the test by the last step: their premise held."""

    def settle(self) -> list[str]:
        """Lets a fair environment go on from here, until nothing is due. Breaches of what must then hold."""


@dataclass(frozen=True, slots=True)
class Property:
    """`source`: the rule that it stands for."""

    name: str
    source: str
    says: str


NO_EXCEPTION = Property("no-exception", "exceptions stop at the connection", "No event raises out of the machine.")


@dataclass(frozen=True, slots=True)
class Model:
    """A machine with its properties. `shapes`: named sizes, each a way to make one; `independent` says whether two
    events commute in every state, which the tests prove against the full search."""

    name: str
    says: str
    properties: tuple[Property, ...]
    shapes: dict[str, Callable[[], Machine]]
    depths: dict[str, tuple[int, int]]  # of each shape: in CI, and deep
    independent: Callable[[str, str], bool] = lambda one, other: False


@dataclass(slots=True)
class Breach:
    """A property broken, and the shortest sequence to it that there is."""

    model: str
    shape: str
    what: str
    sequence: list[str]

    @property
    def property(self) -> str:
        return self.what.partition(":")[0]


@dataclass(slots=True)
class Found:
    """What a search came to."""

    model: str
    shape: str
    depth: int = 0
    states: int = 0
    transitions: int = 0
    slept: int = 0  # transitions that the reduction left out
    whole: bool = False  # nothing new was left at that depth
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
    """Applies it; what is broken then. An exception breaks `no-exception`, which every machine has."""
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


def run_out(machine: Machine, due: Callable[[], bool], most: int = 300) -> list[str]:
    """Fires timers until none is due; the first breach on the way."""
    for _ in range(most):
        if not due():
            break
        machine.apply("tick")
        if broken := machine.breaches():
            return broken
    return []


def kind_of(event: str) -> str:
    return event.partition(" ")[0]


@dataclass(slots=True)
class _Part:
    """What a worker found from its share of a level."""

    children: list[tuple[bytes, tuple[str, ...], frozenset[str]]] = field(default_factory=list)
    transitions: int = 0
    slept: int = 0
    settled: int = 0
    applied: Counter[str] = field(default_factory=Counter)
    events: Counter[str] = field(default_factory=Counter)
    breach: tuple[tuple[str, ...], str] | None = None


# A sequence, the events that sleep behind it, and where it was met before: those that woke up, and only those.
Node = tuple[tuple[str, ...], frozenset[str], frozenset[str] | None]


def expand(
    make: Callable[[], Machine], nodes: list[Node], independent: Callable[[str, str], bool] | None, last: bool
) -> _Part:
    """All steps out of these states. `last`: what is new isn't gone on with, and a fair environment settles it."""
    out = _Part()
    seen: set[bytes] = set()
    for sequence, sleeping, only in nodes:
        machine: Machine | None = replayed(make, sequence)
        assert machine is not None
        names = machine.events()
        done: list[str] = []
        for name in names:
            if only is not None and name not in only:
                done.append(name)
                continue
            if name in sleeping:
                out.slept += 1
                continue
            one = machine if machine is not None else replayed(make, sequence)
            machine = None
            out.transitions += 1
            out.events[kind_of(name)] += 1
            broken = step(one, name)
            out.applied.update(one.applied())
            mark = digest(one)
            if not broken and last and mark not in seen:
                broken = settled(one)
                out.settled += 1
            if broken:
                found = (*sequence, name), broken[0]
                if out.breach is None or len(found[0]) < len(out.breach[0]):
                    out.breach = found
                continue
            asleep: frozenset[str] = frozenset()
            if independent is not None:
                asleep = frozenset(other for other in (*sleeping, *done) if independent(other, name))
            done.append(name)
            if independent is not None or mark not in seen:
                seen.add(mark)
                out.children.append((mark, (*sequence, name), asleep))
    return out


def _work(module: str, model: str, shape: str, nodes: list[Node], reduce: bool, last: bool) -> _Part:
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
    progress: Callable[[Found, int], object] = lambda found, left: None,
) -> Found:
    """Breadth first to `depth` events, or to `most` states. `module`: where worker processes find the model."""
    make = model.shapes[shape]
    found = Found(model.name, shape)
    began = time.perf_counter()
    first = digest(make())
    visited: dict[bytes, frozenset[str]] = {first: frozenset()}  # what sleeps in each
    level: list[Node] = [((), frozenset(), None)]
    independent = model.independent if reduce else None
    pool = None
    if workers > 1:
        context = multiprocessing.get_context("spawn")
        pool = concurrent.futures.ProcessPoolExecutor(workers, mp_context=context)
    try:
        while level and found.depth < depth and len(visited) < most:
            last = found.depth + 1 == depth
            found.depth += 1
            fresh: list[Node] = []
            size = CHUNK if len(level) > workers * CHUNK else max(1, -(-len(level) // (4 * workers)))
            chunks = [level[at : at + size] for at in range(0, len(level), size)]
            parts: Iterable[_Part]
            if pool is not None and len(level) > 50:
                tasks = [pool.submit(_work, module, model.name, shape, chunk, reduce, last) for chunk in chunks]
                parts = (task.result() for task in tasks)
            else:
                parts = (expand(make, chunk, independent, last) for chunk in chunks)
            breach: tuple[tuple[str, ...], str] | None = None
            for number, part in enumerate(parts):
                found.transitions += part.transitions
                found.slept += part.slept
                found.settled += part.settled
                found.applied.update(part.applied)
                found.events.update(part.events)
                if part.breach is not None and breach is None:
                    breach = part.breach
                for mark, sequence, asleep in part.children:
                    before = visited.get(mark)
                    if before is None:
                        visited[mark] = asleep
                        fresh.append((sequence, asleep, None))
                    elif woken := before - asleep:
                        visited[mark] = before & asleep
                        fresh.append((sequence, before & asleep, woken))
                found.states = len(visited)
                found.seconds = time.perf_counter() - began
                progress(found, len(chunks) - number - 1)
            found.levels.append(len(fresh))
            if breach is not None:
                found.breach = Breach(model.name, shape, breach[1], list(breach[0]))
                break
            level = fresh
        found.whole = not level
    finally:
        if pool is not None:
            pool.shutdown(cancel_futures=True)
    found.states, found.seconds = len(visited), time.perf_counter() - began
    return found


def cores() -> int:
    return min(8, os.cpu_count() or 1)


def shrunk(make: Callable[[], Machine], breach: Breach) -> Breach:
    """Events that the breach doesn't need are taken out, one by one; what is left breaks the same property."""
    names = breach.sequence
    again = True
    while again:
        again = False
        for at in range(len(names) - 1, -1, -1):
            fewer = names[:at] + names[at + 1 :]
            what = breaks(make, fewer)
            if what is not None and what.partition(":")[0] == breach.property:
                names, again = fewer, True
                break
    return Breach(breach.model, breach.shape, breaks(make, names) or breach.what, names)


def breaks(make: Callable[[], Machine], names: Iterable[str]) -> str | None:
    """The first breach of that sequence, or of its settling; None too where an event of it can't happen there."""
    machine = make()
    for name in names:
        if name not in machine.events():
            return None
        if broken := step(machine, name):
            return broken[0]
    left = settled(machine)
    return left[0] if left else None


def told(make: Callable[[], Machine], names: Iterable[str]) -> list[tuple[str, str]]:
    """Each event of a sequence with the state that it left, for people."""
    machine = make()
    out = [("", str(machine.state()))]
    for name in names:
        broken = step(machine, name)
        out.append((name, str(machine.state())))
        if broken:
            break
    return out

"""The third machine: the list of servers, on the real cluster, core and Router, behind a scripted discovery.

Discovery keeps a log of changes with an index. The watch tells them one by one; it may break and be resumed from
the index held, be told a snapshot instead, or meet a discovery that has forgotten what changed when. A name may
leave and come back, and an address may come back under another name, while an execution is out there.

Left out: a discovery that counts anew and has passed the index held before the watch is back. Nobody can tell its
changes from those that were missed; the search finds that at once (drain, snapshot, restart, gone).
"""

from __future__ import annotations

import contextlib
import io
from collections.abc import Callable, Iterable
from dataclasses import replace
from functools import partial

from pearstall.interface import ListKind, ReplicaList
from pearstall.models.attempt import RULES, Asked, Carrier, Clock
from pearstall.models.explore import Model, Property
from pearstall.net.cluster import Cluster
from pearstall.net.config import Names
from pearstall.net.core import Broken, Core, Execution, Query, Reach, Served
from pearstall.net.counters import Counters
from pearstall.net.deadlines import Deadlines
from pearstall.net.inventory import Host, HostList
from pearstall.net.platform import number_of

TICKS = 200
PATIENCE = 2.0

PROPERTIES = (
    Property("as-told", "lists", "The addresses held are those of the list as it was told, after every change."),
    Property("ready", "the rule on drains", "The Router takes for ready just what the told list says is ready."),
    Property("drain", "the rule on drains", "No execution goes to a server that the told list has not as ready."),
    Property("address", "lists", "An execution goes to the address that its server has in the told list."),
    Property("converges", "lists", "Once all is told, what is held is the truth, whatever broke on the way."),
    Property("answered", "the rule on final answers", "Whatever becomes of the list, every query comes to its end."),
    Property("never-two-out", "the rule on executions", "A change of the list never doubles an execution."),
    Property("asks-again", "lists", "A watch that broke is asked for again."),
    Property("freed", "nothing leaks", "What has left the list, and has nothing out, is not held."),
)

WATCHED = replace(RULES[False], subscribe=True)
Truth = dict[str, tuple[str, str]]  # name -> address, status


class Listing:
    """`changes`, `breaks`: how many at most; `asks`: queries."""

    def __init__(self, changes: int = 3, breaks: int = 1, asks: int = 1) -> None:
        self.clock, self.counters = Clock(), Counters()
        self.core = Core(WATCHED, 1, Deadlines(self.clock), self.counters, self)
        self.core.router.random = lambda: 0.3
        self.cluster = Cluster(self.core, Names(), None, now=lambda: 0.0)
        self.core.watch = self._watch
        self.changes, self.breaks = changes, breaks
        self.found: list[str] = []
        self.premises: set[str] = set()
        self.connected = False
        self.truth: Truth = {"a": ("x:1", "ready"), "b": ("y:1", "ready")}
        self.told: Truth = {}
        self.log: list[tuple[int, str, tuple[str, str]]] = []
        self.index = 1
        self.begun = False  # the whole list was told once
        self.sent = 1  # the last index that the open watch told
        self.asked = [Asked(number) for number in range(asks)]
        self.by_query: dict[int, Asked] = {}
        self.core.start()

    def _watch(self, on: bool) -> None:
        self.connected = on

    def start(self, execution: Execution) -> Carrier | None:
        asked = self.by_query[id(execution.query)]
        names = {number_of(name): name for name in ("a", "b", "c")}
        name = names[execution.replica]
        row = self.told.get(name)
        self.premises |= {"drain", "address"}
        if row is None or row[1] != "ready":
            self.found.append(f"drain: q{asked.number} goes to {name}, which the list has as {row}")
        where = self.cluster.addresses.get(execution.replica)
        if where is None:
            return None
        if row is not None and f"{where[0]}:{where[1]}" != row[0]:
            self.found.append(f"address: q{asked.number} goes to {where} for {name}, which is at {row[0]}")
        if asked.live() is not None:
            self.found.append(f"never-two-out: q{asked.number} again")
        carrier = Carrier()
        asked.runs.append(execution)
        asked.carriers.append(carrier)
        return carrier

    def events(self) -> list[str]:
        out = []
        if self.changes:
            for name, (_, status) in self.truth.items():
                out += [f"drain {name}"] if status == "ready" else []
                out += [f"gone {name}"] if status != "gone" else [f"back {name}"]
            if self.truth["a"][1] == "gone" and "c" not in self.truth:
                out.append("rename a")
        if self.connected and self.begun and self.sent < self.index:
            out.append("tell")
        if self.connected and not self.begun:
            out.append("snapshot")
        if self.breaks and self.connected and self.begun:
            out += ["break", "restart", "snapshot", "repeat"]
        if self.clock.due():
            out.append("tick")
        for asked in self.asked:
            if asked.query is None:
                out.append(f"ask q{asked.number}")
            elif not asked.over and asked.live() is not None:
                out += [f"end q{asked.number}", f"reset q{asked.number}"]
        return out

    def _take(self, rows: list[tuple[str, tuple[str, str]]], snapshot: bool, index: int) -> None:
        if snapshot:
            self.told = {}
        for name, row in rows:
            if row[1] == "gone":
                self.told.pop(name, None)
            else:
                self.told[name] = row
        hosts = [Host(name=name, address=address, status=status) for name, (address, status) in rows]
        self.cluster.take(
            HostList(index=index, snapshot=snapshot, hosts=hosts), ListKind.FULL if snapshot else ListKind.DELTA
        )

    def _snapshot(self) -> None:
        rows = [(name, row) for name, row in self.truth.items() if row[1] != "gone"]
        self.sent, self.begun = self.index, True
        self._take(rows, True, self.index)

    def apply(self, event: str) -> None:
        self.found, self.premises = [], set()
        kind, _, rest = event.partition(" ")
        with contextlib.redirect_stderr(io.StringIO()):
            if kind in ("drain", "gone", "back", "rename"):
                self._change(kind, rest)
            elif kind == "tell":
                rows = [(name, row) for at, name, row in self.log if at == self.sent + 1]
                self.sent += 1
                self._take(rows, False, self.sent)
            elif kind == "snapshot":
                self.breaks -= self.begun
                self._snapshot()
            elif kind == "repeat":  # a change told twice, as after a watch that was resumed one too early
                self.breaks -= 1
                rows = [(name, row) for at, name, row in self.log if at == self.sent]
                self._take(rows, False, self.sent)
            elif kind == "break":
                self.breaks -= 1
                self._lost()
            elif kind == "restart":  # discovery keeps its count, and forgets what changed when
                self.breaks -= 1
                self.log = []
                self._lost()
            elif kind == "tick":
                before = self.connected
                self.clock.fire()
                if self.connected and not before:
                    self._resumed()
            elif kind == "ask":
                asked = self.asked[int(rest[1:])]
                asked.query = Query(0, self.clock.now + PATIENCE, asked, txn=rest, prompt_tokens=100.0)
                self.by_query[id(asked.query)] = asked
                asked.handle = self.core.take(asked.query)
            else:
                run = self.asked[int(rest[1:])].live()
                assert run is not None
                asked = self.asked[int(rest[1:])]
                asked.carriers[asked.runs.index(run)].done = True
                if kind == "end":
                    self.core.received(run, b"%d.1" % run.number)
                    self.core.ended(run, Served())
                else:
                    self.core.ended(run, Broken(Reach.FULLY_WRITTEN, "reset"))

    def _lost(self) -> None:
        self.connected = False
        self.premises.add("asks-again")
        self.core.listed(ReplicaList(ListKind.FAILED))

    def _resumed(self) -> None:
        """Asked from the index held: the changes behind it, or all where that index is not this log's."""
        held = self.cluster.index
        oldest = self.log[0][0] if self.log else self.index + 1
        if 0 <= held <= self.index and held + 1 >= oldest:
            rows = [(name, row) for at, name, row in self.log if at > held]
            self.sent = self.index
            self._take(rows, False, self.index)
        else:
            self._snapshot()

    def _change(self, kind: str, name: str) -> None:
        self.changes -= 1
        self.index += 1
        if kind == "rename":
            name, row = "c", (self.truth["a"][0], "ready")
        else:
            row = (self.truth[name][0], {"drain": "draining", "gone": "gone", "back": "ready"}[kind])
        self.truth[name] = row
        self.log.append((self.index, name, row))

    def state(self) -> object:
        now, router = self.clock.now, self.core.router
        timers = sorted(
            (round((when - now) * 1e6), getattr(getattr(deadline.call, "func", deadline.call), "__qualname__", ""))
            for when, _, deadline in self.core.deadlines.heap
            if deadline.call is not None
        )
        queries = [
            (
                asked.query is not None,
                tuple(asked.said),
                tuple(
                    (run.replica, run.ended, one.given_up)
                    for run, one in zip(asked.runs, asked.carriers, strict=True)
                ),
            )
            for asked in self.asked
        ]
        replicas = sorted((one.id, one.ready, one.streams, one.consecutive_5xx) for one in router.replicas.values())
        return (
            self.connected,
            sorted(self.truth.items()),
            sorted(self.told.items()),
            self.index - self.sent,
            self.changes,
            self.breaks,
            queries,
            replicas,
            timers,
            router.subscribed,
            len(router.queued),
        )

    def breaches(self) -> list[str]:
        out = self.found
        told = {number_of(name): address for name, (address, _) in self.told.items()}
        held = {id: f"{where[0]}:{where[1]}" for id, where in self.cluster.addresses.items()}
        if told != held:
            out.append(f"as-told: {held} is held, and {told} was told")
        ready = {number_of(name) for name, (_, status) in self.told.items() if status == "ready"}
        router = self.core.router
        taken = {one.id for one in router.replicas.values() if one.ready}
        if ready != taken:
            out.append(f"ready: {sorted(taken)} are taken for ready, and {sorted(ready)} are")
        listed = {number_of(name) for name in self.told}
        idle = {one.id for one in router.replicas.values() if not one.streams and one.id not in listed}
        if idle:
            out.append(f"freed: {sorted(idle)} have left, and are held with nothing out")
        return out

    def applied(self) -> Iterable[str]:
        out = set(self.premises)
        if self.told:
            out |= {"as-told", "ready"}
        if any(len(asked.runs) > 1 for asked in self.asked):
            out.add("never-two-out")
        if len(self.told) < 2 and self.told:
            out.add("freed")
        return out

    def settle(self) -> list[str]:
        """Discovery goes on telling, and the watch is resumed; servers say nothing more."""
        for _ in range(TICKS):
            if self.connected and (self.sent < self.index or not self.begun):
                self.apply("tell" if self.begun else "snapshot")
            elif self.clock.due():
                self.apply("tick")
            else:
                break
            if broken := self.breaches():
                return broken
        true = {name: row for name, row in self.truth.items() if row[1] != "gone"}
        if self.told != true:
            return [f"converges: {self.told} is held in the end, and {true} is true"]
        open = [asked.number for asked in self.asked if asked.query is not None and not asked.over]
        return [f"answered: queries {open} never came to an end"] if open else []


SHAPES: dict[str, Callable[[], Listing]] = {
    "changes": partial(Listing, 4, 1, 1),
    "broken watch": partial(Listing, 2, 3, 1),
}
MODEL = Model(
    "list",
    "the list of servers: changes, broken watches, snapshots, names that come back",
    PROPERTIES,
    dict(SHAPES),
    {"changes": (8, 10), "broken watch": (8, 10)},
)

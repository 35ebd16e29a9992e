"""Model `list`: the list of servers, on the real cluster, core and Router, with a scripted discovery.

Discovery keeps an indexed log of changes, which the watch delivers one by one. The watch may break and resume from
the last index, receive a snapshot instead, or reconnect to a discovery that has lost its log. A name may leave and
come back, and an address may come back under another name, while an execution is in flight there.

Not modelled: a discovery that restarts its index and passes the watch's last index before the watch resumes. Its
changes can't be told from the missed ones; the search finds this at once (drain, snapshot, restart, gone).
"""

from __future__ import annotations

import contextlib
import io
from collections.abc import Callable, Iterable
from dataclasses import replace
from functools import partial

from pearstall.interface import ListKind, ReplicaList
from pearstall.models.attempt import SETTINGS_BY_SECOND_COPIES, Carrier, Clock, ScriptedClient
from pearstall.models.explore import Model, Property
from pearstall.net.cluster import Cluster
from pearstall.net.config import Names
from pearstall.net.core import Broken, Core, Execution, Query, Reach, Served
from pearstall.net.counters import Counters
from pearstall.net.deadlines import Deadlines
from pearstall.net.inventory import Host, HostList
from pearstall.net.platform import number_of

TICKS = 200
QUERY_TIMEOUT = 2.0  # seconds

PROPERTIES = (
    Property("as-told", "lists", "After every change, the addresses are those of the announced list."),
    Property(
        "ready",
        "the rule on drains",
        "The Router's ready replicas are exactly those that the announced list has as ready.",
    ),
    Property(
        "drain",
        "the rule on drains",
        "No execution is sent to a server that the announced list does not have as ready.",
    ),
    Property("address", "lists", "An execution is sent to its server's address in the announced list."),
    Property("converges", "lists", "Once all changes are announced, the list is correct, whatever broke before."),
    Property("answered", "the rule on final answers", "Every query ends, whatever happens to the list."),
    Property(
        "never-two-out", "the rule on executions", "A change of the list never causes a second concurrent execution."
    ),
    Property("asks-again", "lists", "A broken watch is requested again."),
    Property("freed", "nothing leaks", "A server that left the list and has nothing in flight is removed."),
)

WATCHED = replace(SETTINGS_BY_SECOND_COPIES[False], subscribe=True)
ServerRows = dict[str, tuple[str, str]]  # name -> address, status


class ListMachine:
    """The machine of this model; `changes` and `breaks` are maximum counts, `asks` is the number of queries."""

    def __init__(self, changes: int = 3, breaks: int = 1, asks: int = 1) -> None:
        self.clock, self.counters = Clock(), Counters()
        self.core = Core(WATCHED, 1, Deadlines(self.clock), self.counters, self)
        self.core.router.random = lambda: 0.3
        self.cluster = Cluster(self.core, Names(), None, now=lambda: 0.0)
        self.core.watch = self._watch
        self.changes, self.breaks = changes, breaks
        self.breaches_seen: list[str] = []
        self.premises: set[str] = set()
        self.connected = False
        self.actual: ServerRows = {"a": ("x:1", "ready"), "b": ("y:1", "ready")}
        self.announced: ServerRows = {}
        self.log: list[tuple[int, str, tuple[str, str]]] = []
        self.index = 1
        self.snapshot_received = False  # the watch has delivered the whole list
        self.sent = 1  # the last index that the open watch delivered
        self.clients = [ScriptedClient(number) for number in range(asks)]
        self.by_query: dict[int, ScriptedClient] = {}
        self.core.start()

    def _watch(self, on: bool) -> None:
        self.connected = on

    def start(self, execution: Execution) -> Carrier | None:
        client = self.by_query[id(execution.query)]
        names = {number_of(name): name for name in ("a", "b", "c")}
        name = names[execution.replica]
        row = self.announced.get(name)
        self.premises |= {"drain", "address"}
        if row is None or row[1] != "ready":
            self.breaches_seen.append(f"drain: q{client.number} is sent to {name}, which the list has as {row}")
        where = self.cluster.addresses.get(execution.replica)
        if where is None:
            return None
        if row is not None and f"{where[0]}:{where[1]}" != row[0]:
            self.breaches_seen.append(
                f"address: q{client.number} is sent to {where} for {name}, which is at {row[0]}"
            )
        if client.live_execution() is not None:
            self.breaches_seen.append(f"never-two-out: q{client.number} is sent again")
        carrier = Carrier()
        client.executions.append(execution)
        client.carriers.append(carrier)
        return carrier

    def events(self) -> list[str]:
        out = []
        if self.changes:
            for name, (_, status) in self.actual.items():
                out += [f"drain {name}"] if status == "ready" else []
                out += [f"gone {name}"] if status != "gone" else [f"back {name}"]
            if self.actual["a"][1] == "gone" and "c" not in self.actual:
                out.append("rename a")
        if self.connected and self.snapshot_received and self.sent < self.index:
            out.append("tell")
        if self.connected and not self.snapshot_received:
            out.append("snapshot")
        if self.breaks and self.connected and self.snapshot_received:
            out += ["break", "restart", "snapshot", "repeat"]
        if self.clock.has_timer():
            out.append("tick")
        for client in self.clients:
            if client.query is None:
                out.append(f"ask q{client.number}")
            elif not client.over and client.live_execution() is not None:
                out += [f"end q{client.number}", f"reset q{client.number}"]
        return out

    def _deliver(self, rows: list[tuple[str, tuple[str, str]]], snapshot: bool, index: int) -> None:
        if snapshot:
            self.announced = {}
        for name, row in rows:
            if row[1] == "gone":
                self.announced.pop(name, None)
            else:
                self.announced[name] = row
        hosts = [Host(name=name, address=address, status=status) for name, (address, status) in rows]
        self.cluster.take(
            HostList(index=index, snapshot=snapshot, hosts=hosts), ListKind.FULL if snapshot else ListKind.DELTA
        )

    def _snapshot(self) -> None:
        rows = [(name, row) for name, row in self.actual.items() if row[1] != "gone"]
        self.sent, self.snapshot_received = self.index, True
        self._deliver(rows, True, self.index)

    def apply(self, event: str) -> None:
        self.breaches_seen, self.premises = [], set()
        kind, _, rest = event.partition(" ")
        with contextlib.redirect_stderr(io.StringIO()):
            if kind in ("drain", "gone", "back", "rename"):
                self._change_list(kind, rest)
            elif kind == "tell":
                rows = [(name, row) for at, name, row in self.log if at == self.sent + 1]
                self.sent += 1
                self._deliver(rows, False, self.sent)
            elif kind == "snapshot":
                self.breaks -= self.snapshot_received
                self._snapshot()
            elif kind == "repeat":  # a change delivered twice, as by a watch resumed one index too early
                self.breaks -= 1
                rows = [(name, row) for at, name, row in self.log if at == self.sent]
                self._deliver(rows, False, self.sent)
            elif kind == "break":
                self.breaks -= 1
                self._disconnect()
            elif kind == "restart":  # discovery keeps its index, but loses its log
                self.breaks -= 1
                self.log = []
                self._disconnect()
            elif kind == "tick":
                before = self.connected
                self.clock.fire()
                if self.connected and not before:
                    self._resume()
            elif kind == "ask":
                client = self.clients[int(rest[1:])]
                client.query = Query(0, self.clock.now + QUERY_TIMEOUT, client, txn=rest, prompt_tokens=100.0)
                self.by_query[id(client.query)] = client
                client.handle = self.core.take(client.query)
            else:
                execution = self.clients[int(rest[1:])].live_execution()
                assert execution is not None
                client = self.clients[int(rest[1:])]
                client.carriers[client.executions.index(execution)].done = True
                if kind == "end":
                    self.core.received(execution, b"%d.1" % execution.number)
                    self.core.ended(execution, Served())
                else:
                    self.core.ended(execution, Broken(Reach.FULLY_WRITTEN, "reset"))

    def _disconnect(self) -> None:
        self.connected = False
        self.premises.add("asks-again")
        self.core.listed(ReplicaList(ListKind.FAILED))

    def _resume(self) -> None:
        """Delivers the changes after the client's index, or a snapshot if the log does not reach back so far."""
        last_index = self.cluster.index
        oldest = self.log[0][0] if self.log else self.index + 1
        if 0 <= last_index <= self.index and last_index + 1 >= oldest:
            rows = [(name, row) for at, name, row in self.log if at > last_index]
            self.sent = self.index
            self._deliver(rows, False, self.index)
        else:
            self._snapshot()

    def _change_list(self, kind: str, name: str) -> None:
        self.changes -= 1
        self.index += 1
        if kind == "rename":
            name, row = "c", (self.actual["a"][0], "ready")
        else:
            row = (self.actual[name][0], {"drain": "draining", "gone": "gone", "back": "ready"}[kind])
        self.actual[name] = row
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
                client.query is not None,
                tuple(client.final_answers),
                tuple(
                    (execution.replica, execution.ended, one.given_up)
                    for execution, one in zip(client.executions, client.carriers, strict=True)
                ),
            )
            for client in self.clients
        ]
        replicas = sorted((one.id, one.ready, one.streams, one.consecutive_5xx) for one in router.replicas.values())
        return (
            self.connected,
            sorted(self.actual.items()),
            sorted(self.announced.items()),
            self.index - self.sent,
            self.changes,
            self.breaks,
            queries,
            replicas,
            timers,
            router.subscription.open,
            len(router.queued),
        )

    def breaches(self) -> list[str]:
        out = self.breaches_seen
        announced = {number_of(name): address for name, (address, _) in self.announced.items()}
        stored = {id: f"{where[0]}:{where[1]}" for id, where in self.cluster.addresses.items()}
        if announced != stored:
            out.append(f"as-told: {stored} is stored, but {announced} was announced")
        ready = {number_of(name) for name, (_, status) in self.announced.items() if status == "ready"}
        router = self.core.router
        taken = {one.id for one in router.replicas.values() if one.ready}
        if ready != taken:
            out.append(f"ready: {sorted(taken)} are treated as ready, but {sorted(ready)} are")
        listed = {number_of(name) for name in self.announced}
        idle = {one.id for one in router.replicas.values() if not one.streams and one.id not in listed}
        if idle:
            out.append(f"freed: {sorted(idle)} have left with nothing in flight, but are still stored")
        return out

    def applied(self) -> Iterable[str]:
        out = set(self.premises)
        if self.announced:
            out |= {"as-told", "ready"}
        if any(len(client.executions) > 1 for client in self.clients):
            out.add("never-two-out")
        if len(self.announced) < 2 and self.announced:
            out.add("freed")
        return out

    def settle(self) -> list[str]:
        """Discovery delivers all changes and the watch resumes, without further events from servers."""
        for _ in range(TICKS):
            if self.connected and (self.sent < self.index or not self.snapshot_received):
                self.apply("tell" if self.snapshot_received else "snapshot")
            elif self.clock.has_timer():
                self.apply("tick")
            else:
                break
            if broken := self.breaches():
                return broken
        expected = {name: row for name, row in self.actual.items() if row[1] != "gone"}
        if self.announced != expected:
            return [f"converges: {self.announced} is the final list, but {expected} is correct"]
        open = [client.number for client in self.clients if client.query is not None and not client.over]
        return [f"answered: queries {open} never ended"] if open else []


SHAPES: dict[str, Callable[[], ListMachine]] = {
    "changes": partial(ListMachine, 4, 1, 1),
    "broken watch": partial(ListMachine, 2, 3, 1),
}
MODEL = Model(
    "list",
    "the list of servers: changes, broken watches, snapshots, names that come back",
    PROPERTIES,
    dict(SHAPES),
    {"changes": (8, 10), "broken watch": (8, 10)},
)

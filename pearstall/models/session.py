"""Model `session`: a device's session, on the real `Sessions` with its state table.

The core is scripted (the model `attempt` covers the real one), and so are two connections of one device, which may
read the same ask one after the other. The scripted device stores the records that it receives, and reports its
position accordingly.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

from pearstall.edge.keeping import Bounds
from pearstall.edge.records import Final, Problem
from pearstall.edge.sessions import Ask, Sessions, Tombstone
from pearstall.edge.states import HELD, RUNNING
from pearstall.edge.states import State as AskState
from pearstall.models.attempt import Clock
from pearstall.models.explore import Model, Property, fire_due_timers
from pearstall.net.core import Query
from pearstall.net.deadlines import Deadlines

BOUNDS = Bounds(linger=2.0, keep=4.0, remember=6.0, idle=8.0, ask_events=2, device_tombstones=2, device_asks=2)

PROPERTIES = (
    Property("one-final", "one final record", "An ask's final record is made once, and never changes."),
    Property(
        "order",
        "events once, in order",
        "A device receives each record once per connection, in order and without gaps.",
    ),
    Property("one-reader", "ownership", "An ask has one reader; a superseded reader receives nothing more."),
    Property("epoch", "ownership", "Epochs never decrease, and an ask's epoch never exceeds its session's."),
    Property(
        "nothing-lost",
        "nothing lost",
        "Records that a device has not acknowledged are kept until its ask is given up.",
    ),
    Property(
        "delivered", "one final record", "A reader that is not slow has all records at once, including the final one."
    ),
    Property(
        "withdrawn",
        "the core is notified",
        "The core is notified of a disconnected client once, and only for an open query.",
    ),
    Property("flow", "backpressure", "A full log pauses its server connection; any other log does not."),
    Property("books", "bounded and freed", "The usage counters match what is stored."),
    Property(
        "reachable", "nothing lost", "A returning reader finds the ask or its final record, or is told why not."
    ),
    Property("freed", "bounded and freed", "Without further events, every ask ends and the session is removed."),
)


class Core:
    """A scripted core, which gives final answers as events of the model."""

    def __init__(self) -> None:
        self.open: dict[int, Query] = {}
        self.paused: dict[int, bool] = {}
        self.gone: list[int] = []
        self.count = 0
        self.breaches_seen: list[str] = []

    def take(self, query: Query) -> int:
        self.count += 1
        query.handle = self.count
        self.open[self.count] = query
        self.paused[self.count] = False
        return self.count

    def client_gone(self, handle: int) -> None:
        if handle not in self.open:
            self.breaches_seen.append(f"withdrawn: query {handle} was not open")
        self.gone.append(handle)
        self.open.pop(handle, None)

    def pause(self, handle: int, paused: bool) -> None:
        if handle in self.open:
            self.paused[handle] = paused


class Connection:
    """A reader of one ask, which takes all available records unless it is slow."""

    def __init__(self, machine: SessionMachine, name: str, id: str) -> None:
        self.machine, self.name, self.id = machine, name, id
        self.at: int | None = None
        self.lost = False
        self.slow = False

    def attached(self, ask: Ask, last: int) -> None:
        self.at = last
        self.ready(ask)

    def ready(self, ask: Ask) -> None:
        if self.lost:
            self.machine.breaches_seen.append(
                f"one-reader: {self.name} of {self.id} receives records after it was superseded"
            )
            return
        if self.at is None or self.slow:
            return
        while events := ask.after(self.at, 8):
            for event in events:
                number = int(event[6:-2])
                if number != self.at + 1:
                    self.machine.breaches_seen.append(f"order: {self.name} is at {self.at} and receives {number}")
                    return
                self.at = number
                self.machine.receive_event(self.id, number)
        if ask.final is not None and self.at == ask.final.number - 1:
            self.at = ask.final.number
            self.machine.receive_final(self.id, ask.final)

    def superseded(self, ask: Ask) -> None:
        self.lost = True


class SessionMachine:
    """The machine of this model.

    `asks` is a count, `events` the maximum number of events of each ask, `evicts` how often memory may run short.
    """

    def __init__(self, asks: int = 1, events: int = 3, evicts: int = 1, slow: bool = False) -> None:
        self.clock, self.core = Clock(), Core()
        self.log_events: list[tuple[str, dict[str, Any]]] = []
        self.sessions = Sessions(
            self.core, Deadlines(self.clock), BOUNDS, lambda name, **more: self.log_events.append((name, more))
        )
        self.ids = [f"a{number}" for number in range(asks)]
        self.max_events, self.evicts, self.slow = events, evicts, slow
        self.memory_ran_short = False  # from then on, acknowledged and waiting asks may have been evicted
        self.breaches_seen: list[str] = []
        self.premises: set[str] = set()
        self.readers: dict[tuple[str, str], Connection] = {}
        self.highest_received: dict[str, int] = {}  # ask -> number of the last event that the device has
        self.final: dict[str, Final] = {}  # ask -> final record that the device has
        self.finals_made: dict[str, Final] = {}  # ask -> final record that the edge created
        self.since: dict[str, float] = {}  # ask -> when its final record was created
        self.made: dict[str, int] = {}
        self.asked: set[str] = set()
        self.epoch = 0

    # -- device --------------------------------------------------------------------------------------------

    def receive_event(self, id: str, number: int) -> None:
        self.premises.add("order")
        if number > self.highest_received.get(id, 0) + 1:
            self.breaches_seen.append(
                f"order: the device has {self.highest_received.get(id, 0)} of {id} and receives {number}"
            )
        self.highest_received[id] = max(self.highest_received.get(id, 0), number)

    def receive_final(self, id: str, final: Final) -> None:
        self.premises |= {"one-final", "nothing-lost"}
        before = self.final.setdefault(id, final)
        if before != final:
            self.breaches_seen.append(f"one-final: {id} received {before}, and then {final}")
        if final.kind == "served" and self.highest_received.get(id, 0) != final.number - 1:
            self.breaches_seen.append(
                f"nothing-lost: {id} ends with {final.number}, but the device has {self.highest_received.get(id, 0)}"
            )

    def _ask(self, id: str) -> Ask | Tombstone | None:
        session = self.sessions.find("d", "t")
        return session.find(id) if session is not None else None

    # -- machine -------------------------------------------------------------------------------------------

    def events(self) -> list[str]:
        out = []
        for number, id in enumerate(self.ids):
            if id not in self.asked:
                if number == 0 or self.ids[number - 1] in self.asked:
                    out.append(f"ask {id}")
                continue
            found = self._ask(id)
            if isinstance(found, Ask):
                if found.query is not None and found.query.handle in self.core.open:
                    if self.made.get(id, 0) < self.max_events and not self.core.paused[found.query.handle]:
                        out.append(f"event {id}")
                    out += [f"finish {id}", f"fail {id}"]
                    if self.made.get(id, 0):
                        out.append(f"cut {id}")
                out += [f"ack {id}", f"ack-beyond {id}", f"cancel {id}"]
            for name in ("A", "B"):
                reader = self.readers.get((id, name))
                if reader is not None and reader.lost:
                    out.append(f"detach {id} {name}")  # late: another connection owns the ask
                if reader is None or reader.lost:
                    out += [f"attach {id} {name}", f"attach-anew {id} {name}"]
                else:
                    out.append(f"detach {id} {name}")
                    if self.slow:
                        out.append(f"{'fast' if reader.slow else 'slow'} {id} {name}")
        if self.evicts:
            out.append("squeeze")
        if self.clock.has_timer():
            out.append("tick")
        return out

    def apply(self, event: str) -> None:
        self.breaches_seen, self.premises = [], set()
        self.core.breaches_seen = []
        kind, _, rest = event.partition(" ")
        if kind == "tick":
            self.clock.fire()
        elif kind == "squeeze":
            self.evicts -= 1
            self.memory_ran_short = True
            self.sessions.bounds = Bounds(
                **{name: getattr(BOUNDS, name) for name in BOUNDS.__struct_fields__}
                | {"all_bytes": 0, "tombstones": 0}
            )
            self.sessions.enforce_bounds()
            self.sessions.bounds = BOUNDS
        elif kind in ("attach", "attach-anew", "detach", "slow", "fast"):
            self._apply_to_reader(kind, *rest.split(" "))
        else:
            self._apply_to_ask(kind, rest)
        self._check_unchanged()

    def _check_unchanged(self) -> None:
        """Compares final records and epochs with their earlier values.

        This is not part of `breaches`, which is not called while a state is restored by replay.
        """
        session = self.sessions.find("d", "t")
        for id in self.ids:
            found = self._ask(id)
            current = found.final if found is not None else None
            if current is None:
                continue
            before = self.finals_made.setdefault(id, current)
            self.since.setdefault(id, self.clock.now)
            if (before.number, before.kind, before.reason) != (current.number, current.kind, current.reason):
                self.breaches_seen.append(f"one-final: {id} had {before}, and now has {current}")
        if session is not None:
            if session.epoch < self.epoch:
                self.breaches_seen.append(f"epoch: decreased from {self.epoch} to {session.epoch}")
            self.epoch = session.epoch

    def _apply_to_reader(self, kind: str, id: str, name: str) -> None:
        found = self._ask(id)
        if kind == "detach":
            reader = self.readers.pop((id, name))
            if isinstance(found, Ask):
                found.detach(reader)
            return
        if kind in ("slow", "fast"):
            reader = self.readers[id, name]
            reader.slow = kind == "slow"
            if kind == "fast" and isinstance(found, Ask) and found.owner is reader:
                reader.ready(found)
            return
        if not isinstance(found, Ask):
            self.premises.add("reachable")
            if found is None and id not in self.final and not self._may_be_forgotten(id):
                self.breaches_seen.append(f"reachable: {id} is unknown, though its final record was never fetched")
            return
        reader = Connection(self, name, id)
        last = (
            0
            if kind == "attach-anew"
            else self.final[id].number
            if id in self.final
            else self.highest_received.get(id, 0)
        )
        problem = found.attach(reader, last)
        if problem is None:
            self.premises |= {"one-reader", "epoch", "reachable"}
            self.readers[id, name] = reader
        elif isinstance(problem, Problem):
            self.readers.pop((id, name), None)
            if kind == "attach" and problem.code == "bad_position":
                self.breaches_seen.append(f"nothing-lost: {id} is refused its own position, {last}")
            if kind == "attach" and problem.code == "events_gone" and not self.memory_ran_short:
                self.breaches_seen.append(f"nothing-lost: {id} has {last}, but the following records are gone")

    def _may_be_forgotten(self, id: str) -> bool:
        """Returns whether the ask's record may have been removed: it expired unfetched, or memory ran short."""
        return self.memory_ran_short or self.clock.now - self.since.get(id, self.clock.now) >= BOUNDS.remember

    def _apply_to_ask(self, kind: str, id: str) -> None:
        if kind == "ask":
            self.asked.add(id)
            session = self.sessions.open("d", "t")
            assert not isinstance(session, Problem)
            self.sessions.ask(session, id, b"", BOUNDS.linger, lambda ask: Query(0, 1e9, ask, txn=id))
            return
        found = self._ask(id)
        assert isinstance(found, Ask)
        if kind == "event":
            self.made[id] = number = self.made.get(id, 0) + 1
            found.pass_on(b"data: %d\n\n" % number)
        elif kind in ("finish", "fail", "cut"):
            assert found.query is not None
            del self.core.open[found.query.handle]
            {"finish": found.finish, "fail": lambda: found.fail(False), "cut": found.cut}[kind]()
        elif kind == "ack":
            problem = found.acknowledge(
                self.final[id].number if id in self.final else self.highest_received.get(id, 0)
            )
            if problem is not None:
                self.breaches_seen.append(
                    f"nothing-lost: {id} may not acknowledge what it received: {problem.detail}"
                )
        elif kind == "ack-beyond":
            if found.acknowledge(found.latest + 1) is None:
                self.breaches_seen.append(f"nothing-lost: {id} acknowledged a record that was never sent")
        elif kind == "cancel":
            before = found.final
            final = found.cancel()
            self.premises.add("one-final")
            if before is not None and final != before:
                self.breaches_seen.append(f"one-final: a cancel changed {before} into {final}")

    def state(self) -> object:
        now = self.clock.now
        sessions = self.sessions
        session = sessions.find("d", "t")
        asks = []
        for id in self.ids:
            found = self._ask(id)
            stored: Any = None
            if isinstance(found, Ask):
                stored = (
                    int(found.state),
                    found.first,
                    len(found.events),
                    found.final,
                    found.full,
                    found.owner.name if isinstance(found.owner, Connection) else "",
                    found.query is not None and found.query.handle in self.core.open,
                    found.timer is not None,
                )
            elif found is not None:
                stored = found.final
            asks.append(
                (id in self.asked, stored, self.highest_received.get(id, 0), id in self.final, self.made.get(id, 0))
            )
        readers = sorted((id, name, one.at, one.lost, one.slow) for (id, name), one in self.readers.items())
        timers = sorted(
            (round((when - now) * 1e3), getattr(deadline.call, "__qualname__", ""))
            for when, _, deadline in sessions.deadlines.heap
            if deadline.call is not None
        )
        return (
            asks,
            readers,
            timers,
            self.evicts,
            session is not None,
            tuple(round(now - one.since, 3) for one in sessions.ended_away),
            tuple(round(now - (session.tombstones or {})[id].since, 3) for session, id in sessions.tombstones_by_age),
        )

    def breaches(self) -> list[str]:
        out = self.breaches_seen + self.core.breaches_seen
        finals = [row["ask"] for name, row in self.log_events if name == "final"]
        for id in self.ids:
            if finals.count(id) > 1:
                out.append(f"one-final: the final record of {id} was made {finals.count(id)} times")
            found = self._ask(id)
            if isinstance(found, Ask):
                out += self._check_ask(id, found)
        return out + self._check_usage()

    def _check_ask(self, id: str, ask: Ask) -> list[str]:
        out = []
        if (ask.state in HELD) != (ask.owner is not None):
            out.append(f"one-reader: {id} is {ask.state.name} and its reader is {ask.owner}")
        if (ask.state in RUNNING) != (ask.final is None):
            out.append(f"one-final: {id} is {ask.state.name} with {ask.final}")
        owners = [one for (other, _), one in self.readers.items() if other == id and not one.lost]
        if owners != ([ask.owner] if ask.owner is not None else []):
            out.append(f"one-reader: {id} has {len(owners)} readers that were not superseded")
        if isinstance(ask.owner, Connection) and not ask.owner.slow:
            self.premises.add("delivered")
            if ask.owner.at != ask.latest:
                out.append(f"delivered: {ask.owner.name} has {ask.owner.at} of {id}, but {ask.latest} is available")
            if ask.final is not None and id not in self.final:
                out.append(f"delivered: {id} has ended, but {ask.owner.name} did not receive its final record")
        if ask.epoch > ask.session.epoch:
            out.append(f"epoch: {id} has {ask.epoch}, but its session has {ask.session.epoch}")
        if ask.query is not None and ask.query.handle in self.core.open:
            if self.core.paused[ask.query.handle] != ask.full:
                out.append(f"flow: the log of {id} is {'full' if ask.full else 'open'}, but its connection is not")
            if ask.full != (len(ask.events) > BOUNDS.ask_events) and not ask.full:
                out.append(f"flow: {len(ask.events)} events of {id} are stored, but its connection is not paused")
            self.premises.add("flow")
        if (ask.query is not None) != (ask.state in RUNNING):
            out.append(f"withdrawn: {id} is {ask.state.name} and its query is {ask.query is not None}")
        if not self.memory_ran_short and ask.first - 1 > self.highest_received.get(id, 0):
            out.append(
                f"nothing-lost: {id} dropped {ask.first - 1} events, device has {self.highest_received.get(id, 0)}"
            )
        return out

    def _check_usage(self) -> list[str]:
        sessions, out = self.sessions, []
        asks = [ask for one in sessions for ask in (one.asks or {}).values()]
        usage = sessions.usage
        for name, counted, actual in (
            ("bytes", usage.bytes, sum(len(event) for ask in asks for event in ask.events)),
            ("running", sessions.running, sum(ask.state in RUNNING for ask in asks)),
            ("running away", usage.running_away, sum(ask.state == AskState.RUNNING_AWAY for ask in asks)),
            ("ended away", usage.ended_away, sum(ask.state == AskState.ENDED_AWAY for ask in asks)),
            ("tombstones", usage.tombstones, sum(len(one.tombstones or ()) for one in sessions)),
            ("pools", len(sessions.running_away) + len(sessions.ended_away), usage.running_away + usage.ended_away),
            ("tombstones by age", len(sessions.tombstones_by_age), usage.tombstones),
            ("open queries", len(self.core.open), sessions.running),
        ):
            if counted != actual:
                out.append(f"books: {counted} {name} are counted, but there are {actual}")
        return out

    def applied(self) -> Iterable[str]:
        out = set(self.premises)
        if self.asked:
            out |= {"books", "epoch"}
        if self.core.gone:
            out.add("withdrawn")
        return out

    def settle(self) -> list[str]:
        """Disconnects all readers, and lets time pass until no timer is left."""
        for (id, name), reader in list(self.readers.items()):
            if not reader.lost:
                self.apply(f"detach {id} {name}")
                if broken := self.breaches():
                    return broken
        if broken := fire_due_timers(self, self.clock.has_timer):
            return broken
        remaining = {
            "sessions": len(self.sessions.by_name),
            "queries": len(self.core.open),
            "timers": len(self.sessions.deadlines),
            "tombstones": len(self.sessions.tombstones_by_age),
        }
        left = {name: count for name, count in remaining.items() if count}
        return [f"freed: {left}"] if left else []


SHAPES: dict[str, Callable[[], SessionMachine]] = {
    "one ask": partial(SessionMachine, 1, 3, 1),
    "two asks": partial(SessionMachine, 2, 1, 1),
    "slow readers": partial(SessionMachine, 1, 4, 0, True),
}
MODEL = Model(
    "session",
    "a device's session: attach, resume, supersede, acknowledge, cancel, linger, eviction",
    PROPERTIES,
    dict(SHAPES),
    {"one ask": (8, 10), "two asks": (6, 8), "slow readers": (8, 10)},
)

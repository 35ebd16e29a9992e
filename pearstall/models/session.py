"""The second machine: a device's session, on the real `Sessions` with its table of states.

The core is scripted (it is the first machine's), and so are two connections of one device, which may read the same
ask one after the other. The device itself is real enough to hold records: what it holds decides what it says it
has.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

from pearstall.edge.keeping import Bounds
from pearstall.edge.records import Final, Problem
from pearstall.edge.sessions import Ask, Sessions, Tombstone
from pearstall.edge.states import HELD, RUNNING
from pearstall.edge.states import State as At
from pearstall.models.attempt import Clock
from pearstall.models.explore import Model, Property, run_out
from pearstall.net.core import Query
from pearstall.net.deadlines import Deadlines

BOUNDS = Bounds(linger=2.0, keep=4.0, remember=6.0, idle=8.0, ask_events=2, device_tombstones=2, device_asks=2)

PROPERTIES = (
    Property("one-final", "one final record", "An ask's final record is made once, and never changes."),
    Property(
        "order", "events once, in order", "A device is given each record once a connection, in order, without a gap."
    ),
    Property("one-reader", "ownership", "An ask has one reader; one that was superseded is given nothing more."),
    Property("epoch", "ownership", "Epochs never go back, and an ask's is never above its session's."),
    Property(
        "nothing-lost", "nothing lost", "What a device has not acknowledged is there until its ask is given up."
    ),
    Property("delivered", "one final record", "A reader with room has all records, the final one too, at once."),
    Property(
        "withdrawn", "the core is told", "The core hears that a client has gone once, and only of an open query."
    ),
    Property("flow", "backpressure", "A full log holds its server link up, and one with room does not."),
    Property("books", "bounded and freed", "What the books say is held is what is held."),
    Property("reachable", "nothing lost", "Whoever comes back finds the ask, its final record, or is told why not."),
    Property("freed", "bounded and freed", "Left alone, every ask ends, and nothing of the session stays."),
)


class Core:
    """In place of the core: it gives final answers when the model says so."""

    def __init__(self) -> None:
        self.open: dict[int, Query] = {}
        self.paused: dict[int, bool] = {}
        self.gone: list[int] = []
        self.count = 0
        self.odd: list[str] = []

    def take(self, query: Query) -> int:
        self.count += 1
        query.handle = self.count
        self.open[self.count] = query
        self.paused[self.count] = False
        return self.count

    def client_gone(self, handle: int) -> None:
        if handle not in self.open:
            self.odd.append(f"withdrawn: query {handle} was not open")
        self.gone.append(handle)
        self.open.pop(handle, None)

    def pause(self, handle: int, paused: bool) -> None:
        if handle in self.open:
            self.paused[handle] = paused


class Connection:
    """A reader of one ask: takes all there is, unless it is slow."""

    def __init__(self, machine: Sessions_, name: str, id: str) -> None:
        self.machine, self.name, self.id = machine, name, id
        self.at: int | None = None
        self.lost = False
        self.slow = False

    def attached(self, ask: Ask, last: int) -> None:
        self.at = last
        self.ready(ask)

    def ready(self, ask: Ask) -> None:
        if self.lost:
            self.machine.found.append(f"one-reader: {self.name} of {self.id} is given more though it was superseded")
            return
        if self.at is None or self.slow:
            return
        while events := ask.after(self.at, 8):
            for event in events:
                number = int(event[6:-2])
                if number != self.at + 1:
                    self.machine.found.append(f"order: {self.name} holds {self.at} and is given {number}")
                    return
                self.at = number
                self.machine.hold(self.id, number)
        if ask.final is not None and self.at == ask.final.number - 1:
            self.at = ask.final.number
            self.machine.hold_final(self.id, ask.final)

    def superseded(self, ask: Ask) -> None:
        self.lost = True


class Sessions_:
    """`asks`: how many; `events`: of each, at most; `evicts`: times that room runs short."""

    def __init__(self, asks: int = 1, events: int = 3, evicts: int = 1, slow: bool = False) -> None:
        self.clock, self.core = Clock(), Core()
        self.notes: list[tuple[str, dict[str, Any]]] = []
        self.sessions = Sessions(
            self.core, Deadlines(self.clock), BOUNDS, lambda name, **more: self.notes.append((name, more))
        )
        self.ids = [f"a{number}" for number in range(asks)]
        self.most_events, self.evicts, self.slow = events, evicts, slow
        self.squeezed = False  # room was wanted: what is acknowledged or waits may have gone
        self.found: list[str] = []
        self.premises: set[str] = set()
        self.readers: dict[tuple[str, str], Connection] = {}
        self.holds: dict[str, int] = {}  # the highest event that the device holds
        self.final: dict[str, Final] = {}  # that the device holds
        self.stands: dict[str, Final] = {}  # that the edge has made
        self.since: dict[str, float] = {}  # when it made it
        self.made: dict[str, int] = {}
        self.asked: set[str] = set()
        self.epoch = 0

    # -- the device ----------------------------------------------------------------------------------------

    def hold(self, id: str, number: int) -> None:
        self.premises.add("order")
        if number > self.holds.get(id, 0) + 1:
            self.found.append(f"order: the device holds {self.holds.get(id, 0)} of {id} and is given {number}")
        self.holds[id] = max(self.holds.get(id, 0), number)

    def hold_final(self, id: str, final: Final) -> None:
        self.premises |= {"one-final", "nothing-lost"}
        before = self.final.setdefault(id, final)
        if before != final:
            self.found.append(f"one-final: {id} was told {before}, and then {final}")
        if final.kind == "served" and self.holds.get(id, 0) != final.number - 1:
            self.found.append(f"nothing-lost: {id} ends with {final.number} and {self.holds.get(id, 0)} are held")

    def _ask(self, id: str) -> Ask | Tombstone | None:
        session = self.sessions.find("d", "t")
        return session.find(id) if session is not None else None

    # -- the machine ---------------------------------------------------------------------------------------

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
                    if self.made.get(id, 0) < self.most_events and not self.core.paused[found.query.handle]:
                        out.append(f"event {id}")
                    out += [f"finish {id}", f"fail {id}"]
                    if self.made.get(id, 0):
                        out.append(f"cut {id}")
                out += [f"ack {id}", f"ack-beyond {id}", f"cancel {id}"]
            for name in ("A", "B"):
                reader = self.readers.get((id, name))
                if reader is not None and reader.lost:
                    out.append(f"detach {id} {name}")  # late: another connection has the ask
                if reader is None or reader.lost:
                    out += [f"attach {id} {name}", f"attach-anew {id} {name}"]
                else:
                    out.append(f"detach {id} {name}")
                    if self.slow:
                        out.append(f"{'fast' if reader.slow else 'slow'} {id} {name}")
        if self.evicts:
            out.append("squeeze")
        if self.clock.due():
            out.append("tick")
        return out

    def apply(self, event: str) -> None:
        self.found, self.premises = [], set()
        self.core.odd = []
        kind, _, rest = event.partition(" ")
        if kind == "tick":
            self.clock.fire()
        elif kind == "squeeze":
            self.evicts -= 1
            self.squeezed = True
            self.sessions.bounds = Bounds(
                **{name: getattr(BOUNDS, name) for name in BOUNDS.__struct_fields__}
                | {"all_bytes": 0, "tombstones": 0}
            )
            self.sessions.enforce_bounds()
            self.sessions.bounds = BOUNDS
        elif kind in ("attach", "attach-anew", "detach", "slow", "fast"):
            self._of_reader(kind, *rest.split(" "))
        else:
            self._of_ask(kind, rest)
        self._remember()

    def _remember(self) -> None:
        """What must never change is compared with what it was. Here and not in `breaches`: a state that is restored
        by replay has only had its events applied."""
        session = self.sessions.find("d", "t")
        for id in self.ids:
            found = self._ask(id)
            stands = found.final if found is not None else None
            if stands is None:
                continue
            before = self.stands.setdefault(id, stands)
            self.since.setdefault(id, self.clock.now)
            if (before.number, before.kind, before.reason) != (stands.number, stands.kind, stands.reason):
                self.found.append(f"one-final: {id} had {before}, and now has {stands}")
        if session is not None:
            if session.epoch < self.epoch:
                self.found.append(f"epoch: from {self.epoch} back to {session.epoch}")
            self.epoch = session.epoch

    def _of_reader(self, kind: str, id: str, name: str) -> None:
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
            if found is None and id not in self.final and not self._let_go(id):
                self.found.append(f"reachable: nothing is known of {id}, whose final record was never fetched")
            return
        reader = Connection(self, name, id)
        last = 0 if kind == "attach-anew" else self.final[id].number if id in self.final else self.holds.get(id, 0)
        told = found.attach(reader, last)
        if told is None:
            self.premises |= {"one-reader", "epoch", "reachable"}
            self.readers[id, name] = reader
        elif isinstance(told, Problem):
            self.readers.pop((id, name), None)
            if kind == "attach" and told.code == "bad_position":
                self.found.append(f"nothing-lost: {id} is refused its own place, {last}")
            if kind == "attach" and told.code == "events_gone" and not self.squeezed:
                self.found.append(f"nothing-lost: {id} holds {last}, and what follows is gone")

    def _let_go(self, id: str) -> bool:
        """Its record may be forgotten: nobody fetched it for longer than it is kept, or room was wanted."""
        return self.squeezed or self.clock.now - self.since.get(id, self.clock.now) >= BOUNDS.remember

    def _of_ask(self, kind: str, id: str) -> None:
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
            told = found.acknowledge(self.final[id].number if id in self.final else self.holds.get(id, 0))
            if told is not None:
                self.found.append(f"nothing-lost: {id} may not acknowledge what it holds: {told.detail}")
        elif kind == "ack-beyond":
            if found.acknowledge(found.latest + 1) is None:
                self.found.append(f"nothing-lost: {id} acknowledged a record that was never sent")
        elif kind == "cancel":
            before = found.final
            final = found.cancel()
            self.premises.add("one-final")
            if before is not None and final != before:
                self.found.append(f"one-final: a cancel changed {before} into {final}")

    def state(self) -> object:
        now = self.clock.now
        sessions = self.sessions
        session = sessions.find("d", "t")
        asks = []
        for id in self.ids:
            found = self._ask(id)
            mine: Any = None
            if isinstance(found, Ask):
                mine = (
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
                mine = found.final
            asks.append((id in self.asked, mine, self.holds.get(id, 0), id in self.final, self.made.get(id, 0)))
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
        out = self.found + self.core.odd
        finals = [row["ask"] for name, row in self.notes if name == "final"]
        for id in self.ids:
            if finals.count(id) > 1:
                out.append(f"one-final: the final record of {id} was made {finals.count(id)} times")
            found = self._ask(id)
            if isinstance(found, Ask):
                out += self._of(id, found)
        return out + self._books()

    def _of(self, id: str, ask: Ask) -> list[str]:
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
                out.append(f"delivered: {ask.owner.name} has {ask.owner.at} of {id}, and {ask.latest} is there")
            if ask.final is not None and id not in self.final:
                out.append(f"delivered: {id} has ended, and {ask.owner.name} was not given its final record")
        if ask.epoch > ask.session.epoch:
            out.append(f"epoch: {id} has {ask.epoch}, its session {ask.session.epoch}")
        if ask.query is not None and ask.query.handle in self.core.open:
            if self.core.paused[ask.query.handle] != ask.full:
                out.append(f"flow: the log of {id} is {'full' if ask.full else 'open'}, its link is not so")
            if ask.full != (len(ask.events) > BOUNDS.ask_events) and not ask.full:
                out.append(f"flow: {len(ask.events)} events of {id} are held, and its link goes on")
            self.premises.add("flow")
        if (ask.query is not None) != (ask.state in RUNNING):
            out.append(f"withdrawn: {id} is {ask.state.name} and its query is {ask.query is not None}")
        if not self.squeezed and ask.first - 1 > self.holds.get(id, 0):
            out.append(f"nothing-lost: {id} has let {ask.first - 1} go, and its device holds {self.holds.get(id, 0)}")
        return out

    def _books(self) -> list[str]:
        sessions, out = self.sessions, []
        asks = [ask for one in sessions for ask in (one.asks or {}).values()]
        held = sessions.usage
        for what, said, true in (
            ("bytes", held.bytes, sum(len(event) for ask in asks for event in ask.events)),
            ("running", sessions.running, sum(ask.state in RUNNING for ask in asks)),
            ("running away", held.running_away, sum(ask.state == At.RUNNING_AWAY for ask in asks)),
            ("ended away", held.ended_away, sum(ask.state == At.ENDED_AWAY for ask in asks)),
            ("tombstones", held.tombstones, sum(len(one.tombstones or ()) for one in sessions)),
            ("pools", len(sessions.running_away) + len(sessions.ended_away), held.running_away + held.ended_away),
            ("graves", len(sessions.tombstones_by_age), held.tombstones),
            ("open queries", len(self.core.open), sessions.running),
        ):
            if said != true:
                out.append(f"books: {said} {what} are counted, and there are {true}")
        return out

    def applied(self) -> Iterable[str]:
        out = set(self.premises)
        if self.asked:
            out |= {"books", "epoch"}
        if self.core.gone:
            out.add("withdrawn")
        return out

    def settle(self) -> list[str]:
        """Everyone goes away, and time passes."""
        for (id, name), reader in list(self.readers.items()):
            if not reader.lost:
                self.apply(f"detach {id} {name}")
                if broken := self.breaches():
                    return broken
        if broken := run_out(self, self.clock.due):
            return broken
        held = {
            "sessions": len(self.sessions.by_name),
            "queries": len(self.core.open),
            "timers": len(self.sessions.deadlines),
            "graves": len(self.sessions.tombstones_by_age),
        }
        left = {name: count for name, count in held.items() if count}
        return [f"freed: {left}"] if left else []


SHAPES: dict[str, Callable[[], Sessions_]] = {
    "one ask": partial(Sessions_, 1, 3, 1),
    "two asks": partial(Sessions_, 2, 1, 1),
    "slow readers": partial(Sessions_, 1, 4, 0, True),
}
MODEL = Model(
    "session",
    "a device's session: attach, resume, supersede, acknowledge, cancel, linger, eviction",
    PROPERTIES,
    dict(SHAPES),
    {"one ask": (8, 10), "two asks": (6, 8), "slow readers": (8, 10)},
)

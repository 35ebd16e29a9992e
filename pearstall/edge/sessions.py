"""Device sessions: asks with their logs and readers, and what is stored of them. No I/O; independent of the wires.

A *session* belongs to one device. It holds asks by the ids that the device chose, and outlives every connection. An
ask is a `core.Answer`: the core answers it as it answers a client connection. Readers (wires) are notified of new
records and take them from the log at their own rate. The states and transitions are those of `states.TABLE`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, Protocol

from pearstall.edge.keeping import Bounds, Usage, Victim, next_victim
from pearstall.edge.records import Final, Kind, Problem, split_events
from pearstall.edge.states import ENDED, HELD, RUNNING, TABLE, Effect, Input, State
from pearstall.net.core import Blamed, Query
from pearstall.net.deadlines import Deadline, Deadlines

SWEEP_INTERVAL = 1.0  # seconds between two checks for expired asks, tombstones and sessions
RESUME_DIVISOR = 2  # a full log is reopened once it has shrunk to its bound divided by this

Note = Callable[..., object]


class Upstream(Protocol):
    """The part of the core that the sessions use."""

    def take(self, query: Query) -> int: ...

    def client_gone(self, handle: int) -> None: ...

    def pause(self, handle: int, paused: bool) -> None: ...


class Reader(Protocol):
    """A connection that reads an ask. It takes records with `Ask.after` when it can write them."""

    def attached(self, ask: Ask, last: int) -> None:
        """The connection owns the ask from now on; its device holds the records up to `last`."""

    def ready(self, ask: Ask) -> None:
        """There are records that the connection has not taken yet."""

    def superseded(self, ask: Ask) -> None:
        """A newer connection reads the ask from now on; this one must stop."""


class Tombstone:
    """What remains of an acknowledged or expired ask."""

    __slots__ = ("digest", "final", "since")

    def __init__(self, digest: bytes, final: Final, since: float) -> None:
        self.digest, self.final, self.since = digest, final, since


class Session:
    """The session of one device. `tat` is the state of its rate limit (see limits.py). The tables are created on
    first use, to save memory."""

    __slots__ = ("device", "tenant", "epoch", "asks", "tombstones", "tat", "last_used", "running")

    def __init__(self, device: str, tenant: str, now: float) -> None:
        self.device, self.tenant = device, tenant
        self.epoch = 0  # increases with each connection that takes an ask over
        self.asks: dict[str, Ask] | None = None
        self.tombstones: dict[str, Tombstone] | None = None
        self.tat = 0.0
        self.last_used = now
        self.running = 0

    def find(self, id: str) -> Ask | Tombstone | None:
        found: Ask | Tombstone | None = self.asks.get(id) if self.asks else None
        return found or (self.tombstones.get(id) if self.tombstones else None)

    @property
    def idle(self) -> bool:
        return not self.asks


class Ask:
    """One ask of a device, bound to one query, whose `core.Answer` it is."""

    __slots__ = ("id", "session", "owner", "epoch", "sessions", "digest", "state", "query", "events", "first",
                 "log_bytes", "final", "timer", "full", "linger", "since")  # fmt: skip

    def __init__(self, sessions: Sessions, session: Session, id: str, digest: bytes, linger: float) -> None:
        self.sessions, self.session, self.id, self.digest = sessions, session, id, digest
        self.state = State.RUNNING_AWAY
        self.query: Query | None = None
        self.owner: Reader | None = None
        self.epoch = 0
        self.events: list[bytes] = []
        self.first = 1  # the number of events[0]
        self.log_bytes = 0
        self.final: Final | None = None
        self.timer: Deadline | None = None
        self.full = False  # whether the log is full and the server connection is therefore paused
        self.linger = linger
        self.since = 0.0  # when it last went away

    @property
    def latest(self) -> int:
        """The highest record number so far."""
        return self.final.number if self.final is not None else self.first + len(self.events) - 1

    # -- called for readers and devices --------------------------------------------------------------------

    def after(self, number: int, max_bytes: int) -> list[bytes]:
        """The events after that number, as many as fit into `max_bytes`, but at least one."""
        start = max(0, number + 1 - self.first)
        if start >= len(self.events) - 1:  # the usual case: only one event is new
            return self.events[start:]
        if start == 0 and self.log_bytes <= max_bytes:
            return self.events[:]
        out: list[bytes] = []
        for at in range(start, len(self.events)):
            event = self.events[at]
            max_bytes -= len(event)
            if max_bytes < 0 and out:
                break
            out.append(event)
        return out

    def attach(self, reader: Reader, last: int) -> Problem | None:
        """Makes the connection the owner of the ask. `last`: the highest record number that its device holds."""
        if not 0 <= last <= self.latest:
            return Problem("bad_position", f"no record {last} was ever sent; the latest is {self.latest}", 409)
        if last < self.first - 1:
            return Problem(
                "events_gone", f"records up to {self.first - 1} are acknowledged or given up", 410, 0, self.final
            )
        if self.final is not None and last == self.final.number:
            final, owner = self.final, self.owner
            self.sessions.apply(self, Input.ACKNOWLEDGED)
            if owner is not None and owner is not reader:
                owner.superseded(self)
            return Problem("acknowledged", "the device holds the final record", 410, 0, final)
        before, self.owner = self.owner, reader
        self.session.epoch += 1
        self.epoch = self.session.epoch
        if before is not None and before is not reader:
            self.sessions.note("superseded", ask=self.id, device=self.session.device, epoch=self.epoch)
            before.superseded(self)
        self.sessions.apply(self, Input.ATTACH)
        self._drop_acknowledged(last)
        reader.attached(self, last)
        return None

    def detach(self, reader: Reader) -> None:
        if self.owner is reader:
            self.owner = None
            if self.state in HELD:
                self.sessions.apply(self, Input.DETACH)

    def acknowledge(self, number: int) -> Problem | None:
        """Acknowledges all records up to the number. Acknowledging a record twice has no further effect."""
        if not 0 <= number <= self.latest:
            return Problem("bad_position", f"no record {number} was ever sent; the latest is {self.latest}", 409)
        self._drop_acknowledged(number)
        if self.final is not None and number >= self.final.number:
            self.sessions.apply(self, Input.ACKNOWLEDGED)
        return None

    def cancel(self) -> Final:
        """Returns the final record: that of the cancellation, or the existing one if the answer had ended already."""
        if self.state in RUNNING:
            self._end(Input.CANCEL, Kind.CANCELLED, "device")
        else:
            self.sessions.apply(self, Input.CANCEL)
        assert self.final is not None
        return self.final

    def _drop_acknowledged(self, number: int) -> None:
        """Drops the events up to the number, which the device holds. Reopens a full log that has shrunk enough."""
        count = min(number + 1 - self.first, len(self.events))
        if count <= 0:
            return
        if count == len(self.events):
            size, self.events = self.log_bytes, []
        else:
            size = sum(map(len, self.events[:count]))
            del self.events[:count]
        self.first += count
        self.log_bytes -= size
        self.sessions.usage.bytes -= size
        bounds = self.sessions.bounds
        if (
            self.full
            and self.log_bytes * RESUME_DIVISOR <= bounds.ask_bytes
            and len(self.events) * RESUME_DIVISOR <= bounds.ask_events
        ):
            self._set_full(False)

    def _set_full(self, full: bool) -> None:
        self.full = full
        if self.query is not None:
            self.sessions.upstream.pause(self.query.handle, full)
        if full:
            if self.timer is None:
                self._start_timer()
        elif self.state == State.RUNNING_HELD:
            self.stop_timer()

    def _start_timer(self) -> None:
        self.timer = self.sessions.deadlines.after(self.linger, self.linger_expired)

    def stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def start_linger(self) -> None:
        self.since = self.sessions.deadlines.clock.time()
        self.sessions.running_away[self] = None
        self.sessions.usage.running_away += 1
        if self.timer is None:
            self._start_timer()

    def linger_expired(self) -> None:
        self.timer = None
        self._end(Input.LINGERED, Kind.CUT, "log_full" if self.full else "away")

    # -- core.Answer ---------------------------------------------------------------------------------------

    def gone(self) -> bool:
        return False  # even without a connection: the device may reconnect

    def pass_on(self, events: bytes) -> bool:
        if self.state not in RUNNING:
            return False
        unstreamed = self.query is not None and not self.query.streams
        size, sessions = len(events), self.sessions
        self.events += split_events(events)
        self.log_bytes += size
        sessions.usage.bytes += size
        if not self.full and (
            self.log_bytes > sessions.bounds.ask_bytes or len(self.events) > sessions.bounds.ask_events
        ):
            sessions.note("log_full", ask=self.id, device=self.session.device, bytes=self.log_bytes)
            self._set_full(True)
        if sessions.usage.bytes > sessions.bounds.all_bytes:
            sessions.enforce_bounds()
            if sessions.usage.bytes > sessions.bounds.all_bytes and self.state in RUNNING and not self.full:
                self._set_full(True)
        if self.owner is not None:
            self.owner.ready(self)
        return not unstreamed  # nothing of an unstreamed answer is sent before its end

    def again(self) -> None:
        """Another attempt begins. Events of the previous one can be in the log only if the answer isn't streamed."""
        if self.events:
            count, size = len(self.events), self.log_bytes
            self.events, self.log_bytes = [], 0
            self.sessions.usage.bytes -= size
            assert self.query is None or not self.query.streams, f"{count} events were passed on"
            if self.full:
                self._set_full(False)

    def finish(self) -> None:
        self._end(Input.FINAL, Kind.SERVED)

    def cut(self) -> None:
        self._end(Input.FINAL, Kind.CUT, "model_server")

    def refuse(self, retry_after: int) -> None:
        self._end(Input.FINAL, Kind.REFUSED, "busy", retry_after_ms=retry_after // 1000)

    def fail(self, timed_out: bool) -> None:
        self._end(Input.FINAL, Kind.FAILED, "timed_out" if timed_out else "model_servers")

    def blame(self, end: Blamed) -> None:
        self._end(Input.FINAL, Kind.BLAMED, "query", status=end.status, body=end.body)

    def _end(self, input: Input, kind: Kind, reason: str = "", **more: Any) -> None:
        if self.final is None:
            self.final = Final(self.first + len(self.events), kind, reason, **more)
            self.sessions.apply(self, input)


class Sessions:
    """All sessions, and the accounting of what they store."""

    def __init__(self, upstream: Upstream, deadlines: Deadlines, bounds: Bounds, note: Note) -> None:
        self.upstream, self.deadlines, self.bounds, self.note = upstream, deadlines, bounds, note
        self.by_name: dict[str, Session] = {}  # least recently used first
        self.usage = Usage()
        # Each is ordered by the time at which its entries were added.
        self.ended_away: dict[Ask, None] = {}
        self.running_away: dict[Ask, None] = {}
        self.tombstones_by_age: dict[tuple[Session, str], None] = {}
        self.running = 0
        self.tenant_running: dict[str, int] = {}
        self.finals: dict[str, int] = {}
        self.dropped_tombstones = 0  # tombstones evicted before they expired
        self.sweep_timer: Deadline | None = None

    def __iter__(self) -> Iterator[Session]:
        return iter(self.by_name.values())

    # -- sessions ------------------------------------------------------------------------------------------

    def find(self, device: str, tenant: str) -> Session | None:
        return self.by_name.get(f"{tenant}/{device}")

    def open(self, device: str, tenant: str) -> Session | Problem:
        name, now = f"{tenant}/{device}", self.deadlines.clock.time()
        session = self.by_name.pop(name, None)
        if session is None:
            if len(self.by_name) >= self.bounds.sessions and not self._evict_idle_session():
                return Problem("full", "no more sessions can be held", 503, self.bounds.linger)
            session = Session(device, tenant, now)
        session.last_used = now
        self.by_name[name] = session
        self._schedule_sweep()
        return session

    def _evict_idle_session(self) -> bool:
        for count, session in enumerate(self.by_name.values()):
            if session.idle:
                self._drop_session(session)
                return True
            if count > 64:
                break  # bounds the search: there may be a hundred thousand sessions with open asks
        return False

    def _drop_session(self, session: Session) -> None:
        for id in list(session.tombstones or ()):
            self.forget(session, id)
        self.by_name.pop(f"{session.tenant}/{session.device}", None)

    # -- asks ----------------------------------------------------------------------------------------------

    def ask(
        self, session: Session, id: str, digest: bytes, linger: float, make: Callable[[Ask], Query], max_asks: int = 0
    ) -> Ask | Problem:
        """Binds the id to one query and passes the query to the core, which may end it at once.

        `max_asks`: asks that the session may hold; 0: the bound for a device."""
        if session.asks is not None and len(session.asks) >= (max_asks or self.bounds.device_asks):
            for old in session.asks.values():
                if old.state == State.ENDED_AWAY:  # a device's own finished asks are evicted for its new ones
                    self.apply(old, Input.EVICT)
                    break
            else:
                return Problem("too_many_asks", f"{len(session.asks)} asks of this device are open", 429, 1.0)
        if self.usage.bytes > self.bounds.all_bytes:
            self.enforce_bounds()
            if self.usage.bytes > self.bounds.all_bytes:
                return Problem("full", "no more answers can be held just now", 503, 1.0)
        ask = Ask(self, session, id, digest, linger)
        ask.query = make(ask)  # may raise, so it runs before anything is bound to the id
        if session.asks is None:
            session.asks = {}
        session.asks[id] = ask
        self._count_running(session, 1)
        ask.start_linger()
        self.upstream.take(ask.query)
        return ask

    def _count_running(self, session: Session, by: int) -> None:
        session.running += by
        self.running += by
        running = self.tenant_running.get(session.tenant, 0) + by
        if running:
            self.tenant_running[session.tenant] = running
        else:
            del self.tenant_running[session.tenant]

    def apply(self, ask: Ask, input: Input) -> None:
        """Makes one transition of the table and carries out its effects in order."""
        before = ask.state
        transition = TABLE.get((before, input))
        if transition is None:
            raise AssertionError(f"{before.name} has no transition for {input.name}")
        ask.state, effects = transition
        if before == State.RUNNING_AWAY and ask.state != before and self.running_away.pop(ask, 0) is None:
            self.usage.running_away -= 1
        for effect in effects:
            if effect == Effect.STOP_LINGER:
                if not ask.full or ask.state not in RUNNING:
                    ask.stop_timer()
            elif effect == Effect.START_LINGER:
                ask.start_linger()
            elif effect == Effect.RECORD:
                self._record_final(ask, cancel_query=Effect.WITHDRAW in effects, evicted=input == Input.EVICT)
            elif effect == Effect.UNLOAD:
                self._drop_events(ask)
            elif effect == Effect.DELIVER:
                if ask.owner is not None:
                    ask.owner.ready(ask)
            elif effect == Effect.START_KEEP:
                ask.since = self.deadlines.clock.time()
                self.ended_away[ask] = None
                self.usage.ended_away += 1
            elif effect == Effect.STOP_KEEP:
                if self.ended_away.pop(ask, 0) is None:
                    self.usage.ended_away -= 1
            elif effect == Effect.BURY:
                self._make_tombstone(ask)

    def _record_final(self, ask: Ask, cancel_query: bool, evicted: bool) -> None:
        if ask.final is None:
            assert evicted
            ask.final = Final(ask.first + len(ask.events), Kind.CUT, "room")
        query, ask.query = ask.query, None
        self._count_running(ask.session, -1)
        final = ask.final
        self.finals[final.kind] = self.finals.get(final.kind, 0) + 1
        self.note(
            "final", ask=ask.id, device=ask.session.device, kind=str(final.kind), reason=final.reason,
            number=final.number, away=ask.state == State.ENDED_AWAY,
            executions=len(query.executions) if query is not None else 0,
        )  # fmt: skip
        if cancel_query and query is not None:
            self.upstream.client_gone(query.handle)

    def _drop_events(self, ask: Ask) -> None:
        self.usage.bytes -= ask.log_bytes
        ask.first += len(ask.events)
        ask.events, ask.log_bytes = [], 0

    def _make_tombstone(self, ask: Ask) -> None:
        assert ask.final is not None
        self._drop_events(ask)
        ask.stop_timer()
        session, now = ask.session, self.deadlines.clock.time()
        if session.asks is not None:
            session.asks.pop(ask.id, None)
            if not session.asks:
                session.asks = None
        final = ask.final
        if final.body:  # to keep the tombstone small
            final = Final(final.number, final.kind, final.reason, final.retry_after_ms, final.status)
        if session.tombstones is None:
            session.tombstones = {}
        elif len(session.tombstones) >= self.bounds.device_tombstones:
            self.forget(session, next(iter(session.tombstones)))
            if session.tombstones is None:
                session.tombstones = {}
        session.tombstones[ask.id] = Tombstone(ask.digest, final, now)
        self.tombstones_by_age[session, ask.id] = None
        self.usage.tombstones += 1
        ask.owner = None
        if self.usage.tombstones > self.bounds.tombstones:
            self.enforce_bounds()

    def forget(self, session: Session, id: str) -> None:
        if session.tombstones is not None and session.tombstones.pop(id, None) is not None:
            self.usage.tombstones -= 1
            self.tombstones_by_age.pop((session, id), None)
            if not session.tombstones:
                session.tombstones = None

    # -- bounds --------------------------------------------------------------------------------------------

    def enforce_bounds(self) -> None:
        """Evicts by the policy of `keeping`, until everything is within bounds or nothing more may be evicted."""
        while (victim := next_victim(self.usage, self.bounds)) is not None:
            if victim == Victim.TOMBSTONE:
                self.dropped_tombstones += 1
                self.forget(*next(iter(self.tombstones_by_age)))
                continue
            if victim == Victim.NOTHING:
                return
            pool = self.ended_away if victim == Victim.ENDED_AWAY else self.running_away
            ask = next(iter(pool))
            self.note("evicted", ask=ask.id, device=ask.session.device, state=ask.state.name, bytes=ask.log_bytes)
            self.apply(ask, Input.EVICT)

    def _schedule_sweep(self) -> None:
        if self.sweep_timer is None:
            self.sweep_timer = self.deadlines.after(SWEEP_INTERVAL, self.sweep)

    def sweep(self) -> None:
        """Removes everything that has expired. Each pool is ordered by time, so only its front needs checking."""
        self.sweep_timer = None
        now, bounds = self.deadlines.clock.time(), self.bounds
        while self.ended_away:
            ask = next(iter(self.ended_away))
            if now - ask.since < bounds.keep:
                break
            self.apply(ask, Input.KEPT)
        while self.tombstones_by_age:
            session, id = next(iter(self.tombstones_by_age))
            tombstone = (session.tombstones or {}).get(id)
            if tombstone is not None and now - tombstone.since < bounds.remember:
                break
            self.forget(session, id)
        while self.by_name:
            session = next(iter(self.by_name.values()))
            if now - session.last_used < bounds.idle:
                break
            if session.idle:
                self._drop_session(session)
            else:  # it still has open asks: check again after another `idle` period
                self.open(session.device, session.tenant)
        if self.by_name:
            self._schedule_sweep()

    def unfinished(self) -> int:
        """The number of asks whose device has not acknowledged the final record."""
        return sum(len(session.asks or ()) for session in self.by_name.values())

    def ended(self) -> Iterator[Ask]:
        for session in self.by_name.values():
            for ask in (session.asks or {}).values():
                if ask.state in ENDED:
                    yield ask

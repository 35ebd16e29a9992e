"""Queries, executions and their outcomes. Drives the Router and carries out its actions; knows no wire."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from functools import partial
from typing import TYPE_CHECKING, Protocol

from pearstall.choice import Router
from pearstall.eventlog import SILENT, EventLog
from pearstall.interface import (
    Action,
    Cancel,
    ClientGone,
    Event,
    Fail,
    FirstToken,
    ListKind,
    Log,
    Outcome,
    Refuse,
    ReplicaList,
    Request,
    Result,
    Send,
    SetTimer,
    Settings,
    Subscribe,
    Timer,
)
from pearstall.net.counters import Counters
from pearstall.net.deadlines import Deadline, Deadlines
from pearstall.net.slots import Slots

if TYPE_CHECKING:
    from pearstall.net.trace import Trace  # imported where it is asked for

STALL = 4.0  # a stream without an event for so long has no server any more: a vanished machine says nothing
DESERTED = 0.5  # without a query for so long, clients have gone elsewhere
GUARD = 0.015  # past a query's deadline: the final answer is still on time here, should the Router owe one


class Reach(IntEnum):
    """How far an execution had come."""

    NOT_CONNECTED = 0
    PARTLY_WRITTEN = 1
    FULLY_WRITTEN = 2
    ANSWERING = 3


@dataclass(slots=True, frozen=True)
class Served:
    kept_tokens: int = 0


@dataclass(slots=True, frozen=True)
class Declined:
    """An answer that is no stream. `turned_away`: it proves that the query never ran."""

    turned_away: bool


@dataclass(slots=True, frozen=True)
class Blamed:
    """An answer that blames the query itself, in the OpenAI-style form: it goes to the client."""

    status: int
    body: bytes
    content_type: str


@dataclass(slots=True, frozen=True)
class Broken:
    reach: Reach
    why: str


End = Served | Declined | Blamed | Broken


def result_of(end: End) -> Result:
    """The protocol's table of outcomes. Once the last byte was written, a break may come after it has run."""
    if isinstance(end, Served):
        return Result.OK
    if isinstance(end, Declined):
        return Result.FULL if end.turned_away else Result.ERROR
    if isinstance(end, Blamed):
        return Result.CANCELLED  # says nothing of the server: bad queries must not get good servers ejected
    return Result.RESET if end.reach >= Reach.FULLY_WRITTEN else Result.CONNECT_FAILED


class Answer(Protocol):
    """A query's way back to its client."""

    def gone(self) -> bool:
        """Whether its client has left, though nothing has told so yet: no execution may begin then."""

    def pass_on(self, events: bytes) -> bool:
        """Whether any of it is on its way to the client: then the answer is this execution's for good."""

    def again(self) -> None:
        """Another execution begins: what was kept back of the last one is void."""

    def finish(self) -> None: ...

    def cut(self) -> None: ...

    def refuse(self, retry_after: int) -> None: ...

    def fail(self, timed_out: bool) -> None: ...

    def blame(self, end: Blamed) -> None: ...


class Carrier(Protocol):
    """What carries an execution: a server link."""

    def give_up(self) -> None: ...

    def pause(self, paused: bool) -> None: ...


@dataclass(slots=True)
class Query:
    """A client's request, as a front read it."""

    class_index: int
    deadline: float  # the clock's seconds
    answer: Answer
    method: str = "POST"
    target: str = "/v1/chat/completions"
    body: bytes = b""
    headers: str = ""  # lines that go on to the model server as they came
    txn: str = ""  # the client's own id; none is ever made up
    prompt_tokens: float = 0.0
    session: int = 0
    prefix: int = 0
    prefix_tokens: float = 0.0
    tenant: int = 0
    repeated: bool = False  # its client says that it asked before
    streams: bool = True  # else the client gets the answer whole, at its end
    handle: int = 0
    taken: float = 0.0
    executions: list[Execution] = field(default_factory=list)
    out: int = 0
    over: bool = False  # finally answered, or its client has gone
    passed: bool = False
    guard: Deadline | None = None


class Execution:
    """One attempt of a query."""

    __slots__ = ("query", "number", "replica", "began", "until", "started", "ended", "timeout", "carrier",
                 "latest", "paused")  # fmt: skip

    def __init__(self, query: Query, number: int, replica: int, began: float) -> None:
        self.query = query
        self.number = number
        self.replica = replica
        self.began = began
        self.until = began  # the router waits for its first event
        self.started = False  # its first event came
        self.ended = False
        self.timeout: Deadline | None = None
        self.carrier: Carrier | None = None
        self.latest = began  # when something of its answer came last
        self.paused = False  # the client reads slowly


class Servers(Protocol):
    def start(self, execution: Execution) -> Carrier | None:
        """None: no such server is listed any more."""


def _refuse(retry_after: int, answer: Answer) -> None:
    answer.refuse(retry_after)


class Core:
    def __init__(
        self, settings: Settings, seed: int, deadlines: Deadlines, counters: Counters, servers: Servers
    ) -> None:
        self.settings = settings
        self.deadlines = deadlines
        self.clock = deadlines.clock.time
        self.counters = counters
        self.servers = servers
        self.queries: Slots[Query] = Slots()
        self.taking = True
        self.latest = 0.0  # when a query was taken last
        self.open_ids: set[str] = set()  # the clients' own, of the queries in the slots
        self.router = Router(settings, seed)
        self.events: deque[Event] = deque()
        self.driving = False
        self.watch: Callable[[bool], None] = lambda on: None
        self.idle: Callable[[], None] = lambda: None
        self.trace: Trace | None = None
        self.log: EventLog = SILENT
        self.server_name: Callable[[int], str] = str

    def reconfigure(self, settings: Settings, classes: Sequence[int], tenants: Sequence[int]) -> None:
        """For each class and tenant its number before, or -1. Open requests end under what they began with."""
        self.settings = settings
        self.router.reconfigure(settings, classes, tenants)

    # -- driving the Router --------------------------------------------------------------------------------

    def start(self) -> None:
        self._carry_out(self.router.start(self._now()))

    def _now(self) -> int:
        return int(self.clock() * 1_000_000)

    def tell(self, event: Event) -> None:
        """Events are told one after the other: an action's own events wait until all its batch is done."""
        self.events.append(event)
        if self.driving:
            return
        self.driving = True
        try:
            while self.events:
                event = self.events.popleft()
                actions = self.router.handle(self._now(), event)
                if self.trace is not None:
                    self.trace(event, actions)
                self._carry_out(actions)
        finally:
            self.driving = False

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(action)
            elif isinstance(action, SetTimer):
                self.deadlines.after(action.delay / 1e6, partial(self.tell, Timer(action.tag)))
            elif isinstance(action, Cancel):
                self._cancel(action)
            elif isinstance(action, Refuse):
                self._log_end("request_refused", action.request, action.why)
                self._answer(action.request, partial(_refuse, action.retry_after))
            elif isinstance(action, Fail):
                self._log_end("request_failed", action.request, action.why)
                self._answer(action.request, lambda answer: answer.fail(False))
            elif isinstance(action, Subscribe):
                self.watch(action.on)
            elif isinstance(action, Log):
                self.counters.logs += 1
                self.log.event("decision", text=action.text)

    # -- logging -------------------------------------------------------------------------------------------

    def _log_end(self, event: str, handle: int, why: str) -> None:
        query = self.queries.get(handle)
        if self.log.enabled and query is not None and not query.over:
            waited = round((self.clock() - query.taken) * 1000)
            self.log.event(event, request=query.txn, why=why, attempts=len(query.executions), ms=waited)

    def _log_attempt(self, execution: Execution, result: Result, why: str) -> None:
        if self.log.enabled and result != Result.OK:
            self.log.event(
                "attempt_ended",
                request=execution.query.txn,
                attempt=execution.number,
                server=self.server_name(execution.replica),
                result=result.name.lower(),
                why=why,
                ms=round((self.clock() - execution.began) * 1000),
            )

    # -- queries -------------------------------------------------------------------------------------------

    def take(self, query: Query) -> int:
        """One final answer is owed from here on."""
        query.handle = handle = self.queries.add(query)
        self.counters.queries += 1
        if query.answer.gone():
            self.counters.clients_gone += 1
            self._over(query)
            return handle
        query.taken = self.latest = self.clock()
        if query.txn:
            self.open_ids.add(query.txn)
        if self.trace is not None:
            self.trace.query(handle, query.txn)
        if not self.taking:
            self._answer(handle, partial(_refuse, 0))
            return handle
        query.guard = self.deadlines.at(query.deadline + GUARD, lambda: self._overdue(query))
        self.tell(
            Request(
                handle,
                query.class_index,
                int(query.deadline * 1_000_000),
                query.prompt_tokens,
                query.session,
                query.prefix,
                query.prefix_tokens,
                query.tenant,
                repeated=query.repeated,
            )
        )
        return handle

    def client_gone(self, handle: int) -> None:
        query = self.queries.get(handle)
        if query is not None and not query.over:
            self.counters.clients_gone += 1
            self._over(query)
            self.tell(ClientGone(handle))

    def pause(self, handle: int, paused: bool) -> None:
        """The client's side is full, or has room again."""
        query = self.queries.get(handle)
        if query is not None:
            for execution in query.executions:
                if not execution.ended and execution.carrier is not None:
                    execution.paused, execution.latest = paused, self.clock()
                    execution.carrier.pause(paused)

    def _overdue(self, query: Query) -> None:
        """The Router's own time-outs end before the deadline; what was missed is answered all the same."""
        if not query.over:
            self.counters.overdue += 1
            self._log_end("request_failed", query.handle, "overdue")
            self._answer(query.handle, lambda answer: answer.fail(True))
            self.tell(ClientGone(query.handle))

    def _answer(self, handle: int, say: Callable[[Answer], None]) -> None:
        query = self.queries.get(handle)
        if query is None or query.over:
            return
        before = query.answer
        self._over(query)
        say(before)

    def _over(self, query: Query) -> None:
        query.over = True
        if query.guard is not None:
            query.guard.cancel()
            query.guard = None
        self._forget(query)

    def _forget(self, query: Query) -> None:
        if query.over and not query.out:
            if self.queries.remove(query.handle) is not None:
                self.open_ids.discard(query.txn)
            if not len(self.queries):
                self.idle()

    # -- executions ----------------------------------------------------------------------------------------

    def _send(self, action: Send) -> None:
        query = self.queries.get(action.request)
        if query is None:
            return
        if query.answer.gone():
            self.client_gone(query.handle)
        number, now = len(query.executions), self.clock()
        execution = Execution(query, number, action.replica, now)
        query.executions.append(execution)
        query.out += 1
        # The rules stand here too, whatever the Router asks for: so many attempts, and never two at once.
        crowded = query.out > 1 and not self.settings.second_copies
        left = query.deadline - now
        if query.over or crowded or number >= self.settings.max_attempts or left <= 0:
            self._ended(execution, Result.MOOT)
            return
        patience = min(action.timeout / 1e6, left) if action.timeout else left
        self.counters.executions += 1
        query.answer.again()
        execution.until = now + patience
        execution.timeout = self.deadlines.at(execution.until, lambda: self._timed_out(execution))
        execution.carrier = self.servers.start(execution)
        if execution.carrier is None:
            self._ended(execution, Result.MOOT)

    def wanted(self, execution: Execution, listed: bool) -> bool:
        """Whether it is still to be sent, now that the way to the server is open; `listed`: the server still takes
        new requests there."""
        query = execution.query
        if query.answer.gone():
            self.client_gone(query.handle)
        if query.over:
            self._give_up(execution, Result.CANCELLED)
        elif not listed or self.clock() >= execution.until:
            self._give_up(execution, Result.MOOT)  # nothing of it was written
        return not execution.ended

    def _timed_out(self, execution: Execution) -> None:
        self._give_up(execution, Result.TIMEOUT)

    def _cancel(self, action: Cancel) -> None:
        query = self.queries.get(action.request)
        if query is not None and action.attempt < len(query.executions):
            execution = query.executions[action.attempt]
            # A stream begun belongs to its client: only where that has gone is it ended.
            if not execution.started or query.over:
                self._give_up(execution, Result.CANCELLED)

    def _give_up(self, execution: Execution, result: Result) -> None:
        if not execution.ended:
            # The old link is closed before its end is told: the next execution may go out at once.
            if execution.carrier is not None:
                execution.carrier.give_up()
            self._ended(execution, result)

    def passed(self, execution: Execution, events: bytes) -> None:
        """Whole events of the answer have come."""
        query = execution.query
        if execution.ended:
            return
        execution.latest = self.clock()
        if not execution.started:
            execution.started = True
            if execution.timeout is not None:
                execution.timeout.cancel()
            self._watch_stream(execution)
            if query.guard is not None:
                query.guard.cancel()
                query.guard = None
            took = int((self.clock() - execution.began) * 1e6)
            first = FirstToken(query.handle, execution.number, execution.replica, took)
            if not query.over and query.answer.pass_on(events):
                query.passed = True
                query.body = b""  # nothing is sent again from here on
            self.tell(first)
        elif not query.over and query.answer.pass_on(events):
            query.passed = True

    def _watch_stream(self, execution: Execution) -> None:
        due = execution.latest + STALL
        if execution.paused or self.clock() < due:
            again = max(due, self.clock() + STALL / 4)
            execution.timeout = self.deadlines.at(again, partial(self._watch_stream, execution))
            return
        # Left alone, its client would wait on for an end that nobody sends; cut, it asks for the rest.
        if execution.carrier is not None:
            execution.carrier.give_up()
        self.ended(execution, Broken(Reach.ANSWERING, "no event came"))

    def move(self) -> None:
        """Ends the streams under way, so that their clients ask for the rest at another router while there
        is one. Where queries still come long after clients were asked off, there is none: they'd be back."""
        if self.clock() - self.latest < DESERTED:
            return
        for query in self.queries:
            if query.passed and not query.over:
                self.counters.moved += 1
                self._answer(query.handle, lambda answer: answer.cut())
                self.tell(ClientGone(query.handle))

    def stop_taking(self) -> None:
        """What comes from now on is refused: it could not be answered to its end here."""
        self.taking = False

    def hurry(self, resumable: bool, late: float) -> None:
        """The program is about to be killed: whoever waits for a first event may ask elsewhere in time, and
        so may from now on whoever asks. Streams run on until the end, and many finish before it; only those
        asked for since `late` may not be cut by the end itself: they are ended here, where clients ask for
        the rest."""
        self.stop_taking()
        for query in self.queries:
            if query.over or (query.passed and (not resumable or query.taken < late)):
                continue
            self._log_end("request_ended", query.handle, "shutdown")
            if query.passed:
                self.counters.moved += 1
                self._answer(query.handle, lambda answer: answer.cut())
            elif self.router.may_refuse(query.handle):
                self._answer(query.handle, partial(_refuse, 0))
            else:  # it may have run: to ask again is not harmless
                self._answer(query.handle, lambda answer: answer.fail(False))
            self.tell(ClientGone(query.handle))

    def ended(self, execution: Execution, end: End) -> None:
        """The server link is done with it."""
        if execution.ended:
            return
        query, result = execution.query, result_of(end)
        if not query.over:
            if isinstance(end, Served):
                self.counters.served += 1
                answer = query.answer
                query.over = True
                answer.finish()
            elif isinstance(end, Blamed):
                self.counters.blamed += 1
                answer = query.answer
                query.over = True
                answer.blame(end)
            elif query.passed:
                # No second execution: the client has a part of this answer, and asks for the rest itself.
                self.counters.broken += 1
                answer = query.answer
                query.over = True
                answer.cut()
        why = end.why if isinstance(end, Broken) else ""
        self._ended(execution, result, end.kept_tokens if isinstance(end, Served) else 0, why)

    def _ended(self, execution: Execution, result: Result, kept: int = 0, why: str = "") -> None:
        query = execution.query
        execution.ended = True
        self._log_attempt(execution, result, why)
        query.out -= 1
        if execution.timeout is not None:
            execution.timeout.cancel()
        self.counters.outcome(result.name.lower())
        took = int((self.clock() - execution.began) * 1e6)
        handle, over = query.handle, query.over
        if over and query.guard is not None:
            query.guard.cancel()
            query.guard = None
        if execution.started and not over and query.guard is None:
            # Begun but nothing passed on, then broken: it may go out again while its deadline allows.
            query.guard = self.deadlines.at(query.deadline + GUARD, lambda: self._overdue(query))
        outcome = Outcome(handle, execution.number, execution.replica, result, over, took, kept)
        self.tell(outcome)
        self._forget(query)

    # -- the cluster ------------------------------------------------------------------------------------

    def listed(self, news: ReplicaList) -> None:
        if news.kind == ListKind.FAILED:
            self.counters.list_failures += 1
        else:
            self.counters.list_changes += 1
        self.tell(news)

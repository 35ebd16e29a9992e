"""Queries, executions and their outcomes. Drives the Router and carries out its actions, independently of any wire
format."""

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
from pearstall.net.recent_ids import RecentIds
from pearstall.net.slots import Slots

if TYPE_CHECKING:
    from pearstall.net.trace import Trace  # imported only when tracing is enabled

# A machine that vanishes sends neither an end nor a reset: a stream without an event for this long is cut.
STREAM_STALL_SECONDS = 4.0
# The same where clients don't request the rest of a stream: an event within 5 s of the last one is owed to them, less
# what events are late on their way here.
UNRESUMED_STREAM_STALL_SECONDS = 4.7
SLOW_EVENT_SECONDS = 60.0  # for one event of which parts keep coming
STREAM_CHECK_SECONDS = 1.0  # between two checks of a stream
QUIET_BEFORE_MOVE_SECONDS = 0.5  # without a new query for this long, clients are using another router
# This long after a query's deadline, the core answers in place of a Router that has not; it still counts as on time.
GUARD_DELAY_SECONDS = 0.015
ABANDONED_IDS = 4096  # remembered at most


class Reach(IntEnum):
    """How far an execution had got when its connection broke."""

    NOT_CONNECTED = 0
    PARTLY_WRITTEN = 1
    FULLY_WRITTEN = 2
    ANSWERING = 3


@dataclass(slots=True, frozen=True)
class Served:
    kept_tokens: int = 0  # prompt tokens that the server had cached


@dataclass(slots=True, frozen=True)
class Declined:
    """A response that is not a stream. `turned_away`: the server states that it did not run the query."""

    turned_away: bool


@dataclass(slots=True, frozen=True)
class Blamed:
    """An error response that rejects the query itself, in the OpenAI-style form; it is passed on to the client."""

    status: int
    body: bytes
    content_type: str


@dataclass(slots=True, frozen=True)
class Broken:
    reach: Reach
    why: str


End = Served | Declined | Blamed | Broken


def result_of(end: End) -> Result:
    """The protocol's table of outcomes. Once the last byte was written, the server may have run the query before the
    connection broke."""
    if isinstance(end, Served):
        return Result.OK
    if isinstance(end, Declined):
        return Result.FULL if end.turned_away else Result.ERROR
    if isinstance(end, Blamed):
        return Result.CANCELLED  # no evidence against the server: invalid queries must not eject a healthy one
    return Result.RESET if end.reach >= Reach.FULLY_WRITTEN else Result.CONNECT_FAILED


class Answer(Protocol):
    """Delivers a query's answer to its client."""

    def gone(self) -> bool:
        """Whether the client has disconnected, even if the event loop has not reported it yet: no execution may begin
        then."""

    def pass_on(self, events: bytes) -> bool:
        """Passes whole events on. True once any have been sent to the client: the answer can then come from this
        execution only."""

    def again(self) -> None:
        """Another execution begins: events of the previous one that are still buffered are discarded."""

    def finish(self) -> None: ...

    def cut(self) -> None: ...

    def refuse(self, retry_after: int) -> None: ...

    def fail(self, timed_out: bool) -> None: ...

    def blame(self, end: Blamed) -> None: ...


class Carrier(Protocol):
    """Sends an execution and reads its answer: a connection to a model server."""

    def give_up(self) -> None: ...

    def pause(self, paused: bool) -> None: ...


@dataclass(slots=True)
class Query:
    """A client's request, as parsed by a front."""

    class_index: int
    deadline: float  # seconds of the core's clock
    answer: Answer
    method: str = "POST"
    target: str = "/v1/chat/completions"
    body: bytes = b""
    headers: str = ""  # header lines that are forwarded to the model server unchanged
    txn: str = ""  # the client's own id; empty if it sent none, and never generated here
    unique_id: bool = False  # clients of this front give each request a new id
    prompt_tokens: float = 0.0
    session: int = 0
    prefix: int = 0
    prefix_tokens: float = 0.0
    tenant: int = 0
    repeated: bool = False  # the client marked it as a repetition of an earlier request
    streams: bool = True  # False: the client gets the whole answer at its end
    handle: int = 0
    accepted_at: float = 0.0
    executions: list[Execution] = field(default_factory=list)
    in_flight: int = 0  # executions that have not ended
    finished: bool = False  # its final answer was given, or its client has disconnected
    forwarded: bool = False  # part of its answer was passed on to the client
    guard: Deadline | None = None  # answers the query should the Router miss its deadline


class Execution:
    """One attempt of a query."""

    __slots__ = ("query", "number", "replica", "started_at", "expires_at", "streaming", "ended", "timeout",
                 "carrier", "last_event_at", "last_part_at", "paused")  # fmt: skip

    def __init__(self, query: Query, number: int, replica: int, started_at: float) -> None:
        self.query = query
        self.number = number
        self.replica = replica
        self.started_at = started_at
        self.expires_at = started_at  # latest time for its first event
        self.streaming = False  # its first event has arrived
        self.ended = False
        self.timeout: Deadline | None = None
        self.carrier: Carrier | None = None
        self.last_event_at = started_at
        self.last_part_at = started_at  # of an event that is not complete
        self.paused = False  # the client reads too slowly


    @property
    def last_sign_at(self) -> float:
        """When its server last wrote an event, or a part of one that does not take too long."""
        return max(self.last_event_at, min(self.last_part_at, self.last_event_at + SLOW_EVENT_SECONDS))


class Servers(Protocol):
    def start(self, execution: Execution) -> Carrier | None:
        """None if the server is no longer listed or accepts nothing new."""


def _refuse(retry_after: int, answer: Answer) -> None:
    answer.refuse(retry_after)


class Core:
    """The queries of one router: passes events to the Router and carries out the actions that it returns."""

    def __init__(
        self, settings: Settings, seed: int, deadlines: Deadlines, counters: Counters, servers: Servers
    ) -> None:
        self.settings = settings
        self.deadlines = deadlines
        self.clock = deadlines.clock.time
        self.counters = counters
        self.servers = servers
        self.queries: Slots[Query] = Slots()
        self.accepting = True
        self.last_query_at = 0.0
        self.open_ids: set[str] = set()  # client-supplied ids of the queries in `queries`
        self.abandoned_ids = RecentIds(ABANDONED_IDS)  # of requests whose client left while an attempt was out
        self.router = Router(settings, seed)
        self.list_verified = False  # the Router uses its list
        self.on_list_verified: Callable[[], None] = lambda: None
        self.events: deque[Event] = deque()
        self.dispatching = False
        self.watch: Callable[[bool], None] = lambda on: None
        self.on_idle: Callable[[], None] = lambda: None
        self.trace: Trace | None = None
        self.log: EventLog = SILENT
        self.streams_resumable = True  # clients request the rest of a stream that was cut
        self.server_name: Callable[[int], str] = str

    def reconfigure(self, settings: Settings, classes: Sequence[int], tenants: Sequence[int]) -> None:
        """`classes` and `tenants` give the previous number of each, or -1. Open requests keep the settings they
        started with."""
        self.settings = settings
        self.router.reconfigure(settings, classes, tenants)

    # -- driving the Router --------------------------------------------------------------------------------

    def start(self) -> None:
        self._carry_out(self.router.start(self._now()))

    def _now(self) -> int:
        return int(self.clock() * 1_000_000)

    def dispatch(self, event: Event) -> None:
        """Passes an event to the Router and carries out its actions. Events that these actions cause are queued
        until all actions of the batch are done."""
        self.events.append(event)
        if self.dispatching:
            return
        self.dispatching = True
        try:
            while self.events:
                event = self.events.popleft()
                actions = self.router.handle(self._now(), event)
                if self.trace is not None:
                    self.trace(event, actions)
                self._carry_out(actions)
                if not self.list_verified and self.router.list_verified:
                    self.list_verified = True
                    self.on_list_verified()
        finally:
            self.dispatching = False

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(action)
            elif isinstance(action, SetTimer):
                self.deadlines.after(action.delay / 1e6, partial(self.dispatch, Timer(action.tag)))
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
        if self.log.enabled and query is not None and not query.finished:
            waited = round((self.clock() - query.accepted_at) * 1000)
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
                ms=round((self.clock() - execution.started_at) * 1000),
            )

    # -- queries -------------------------------------------------------------------------------------------

    def take(self, query: Query) -> int:
        """Accepts a query. From here on the core gives it exactly one final answer, or its client disconnects."""
        query.handle = handle = self.queries.add(query)
        self.counters.queries += 1
        if query.answer.gone():
            self.counters.clients_gone += 1
            self._finish_query(query)
            return handle
        query.accepted_at = self.last_query_at = self.clock()
        if query.txn:
            self.open_ids.add(query.txn)
        if self.trace is not None:
            self.trace.query(handle, query.txn)
        if not self.accepting:
            self._answer(handle, partial(_refuse, 0))
            return handle
        query.guard = self.deadlines.at(query.deadline + GUARD_DELAY_SECONDS, lambda: self._overdue(query))
        self.dispatch(
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

    def repeats_id(self, query: Query) -> bool:
        """Whether a request with this id is open, or may still be executed although its client has left."""
        return query.txn in self.open_ids or (query.unique_id and query.txn in self.abandoned_ids)

    def client_gone(self, handle: int) -> None:
        query = self.queries.get(handle)
        if query is not None and not query.finished:
            self.counters.clients_gone += 1
            self._log_end("request_ended", handle, "client left")
            if query.unique_id and query.in_flight:
                self.abandoned_ids.add(query.txn)  # a server may go on with it
            self._finish_query(query)
            self.dispatch(ClientGone(handle))

    def pause(self, handle: int, paused: bool) -> None:
        """The client's write buffer is full, or has drained."""
        query = self.queries.get(handle)
        if query is not None:
            for execution in query.executions:
                if not execution.ended and execution.carrier is not None:
                    execution.paused, execution.last_event_at = paused, self.clock()
                    execution.carrier.pause(paused)

    def _overdue(self, query: Query) -> None:
        """Answers a query that the Router left unanswered at its deadline, although its own time-outs end earlier."""
        if not query.finished:
            self.counters.overdue += 1
            self._log_end("request_failed", query.handle, "overdue")
            self._answer(query.handle, lambda answer: answer.fail(True))
            self.dispatch(ClientGone(query.handle))

    def _answer(self, handle: int, respond: Callable[[Answer], None]) -> None:
        query = self.queries.get(handle)
        if query is None or query.finished:
            return
        answer = query.answer
        self._finish_query(query)
        respond(answer)

    def _finish_query(self, query: Query) -> None:
        query.finished = True
        if query.guard is not None:
            query.guard.cancel()
            query.guard = None
        self._release(query)

    def _release(self, query: Query) -> None:
        if query.finished and not query.in_flight:
            if self.queries.remove(query.handle) is not None:
                self.open_ids.discard(query.txn)
            query.executions = []  # these refer to the query in turn
            query.body = b""
            if not len(self.queries):
                self.on_idle()

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
        query.in_flight += 1
        # Enforced here as well, whatever the Router requests: the limit on attempts, and one execution at a time.
        concurrent = query.in_flight > 1 and not self.settings.second_copies
        remaining = query.deadline - now
        if query.finished or concurrent or number >= self.settings.max_attempts or remaining <= 0:
            self._end_execution(execution, Result.MOOT)
            return
        timeout = min(action.timeout / 1e6, remaining) if action.timeout else remaining
        self.counters.executions += 1
        query.answer.again()
        execution.expires_at = now + timeout
        execution.timeout = self.deadlines.at(execution.expires_at, lambda: self._timed_out(execution))
        execution.carrier = self.servers.start(execution)
        if execution.carrier is None:
            self._end_execution(execution, Result.MOOT)

    def still_needed(self, execution: Execution, listed: bool) -> bool:
        """Whether to send the execution now that the connection to the server is open. `listed`: the server still
        accepts new requests at that address."""
        query = execution.query
        if query.answer.gone():
            self.client_gone(query.handle)
        if query.finished:
            self._give_up(execution, Result.CANCELLED)
        elif not listed or self.clock() >= execution.expires_at:
            self._give_up(execution, Result.MOOT)  # nothing of it was written
        return not execution.ended

    def _timed_out(self, execution: Execution) -> None:
        self._give_up(execution, Result.TIMEOUT)

    def _cancel(self, action: Cancel) -> None:
        query = self.queries.get(action.request)
        if query is not None and action.attempt < len(query.executions):
            execution = query.executions[action.attempt]
            # A stream that has begun is only cancelled once its query is finished, as when the client has left.
            if not execution.streaming or query.finished:
                self._give_up(execution, Result.CANCELLED)

    def _give_up(self, execution: Execution, result: Result) -> None:
        if not execution.ended:
            # The connection is closed before the end is reported: the next execution may start immediately.
            if execution.carrier is not None:
                execution.carrier.give_up()
            self._end_execution(execution, result)

    def received(self, execution: Execution, events: bytes) -> None:
        """Whole events of the answer have arrived."""
        query = execution.query
        if execution.ended:
            return
        execution.last_event_at = self.clock()
        if not execution.streaming:
            execution.streaming = True
            if execution.timeout is not None:
                execution.timeout.cancel()
            self._watch_stream(execution)
            if query.guard is not None:
                query.guard.cancel()
                query.guard = None
            elapsed = int((self.clock() - execution.started_at) * 1e6)
            event = FirstToken(query.handle, execution.number, execution.replica, elapsed)
            if not query.finished and query.answer.pass_on(events):
                query.forwarded = True
                query.body = b""  # the query can't be sent again from here on
            self.dispatch(event)
        elif not query.finished and query.answer.pass_on(events):
            query.forwarded = True

    def received_part(self, execution: Execution) -> None:
        """Part of an event has arrived: its server is slow, and not silent."""
        execution.last_part_at = self.clock()

    def _watch_stream(self, execution: Execution) -> None:
        stall = STREAM_STALL_SECONDS if self.streams_resumable else UNRESUMED_STREAM_STALL_SECONDS
        stalled_at = execution.last_sign_at + stall
        if execution.paused or self.clock() < stalled_at:
            next_check = self._next_stream_check(execution, stalled_at)
            execution.timeout = self.deadlines.at(next_check, partial(self._watch_stream, execution))
            return
        # Otherwise the client would wait for an end that never arrives; after a cut it requests the rest.
        if execution.carrier is not None:
            execution.carrier.give_up()
        self.ended(execution, Broken(Reach.ANSWERING, "no event came"))

    def _next_stream_check(self, execution: Execution, stalled_at: float) -> float:
        """The exact time of a stall where a late cut loses the stream, else not before a second has passed."""
        if execution.paused or self.streams_resumable:
            return max(stalled_at, self.clock() + STREAM_CHECK_SECONDS)
        return stalled_at

    def move_streams(self) -> None:
        """Cuts the streams under way, so that their clients request the rest from another router. Does nothing while
        queries still arrive, long after clients were asked to leave: then there is no other router, and the clients
        would come back here."""
        if self.clock() - self.last_query_at < QUIET_BEFORE_MOVE_SECONDS:
            return
        for query in self.queries:
            if query.forwarded and not query.finished:
                self.counters.moved += 1
                self._answer(query.handle, lambda answer: answer.cut())
                self.dispatch(ClientGone(query.handle))

    def stop_accepting(self) -> None:
        """Refuses new queries: this program could not answer them to their end."""
        self.accepting = False

    def hurry(self, resumable: bool, late: float) -> None:
        """Ends what can't finish before the program is killed, and refuses new queries. Clients that wait for a first
        event still have time to ask another router. Streams go on, and many finish before the kill; only where
        clients resume streams (`resumable`), those accepted since `late` are cut here rather than by the kill."""
        self.stop_accepting()
        for query in self.queries:
            if query.finished or (query.forwarded and (not resumable or query.accepted_at < late)):
                continue
            self._log_end("request_ended", query.handle, "shutdown")
            if query.forwarded:
                self.counters.moved += 1
                self._answer(query.handle, lambda answer: answer.cut())
            elif self.router.may_refuse(query.handle):
                self._answer(query.handle, partial(_refuse, 0))
            else:  # it may have run, and must not be repeated
                self._answer(query.handle, lambda answer: answer.fail(False))
            self.dispatch(ClientGone(query.handle))

    def ended(self, execution: Execution, end: End) -> None:
        """An execution's connection reports how it ended."""
        if execution.ended:
            return
        query, result = execution.query, result_of(end)
        if not query.finished:
            if isinstance(end, Served):
                self.counters.served += 1
                answer = query.answer
                query.finished = True
                answer.finish()
            elif isinstance(end, Blamed):
                self.counters.blamed += 1
                answer = query.answer
                query.finished = True
                answer.blame(end)
            elif query.forwarded:
                # No further execution: the client has part of this answer, and requests the rest itself.
                self.counters.broken += 1
                answer = query.answer
                query.finished = True
                answer.cut()
        why = end.why if isinstance(end, Broken) else ""
        self._end_execution(execution, result, end.kept_tokens if isinstance(end, Served) else 0, why)

    def _end_execution(self, execution: Execution, result: Result, kept_tokens: int = 0, why: str = "") -> None:
        query = execution.query
        execution.ended = True
        execution.carrier = None  # which refers to the execution in turn
        self._log_attempt(execution, result, why)
        query.in_flight -= 1
        if execution.timeout is not None:
            execution.timeout.cancel()
        self.counters.outcome(result.name.lower())
        elapsed = int((self.clock() - execution.started_at) * 1e6)
        handle, finished = query.handle, query.finished
        if finished and query.guard is not None:
            query.guard.cancel()
            query.guard = None
        if execution.streaming and not finished and query.guard is None:
            # The stream broke before any event was forwarded: the query may be sent again before its deadline.
            query.guard = self.deadlines.at(query.deadline + GUARD_DELAY_SECONDS, lambda: self._overdue(query))
        outcome = Outcome(handle, execution.number, execution.replica, result, finished, elapsed, kept_tokens)
        self.dispatch(outcome)
        self._release(query)

    # -- the cluster ------------------------------------------------------------------------------------

    def listed(self, update: ReplicaList) -> None:
        if update.kind == ListKind.FAILED:
            self.counters.list_failures += 1
        else:
            self.counters.list_changes += 1
        self.dispatch(update)

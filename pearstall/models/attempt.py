"""Model `attempt`: queries and their executions, on the real core with the real Router.

Servers, clients and the clock are scripted. Any of their events may occur at any moment; timers fire in order, with
any event before or after them. Random draws of the Router are not events, so each shape fixes their value. States
omit predictions and other running means, so states that differ only in them count as equal: learned values decide
which server is chosen, not what a rule allows.
"""

from __future__ import annotations

import contextlib
import heapq
import io
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

from pearstall.interface import ListKind, Replica, ReplicaList, Settings, State
from pearstall.models.explore import Model, Property, fire_due_timers
from pearstall.net.core import Blamed, Broken, Core, Declined, Execution, Query, Reach, Served
from pearstall.net.counters import Counters
from pearstall.net.deadlines import Deadlines

S = 1_000_000  # microseconds per second
AIM, GIVE_UP = 1.0, 2.0  # seconds
DEADLINE_TOLERANCE = 0.05  # seconds
MAX_EXECUTIONS = 3

PROPERTIES = (
    Property("one-final", "the rule on final answers", "A query gets at most one final answer."),
    Property(
        "in-time", "the rule on final answers", "By its deadline (+50 ms) a query is answered or has a first event."
    ),
    Property(
        "answered", "the rule on final answers", "Without further events from clients and servers, every query ends."
    ),
    Property("at-most-three", "the rule on executions", "No query has more than three executions."),
    Property(
        "never-two-out",
        "the rule on executions",
        "An execution begins only after every earlier one has ended or its connection was closed; with second "
        "copies, all but one.",
    ),
    Property(
        "no-retry-behind-event",
        "the rule on executions",
        "A query is not retried once an event was forwarded to its client.",
    ),
    Property(
        "whole", "the rule on events", "The client gets the events of one execution only, each once and in order."
    ),
    Property("drain", "the rule on drains", "No execution is sent to a server that is known to be draining or gone."),
    Property(
        "not-delayed", "final answers are not delayed", "When the Router gives up a query, its client is notified."
    ),
    Property(
        "let-go",
        "the rule on executions",
        "A query with a final answer or a disconnected client has no open connection.",
    ),
    Property("books", "nothing leaks", "Core and Router agree on the number of executions in flight."),
    Property("at-rest", "nothing leaks", "When all queries have ended, tables, ids, slots and timers are empty."),
    Property(
        "no-guard",
        "deadlines",
        "The guard timer after the deadline never has to answer, since the Router acts in time.",
    ),
)


def _settings(second_copies: bool) -> Settings:
    classes = [{"aim": int(AIM * S), "give_up": int(GIVE_UP * S), "late_worth": 0.5}]
    return Settings.from_mapping(
        {
            "tick": 5000,
            "max_attempts": MAX_EXECUTIONS,
            "may_cancel": True,
            "cold_time": 10 * S,
            "cold_share": 0.2,
            "tip_multiple": 2.5,
            "second_copies": second_copies,
            "classes": classes,
        }
    )


SETTINGS_BY_SECOND_COPIES = {enabled: _settings(enabled) for enabled in (False, True)}


class Clock:
    """A clock that advances only to the next timer."""

    def __init__(self) -> None:
        self.now, self.count = 100.0, 0
        self.calls: list[tuple[float, int, Call]] = []

    def time(self) -> float:
        return self.now

    def call_at(self, when: float, callback: Callable[..., Any], /) -> Call:
        self.count += 1
        call = Call(callback)
        heapq.heappush(self.calls, (when, self.count, call))
        return call

    def has_timer(self) -> bool:
        """Returns whether a timer is pending, after removing the cancelled ones before it."""
        while self.calls and self.calls[0][2].callback is None:
            heapq.heappop(self.calls)
        return bool(self.calls)

    def fire(self) -> None:
        if self.has_timer():
            when, _, call = heapq.heappop(self.calls)
            self.now = max(self.now, when)
            assert call.callback is not None
            call.callback()


class Call:
    __slots__ = ("callback",)

    def __init__(self, callback: Callable[..., Any]) -> None:
        self.callback: Callable[..., Any] | None = callback

    def cancel(self) -> None:
        self.callback = None


class Carrier:
    """A scripted connection to a server."""

    def __init__(self) -> None:
        self.given_up = False  # closed by the router
        self.done = False  # the server has answered or closed it

    @property
    def open(self) -> bool:
        return not self.given_up and not self.done

    def give_up(self) -> None:
        self.given_up = True

    def pause(self, paused: bool) -> None: ...


class ScriptedClient:
    """A scripted client with one query, which records what it receives."""

    def __init__(self, number: int, whole: bool = False) -> None:
        self.number, self.whole = number, whole  # whole: events are buffered until the answer ends
        self.buffered: list[tuple[int, int]] = []
        self.query: Query | None = None
        self.handle = 0
        self.final_answers: list[str] = []
        self.events: list[tuple[int, int]] = []  # execution, event number
        self.left = False
        self.executions: list[Execution] = []
        self.carriers: list[Carrier] = []
        self.made: dict[int, int] = {}  # number of events per execution

    def gone(self) -> bool:
        return self.left

    def pass_on(self, events: bytes) -> bool:
        execution, at = map(int, events.split(b"."))
        (self.buffered if self.whole else self.events).append((execution, at))
        return not self.whole

    def again(self) -> None:
        self.buffered = []

    def finish(self) -> None:
        self.events += self.buffered
        self.final_answers.append("served")

    def cut(self) -> None:
        self.final_answers.append("cut")

    def refuse(self, retry_after: int) -> None:
        self.final_answers.append("refused")

    def fail(self, timed_out: bool) -> None:
        self.final_answers.append("timed out" if timed_out else "failed")

    def blame(self, end: Blamed) -> None:
        self.final_answers.append("blamed")

    @property
    def over(self) -> bool:
        return bool(self.final_answers) or self.left

    def live_execution(self) -> Execution | None:
        for execution, carrier in zip(self.executions, self.carriers, strict=True):
            if not execution.ended and carrier.open:
                return execution
        return None


class AttemptMachine:
    """The machine of this model.

    `queries` and `servers` are counts, `draw` is the value of every random draw of the Router, `lists` the maximum
    number of list changes; `may_hurry` enables the events of a shutdown.
    """

    def __init__(
        self,
        queries: int = 2,
        servers: int = 2,
        draw: float = 0.3,
        lists: int = 2,
        may_hurry: bool = True,
        events: int = 2,
        second_copies: bool = False,
        whole: bool = False,
    ) -> None:
        self.clock, self.counters = Clock(), Counters()
        self.max_in_flight = 2 if second_copies else 1
        self.core = Core(SETTINGS_BY_SECOND_COPIES[second_copies], 1, Deadlines(self.clock), self.counters, self)
        self.core.router.random = lambda: draw
        self.lists, self.may_hurry, self.max_events = lists, may_hurry, events
        self.clients = [ScriptedClient(number, whole) for number in range(queries)]
        self.by_query: dict[int, ScriptedClient] = {}
        self.status = dict.fromkeys(range(1, servers + 1), "ready")
        self.breaches_seen: list[str] = []
        self.premises: set[str] = set()
        self.hurried = False
        self.core.start()
        self._list(ListKind.FULL, {number: State.READY for number in self.status})

    # -- environment of the core ---------------------------------------------------------------------------

    def start(self, execution: Execution) -> Carrier | None:
        client = self.by_query[id(execution.query)]
        if self.status[execution.replica] == "gone":
            return None
        self.premises.add("at-most-three")
        if client.executions:
            self.premises.add("never-two-out")
        numbers = [
            earlier.number
            for earlier, carrier in zip(client.executions, client.carriers, strict=True)
            if carrier.open
        ]
        if len(numbers) >= self.max_in_flight:
            self.breaches_seen.append(f"never-two-out: {_name(client)} is sent again while {numbers} are in flight")
        if len(client.executions) >= MAX_EXECUTIONS:
            self.breaches_seen.append(f"at-most-three: {_name(client)} gets {len(client.executions) + 1} executions")
        if client.events:
            self.breaches_seen.append(f"no-retry-behind-event: {_name(client)} is sent again after an event")
        if "draining" in self.status.values() or "gone" in self.status.values():
            self.premises.add("drain")
        if self.status[execution.replica] != "ready":
            self.breaches_seen.append(
                f"drain: {_name(client)} goes to {execution.replica}, {self.status[execution.replica]}"
            )
        if client.over:
            self.breaches_seen.append(f"one-final: {_name(client)} is sent again after it ended")
        carrier = Carrier()
        client.executions.append(execution)
        client.carriers.append(carrier)
        return carrier

    def _list(self, kind: ListKind, states: dict[int, State]) -> None:
        self.core.listed(ReplicaList(kind, [Replica(number, 0, 0, state) for number, state in states.items()]))

    # -- machine -------------------------------------------------------------------------------------------

    def events(self) -> list[str]:
        out = []
        for client in self.clients:
            name = _name(client)
            if client.query is None:
                if (
                    client.number == 0 or self.clients[client.number - 1].query is not None
                ):  # clients are interchangeable
                    out.append(f"ask {name}")
                continue
            if not client.over:
                out.append(f"leave {name}")
            execution = client.live_execution()
            if execution is None:
                continue
            if execution.streaming:
                if client.made.get(execution.number, 0) < self.max_events:
                    out.append(f"event {name}")
                out += [f"end {name}", f"reset {name}"]
            else:
                out += [
                    f"event {name}",
                    f"refused {name}",
                    f"reset {name}",
                    f"away {name}",
                    f"error {name}",
                    f"blame {name}",
                ]
        if self.lists > 0:
            for number, status in self.status.items():
                out += {
                    "ready": [f"drain {number}", f"gone {number}"],
                    "draining": [f"gone {number}"],
                    "gone": [f"back {number}"],
                }[status]
        if self.may_hurry and not self.hurried:
            out += ["hurry", "move"]
        if self.clock.has_timer():
            out.append("tick")
        return out

    def apply(self, event: str) -> None:
        self.breaches_seen, self.premises = [], set()
        kind, _, rest = event.partition(" ")
        with contextlib.redirect_stderr(io.StringIO()):
            if kind == "tick":
                self.clock.fire()
            elif kind in ("drain", "gone", "back"):
                self._change_list(kind, int(rest))
            elif kind == "hurry":
                self.hurried = True
                self.core.hurry(True, self.clock.now)
            elif kind == "move":
                self.core.move_streams()
            elif kind == "ask":
                self._ask(self.clients[int(rest[1:])])
            else:
                self._apply_to_client(kind, self.clients[int(rest[1:])])

    def _change_list(self, kind: str, number: int) -> None:
        self.lists -= 1
        self.status[number] = {"drain": "draining", "gone": "gone", "back": "ready"}[kind]
        state = {"drain": State.DRAINING, "gone": State.GONE, "back": State.READY}[kind]
        self._list(ListKind.DELTA, {number: state})

    def _ask(self, client: ScriptedClient) -> None:
        now = self.clock.now
        client.query = Query(0, now + GIVE_UP, client, txn=_name(client), prompt_tokens=100.0)
        self.by_query[id(client.query)] = client
        client.handle = self.core.take(client.query)

    def _apply_to_client(self, kind: str, client: ScriptedClient) -> None:
        if kind == "leave":
            client.left = True
            self.core.client_gone(client.handle)
            return
        execution = client.live_execution()
        assert execution is not None
        if kind == "event":
            at = client.made[execution.number] = client.made.get(execution.number, 0) + 1
            self.core.received(execution, b"%d.%d" % (execution.number, at))
            return
        client.carriers[client.executions.index(execution)].done = True
        reach = Reach.ANSWERING if execution.streaming else Reach.FULLY_WRITTEN
        end: Any = {
            "end": Served(),
            "reset": Broken(reach, "reset"),
            "refused": Broken(Reach.NOT_CONNECTED, "refused"),
            "away": Declined(True),
            "error": Declined(False),
            "blame": Blamed(400, b"{}", "application/json"),
        }[kind]
        self.core.ended(execution, end)

    def state(self) -> object:
        now = self.clock.now
        router = self.core.router
        timers = sorted(
            (
                round((when - now) * 1e6),
                getattr(deadline.call, "__qualname__", "") or repr(_callback_name(deadline.call)),
            )
            for when, _, deadline in self.core.deadlines.heap
            if deadline.call is not None
        )
        numbers = {client.handle: client.number for client in self.clients if client.query is not None}
        queries = [
            (
                client.query is not None,
                tuple(client.final_answers),
                tuple(client.events),
                client.left,
                tuple(client.buffered),
                tuple(
                    (
                        execution.replica,
                        execution.streaming,
                        execution.ended,
                        carrier.given_up,
                        client.made.get(execution.number, 0),
                    )
                    for execution, carrier in zip(client.executions, client.carriers, strict=True)
                ),
                round((client.query.deadline - now) * 1e6) if client.query is not None and not client.over else 0,
                client.query.in_flight if client.query is not None else 0,
            )
            for client in self.clients
        ]
        calls = sorted(
            (
                numbers.get(id, -1),
                call.in_flight,
                call.answered,
                call.streaming,
                max(0, call.hedge_at - router.now),
                tuple((attempt.replica.id, attempt.result, attempt.waiting) for attempt in call.attempts),
            )
            for id, call in router.pending.items()
        )
        replicas = sorted(
            (
                one.id,
                one.ready,
                max(0, one.ejected_until - router.now),
                one.consecutive_5xx,
                one.consecutive_gateway_failure,
                one.streams,
                max(0, one.full_until - router.now),
            )
            for one in router.replicas.values()
        )
        queued = sorted(numbers.get(id, -1) for id in router.queued)
        return (queries, calls, replicas, queued, tuple(self.status.items()), timers, self.hurried, self.lists)

    def breaches(self) -> list[str]:
        out = self.breaches_seen
        now, core, router = self.clock.now, self.core, self.core.router
        for client in self.clients:
            query, name = client.query, _name(client)
            if query is None:
                continue
            if len(client.final_answers) > 1:
                out.append(f"one-final: {name} received {', '.join(client.final_answers)}")
            if client.final_answers and client.left:
                out.append(f"one-final: {name} disconnected, but received {client.final_answers[0]}")
            current = client.live_execution()
            begun = bool(client.events) or (current is not None and current.streaming)
            if not client.over and not begun and now > query.deadline + DEADLINE_TOLERANCE:
                out.append(f"in-time: {name} is unanswered {now - query.deadline:.3f} s after its deadline")
            received = list(client.events)
            if received and (
                len({execution for execution, _ in received}) > 1
                or [at for _, at in received] != list(range(1, len(received) + 1))
            ):
                out.append(f"whole: {name} received {received}")
            if "served" in client.final_answers and len(received) != (
                client.made.get(received[0][0], 0) if received else 0
            ):
                out.append(f"whole: {name} was served with {len(received)} events")
            live = sum(not execution.ended for execution in client.executions)
            open = sum(carrier.open for carrier in client.carriers)
            if client.over and open:
                out.append(f"let-go: {name} has ended, but has {open} open connections")
            if open > self.max_in_flight:
                out.append(f"never-two-out: {name} has {open} open connections")
            if query.in_flight != live:
                out.append(f"books: {name} has {live} in flight, but the core counts {query.in_flight}")
            call = router.pending.get(client.handle)
            router_count = call.in_flight if call is not None else 0
            if router_count != live:
                out.append(f"books: {name} has {live} in flight, but the Router counts {router_count}")
            if not client.over and call is None:
                out.append(f"not-delayed: the Router gave up {name} without notifying its client")
            if call is not None and call.answered and not client.over:
                out.append(f"not-delayed: the Router answered {name} without notifying its client")
        if core.counters.overdue:
            out.append("no-guard: the guard timer had to answer")
        if all(client.over for client in self.clients if client.query is not None) and not any(
            not execution.ended for client in self.clients for execution in client.executions
        ):
            out += self._check_released()
        return out

    def _check_released(self) -> list[str]:
        """Checks that nothing is left after all queries have ended."""
        core, router = self.core, self.core.router
        remaining = {
            "queries": len(core.queries),
            "ids": len(core.open_ids),
            "calls": len(router.pending),
            "queued": len(router.queued),
            "in flight": router.in_flight,
            "streams": sum(one.streams for one in router.replicas.values()),
            "waiting": sum(len(one.waiting) for one in router.replicas.values()),
        }
        left = {name: count for name, count in remaining.items() if count}
        return [f"at-rest: {left}"] if left else []

    def applied(self) -> Iterable[str]:
        taken = [client for client in self.clients if client.query is not None]
        out = set(self.premises)
        if taken:
            out |= {"books", "not-delayed"}
        if any(client.over for client in taken):
            out |= {"one-final", "let-go"}
        if taken and all(client.over for client in taken):
            out.add("at-rest")
        if any(client.events for client in taken):
            out |= {"whole"}
            if any(client.events and "cut" in client.final_answers for client in taken):
                out.add("no-retry-behind-event")
        if any(client.query is not None and self.clock.now >= client.query.deadline - 0.1 for client in taken):
            out |= {"in-time", "no-guard"}
        return out

    def settle(self) -> list[str]:
        """Without further events from servers and clients, timers alone must end every query."""
        if broken := fire_due_timers(self, self.clock.has_timer):
            return broken
        unfinished = [_name(client) for client in self.clients if client.query is not None and not client.over]
        if unfinished:
            return [f"answered: {', '.join(unfinished)} never ended"]
        if len(self.core.deadlines):
            return [f"at-rest: {len(self.core.deadlines)} timers"]
        return []


def _name(client: ScriptedClient) -> str:
    return f"q{client.number}"


def _callback_name(call: Any) -> Any:
    """Describes a timer's callback without memory addresses."""
    if isinstance(call, partial):
        return getattr(call.func, "__name__", ""), [str(one) for one in call.args if isinstance(one, int | str)]
    return getattr(call, "__name__", "")


COMMUTING = frozenset({"event", "end", "leave", "blame"})


def independent(one: str, other: str) -> bool:
    """Returns whether two events commute.

    They do if they concern two different queries, send nothing and do not affect the statistics of a server.
    """
    first, second = one.split(" "), other.split(" ")
    return first[0] in COMMUTING and second[0] in COMMUTING and first[1] != second[1]


SHAPES: dict[str, Callable[[], AttemptMachine]] = {
    "one": partial(AttemptMachine, 1, 2, 0.3, 2),
    "one, other draw": partial(AttemptMachine, 1, 3, 0.8, 1),
    "two": partial(AttemptMachine, 2, 2, 0.3, 1, False, 1),
    "two, ending": partial(AttemptMachine, 2, 2, 0.3, 0, True, 1),
    "whole answers": partial(AttemptMachine, 1, 2, 0.3, 1, True, 1, False, True),
    "second copies": partial(AttemptMachine, 1, 2, 0.3, 1, True, 1, True),
}
MODEL = Model(
    "attempt",
    "queries and their executions, on the core with the Router",
    PROPERTIES,
    dict(SHAPES),
    {
        "one": (8, 11),
        "one, other draw": (8, 10),
        "two": (7, 9),
        "two, ending": (7, 9),
        "whole answers": (8, 10),
        "second copies": (7, 10),
    },
    independent,
)

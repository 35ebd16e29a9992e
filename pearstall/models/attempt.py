"""The first machine: queries and their executions, on the real core with the real Router.

Servers, clients and the clock are scripted; every event that they can bring may come at any moment, and due timers
fire one instant after the other, with any event before or behind them. The Router's draws are fixed, for a draw is
no event: a shape names the draw. Predictions and other running means are left out of a state, so two states that
differ in them only are taken for one: what is learned decides which server is picked, and not what a rule allows.
"""

from __future__ import annotations

import contextlib
import heapq
import io
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

from pearstall.interface import ListKind, Replica, ReplicaList, Settings, State
from pearstall.models.explore import Model, Property, run_out
from pearstall.net.core import Blamed, Broken, Core, Declined, Execution, Query, Reach, Served
from pearstall.net.counters import Counters
from pearstall.net.deadlines import Deadlines

S = 1_000_000
AIM, GIVE_UP = 1.0, 2.0  # seconds
LATE = 0.05
MOST = 3

PROPERTIES = (
    Property("one-final", "the rule on final answers", "A query is finally answered once at most."),
    Property(
        "in-time", "the rule on final answers", "By its deadline (+50 ms) a query is answered or has a first event."
    ),
    Property(
        "answered", "the rule on final answers", "With nobody doing anything more, every query comes to its end."
    ),
    Property("at-most-three", "the rule on executions", "No query has more than three executions."),
    Property(
        "never-two-out",
        "the rule on executions",
        "An execution begins only when every earlier one has ended or its link was closed; with second copies, "
        "all but one.",
    ),
    Property("no-retry-behind-event", "the rule on executions", "Nothing is sent again once an event was passed on."),
    Property("whole", "the rule on events", "What is passed on is one execution's events, in their order, once."),
    Property("drain", "the rule on drains", "No execution goes to a server that is known to drain or to be gone."),
    Property(
        "not-delayed", "final answers are not delayed", "What the Router has given up, its client has heard of."
    ),
    Property("let-go", "the rule on executions", "Whoever has its final answer, or has gone, has nothing out."),
    Property("books", "nothing leaks", "Core and Router agree on what is out."),
    Property("at-rest", "nothing leaks", "When all is over, tables, ids, slots and timers are empty."),
    Property("no-guard", "deadlines", "The guard behind the deadline never has to answer: the Router was in time."),
)


def _rules(second_copies: bool) -> Settings:
    rows = [{"aim": int(AIM * S), "give_up": int(GIVE_UP * S), "late_worth": 0.5}]
    return Settings.from_mapping(
        {
            "tick": 5000,
            "max_attempts": MOST,
            "may_cancel": True,
            "cold_time": 10 * S,
            "cold_share": 0.2,
            "tip_multiple": 2.5,
            "second_copies": second_copies,
            "classes": rows,
        }
    )


RULES = {answer: _rules(answer) for answer in (False, True)}


class Clock:
    """Moves only to the next timer."""

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

    def due(self) -> bool:
        while self.calls and self.calls[0][2].callback is None:
            heapq.heappop(self.calls)
        return bool(self.calls)

    def fire(self) -> None:
        if self.due():
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
    """A link to a server, as that server sees it."""

    def __init__(self) -> None:
        self.given_up = False  # closed by the router
        self.done = False  # the server has answered, or broken it

    @property
    def open(self) -> bool:
        return not self.given_up and not self.done

    def give_up(self) -> None:
        self.given_up = True

    def pause(self, paused: bool) -> None: ...


class Asked:
    """One client: its query's answer, and the books on it."""

    def __init__(self, number: int, whole: bool = False) -> None:
        self.number, self.whole = number, whole  # whole: it gets its answer at its end, and events are kept back
        self.kept: list[tuple[int, int]] = []
        self.query: Query | None = None
        self.handle = 0
        self.said: list[str] = []  # final answers
        self.events: list[tuple[int, int]] = []  # execution, number of the event
        self.left = False
        self.runs: list[Execution] = []
        self.carriers: list[Carrier] = []
        self.made: dict[int, int] = {}  # events that each execution made

    def gone(self) -> bool:
        return self.left

    def pass_on(self, events: bytes) -> bool:
        run, at = map(int, events.split(b"."))
        (self.kept if self.whole else self.events).append((run, at))
        return not self.whole

    def again(self) -> None:
        self.kept = []

    def finish(self) -> None:
        self.events += self.kept
        self.said.append("served")

    def cut(self) -> None:
        self.said.append("cut")

    def refuse(self, retry_after: int) -> None:
        self.said.append("refused")

    def fail(self, timed_out: bool) -> None:
        self.said.append("timed out" if timed_out else "failed")

    def blame(self, end: Blamed) -> None:
        self.said.append("blamed")

    @property
    def over(self) -> bool:
        return bool(self.said) or self.left

    def live(self) -> Execution | None:
        for run, carrier in zip(self.runs, self.carriers, strict=True):
            if not run.ended and carrier.open:
                return run
        return None


class Attempts:
    """`queries` and `servers`: how many; `draw`: what every random draw of the Router comes to; `lists`: changes of
    the list at most; `hurries`: whether the program may be asked to end."""

    def __init__(
        self,
        queries: int = 2,
        servers: int = 2,
        draw: float = 0.3,
        lists: int = 2,
        hurries: bool = True,
        events: int = 2,
        second_copies: bool = False,
        whole: bool = False,
    ) -> None:
        self.clock, self.counters = Clock(), Counters()
        self.most_out = 2 if second_copies else 1
        self.core = Core(RULES[second_copies], 1, Deadlines(self.clock), self.counters, self)
        self.core.router.random = lambda: draw
        self.lists, self.hurries, self.most_events = lists, hurries, events
        self.asked = [Asked(number, whole) for number in range(queries)]
        self.by_query: dict[int, Asked] = {}
        self.status = dict.fromkeys(range(1, servers + 1), "ready")
        self.found: list[str] = []
        self.premises: set[str] = set()
        self.hurried = False
        self.core.start()
        self._list(ListKind.FULL, {number: State.READY for number in self.status})

    # -- what surrounds the core ---------------------------------------------------------------------------

    def start(self, execution: Execution) -> Carrier | None:
        asked = self.by_query[id(execution.query)]
        if self.status[execution.replica] == "gone":
            return None
        self.premises.add("at-most-three")
        if asked.runs:
            self.premises.add("never-two-out")
        out = [run.number for run, carrier in zip(asked.runs, asked.carriers, strict=True) if carrier.open]
        if len(out) >= self.most_out:
            self.found.append(f"never-two-out: {_name(asked)} again while {out} are out")
        if len(asked.runs) >= MOST:
            self.found.append(f"at-most-three: {_name(asked)} goes out for the {len(asked.runs) + 1}th time")
        if asked.events:
            self.found.append(f"no-retry-behind-event: {_name(asked)} goes out behind an event")
        if "draining" in self.status.values() or "gone" in self.status.values():
            self.premises.add("drain")
        if self.status[execution.replica] != "ready":
            self.found.append(f"drain: {_name(asked)} goes to {execution.replica}, {self.status[execution.replica]}")
        if asked.over:
            self.found.append(f"one-final: {_name(asked)} goes out though it is over")
        carrier = Carrier()
        asked.runs.append(execution)
        asked.carriers.append(carrier)
        return carrier

    def _list(self, kind: ListKind, states: dict[int, State]) -> None:
        self.core.listed(ReplicaList(kind, [Replica(number, 0, 0, state) for number, state in states.items()]))

    # -- the machine ---------------------------------------------------------------------------------------

    def events(self) -> list[str]:
        out = []
        for asked in self.asked:
            name = _name(asked)
            if asked.query is None:
                if asked.number == 0 or self.asked[asked.number - 1].query is not None:  # clients are alike
                    out.append(f"ask {name}")
                continue
            if not asked.over:
                out.append(f"leave {name}")
            run = asked.live()
            if run is None:
                continue
            if run.streaming:
                if asked.made.get(run.number, 0) < self.most_events:
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
        if self.hurries and not self.hurried:
            out += ["hurry", "move"]
        if self.clock.due():
            out.append("tick")
        return out

    def apply(self, event: str) -> None:
        self.found, self.premises = [], set()
        kind, _, rest = event.partition(" ")
        with contextlib.redirect_stderr(io.StringIO()):
            if kind == "tick":
                self.clock.fire()
            elif kind in ("drain", "gone", "back"):
                self._change(kind, int(rest))
            elif kind == "hurry":
                self.hurried = True
                self.core.hurry(True, self.clock.now)
            elif kind == "move":
                self.core.move_streams()
            elif kind == "ask":
                self._ask(self.asked[int(rest[1:])])
            else:
                self._of(kind, self.asked[int(rest[1:])])

    def _change(self, kind: str, number: int) -> None:
        self.lists -= 1
        self.status[number] = {"drain": "draining", "gone": "gone", "back": "ready"}[kind]
        state = {"drain": State.DRAINING, "gone": State.GONE, "back": State.READY}[kind]
        self._list(ListKind.DELTA, {number: state})

    def _ask(self, asked: Asked) -> None:
        now = self.clock.now
        asked.query = Query(0, now + GIVE_UP, asked, txn=_name(asked), prompt_tokens=100.0)
        self.by_query[id(asked.query)] = asked
        asked.handle = self.core.take(asked.query)

    def _of(self, kind: str, asked: Asked) -> None:
        if kind == "leave":
            asked.left = True
            self.core.client_gone(asked.handle)
            return
        run = asked.live()
        assert run is not None
        if kind == "event":
            at = asked.made[run.number] = asked.made.get(run.number, 0) + 1
            self.core.received(run, b"%d.%d" % (run.number, at))
            return
        asked.carriers[asked.runs.index(run)].done = True
        reach = Reach.ANSWERING if run.streaming else Reach.FULLY_WRITTEN
        end: Any = {
            "end": Served(),
            "reset": Broken(reach, "reset"),
            "refused": Broken(Reach.NOT_CONNECTED, "refused"),
            "away": Declined(True),
            "error": Declined(False),
            "blame": Blamed(400, b"{}", "application/json"),
        }[kind]
        self.core.ended(run, end)

    def state(self) -> object:
        now = self.clock.now
        router = self.core.router
        timers = sorted(
            (round((when - now) * 1e6), getattr(deadline.call, "__qualname__", "") or repr(_told(deadline.call)))
            for when, _, deadline in self.core.deadlines.heap
            if deadline.call is not None
        )
        numbers = {asked.handle: asked.number for asked in self.asked if asked.query is not None}
        queries = [
            (
                asked.query is not None,
                tuple(asked.said),
                tuple(asked.events),
                asked.left,
                tuple(asked.kept),
                tuple(
                    (run.replica, run.streaming, run.ended, carrier.given_up, asked.made.get(run.number, 0))
                    for run, carrier in zip(asked.runs, asked.carriers, strict=True)
                ),
                round((asked.query.deadline - now) * 1e6) if asked.query is not None and not asked.over else 0,
                asked.query.in_flight if asked.query is not None else 0,
            )
            for asked in self.asked
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
        held = sorted(numbers.get(id, -1) for id in router.queued)
        return (queries, calls, replicas, held, tuple(self.status.items()), timers, self.hurried, self.lists)

    def breaches(self) -> list[str]:
        out = self.found
        now, core, router = self.clock.now, self.core, self.core.router
        for asked in self.asked:
            query, name = asked.query, _name(asked)
            if query is None:
                continue
            if len(asked.said) > 1:
                out.append(f"one-final: {name} was told {', '.join(asked.said)}")
            if asked.said and asked.left:
                out.append(f"one-final: {name} has gone, and was told {asked.said[0]}")
            live_run = asked.live()
            begun = bool(asked.events) or (live_run is not None and live_run.streaming)
            if not asked.over and not begun and now > query.deadline + LATE:
                out.append(f"in-time: {name} waits {now - query.deadline:.3f} s past its deadline")
            made = list(asked.events)
            if made and (
                len({run for run, _ in made}) > 1 or [at for _, at in made] != list(range(1, len(made) + 1))
            ):
                out.append(f"whole: {name} was given {made}")
            if "served" in asked.said and len(made) != (asked.made.get(made[0][0], 0) if made else 0):
                out.append(f"whole: {name} was served with {len(made)} events")
            live = sum(not run.ended for run in asked.runs)
            open = sum(carrier.open for carrier in asked.carriers)
            if asked.over and open:
                out.append(f"let-go: {name} is over, and {open} of its links are open")
            if open > self.most_out:
                out.append(f"never-two-out: {name} has {open} links open")
            if query.in_flight != live:
                out.append(f"books: {name} has {live} out, and the core counts {query.in_flight}")
            call = router.pending.get(asked.handle)
            known = call.in_flight if call is not None else 0
            if known != live:
                out.append(f"books: {name} has {live} out, and the Router counts {known}")
            if not asked.over and call is None:
                out.append(f"not-delayed: {name} is given up, and its client was not told")
            if call is not None and call.answered and not asked.over:
                out.append(f"not-delayed: the Router has answered {name}, and its client was not told")
        if core.counters.overdue:
            out.append("no-guard: an answer was overdue")
        if all(asked.over for asked in self.asked if asked.query is not None) and not any(
            not run.ended for asked in self.asked for run in asked.runs
        ):
            out += self._left()
        return out

    def _left(self) -> list[str]:
        """What is still held though all is over."""
        core, router = self.core, self.core.router
        held = {
            "queries": len(core.queries),
            "ids": len(core.open_ids),
            "calls": len(router.pending),
            "held": len(router.queued),
            "out": router.in_flight,
            "streams": sum(one.streams for one in router.replicas.values()),
            "waiting": sum(len(one.waiting) for one in router.replicas.values()),
        }
        left = {name: count for name, count in held.items() if count}
        return [f"at-rest: {left}"] if left else []

    def applied(self) -> Iterable[str]:
        taken = [asked for asked in self.asked if asked.query is not None]
        out = set(self.premises)
        if taken:
            out |= {"books", "not-delayed"}
        if any(asked.over for asked in taken):
            out |= {"one-final", "let-go"}
        if taken and all(asked.over for asked in taken):
            out.add("at-rest")
        if any(asked.events for asked in taken):
            out |= {"whole"}
            if any(asked.events and "cut" in asked.said for asked in taken):
                out.add("no-retry-behind-event")
        if any(asked.query is not None and self.clock.now >= asked.query.deadline - 0.1 for asked in taken):
            out |= {"in-time", "no-guard"}
        return out

    def settle(self) -> list[str]:
        """Servers say nothing more, and no client asks again: timers alone must bring everything to its end."""
        if broken := run_out(self, self.clock.due):
            return broken
        open = [_name(asked) for asked in self.asked if asked.query is not None and not asked.over]
        if open:
            return [f"answered: {', '.join(open)} never came to an end"]
        if len(self.core.deadlines):
            return [f"at-rest: {len(self.core.deadlines)} timers"]
        return []


def _name(asked: Asked) -> str:
    return f"q{asked.number}"


def _told(call: Any) -> Any:
    """What a timer will do, without where it lies in memory."""
    if isinstance(call, partial):
        return getattr(call.func, "__name__", ""), [str(one) for one in call.args if isinstance(one, int | str)]
    return getattr(call, "__name__", "")


CALM = frozenset({"event", "end", "leave", "blame"})


def independent(one: str, other: str) -> bool:
    """What neither sends anything nor counts for or against a server, at two different queries."""
    first, second = one.split(" "), other.split(" ")
    return first[0] in CALM and second[0] in CALM and first[1] != second[1]


SHAPES: dict[str, Callable[[], Attempts]] = {
    "one": partial(Attempts, 1, 2, 0.3, 2),
    "one, other draw": partial(Attempts, 1, 3, 0.8, 1),
    "two": partial(Attempts, 2, 2, 0.3, 1, False, 1),
    "two, ending": partial(Attempts, 2, 2, 0.3, 0, True, 1),
    "whole answers": partial(Attempts, 1, 2, 0.3, 1, True, 1, False, True),
    "second copies": partial(Attempts, 1, 2, 0.3, 1, True, 1, True),
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

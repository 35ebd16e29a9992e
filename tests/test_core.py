"""The core without a wire, on a clock of its own: outcomes, and rules that stand whatever the Router asks."""

from __future__ import annotations

import asyncio
import heapq
import socket
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pearstall.interface import ListKind, Replica, ReplicaList, Result, Send, State
from pearstall.net.core import (
    Blamed,
    Broken,
    Carrier,
    Core,
    Declined,
    Execution,
    Query,
    Reach,
    Served,
    result_of,
)
from pearstall.net.counters import Counters
from pearstall.net.deadlines import Deadlines
from pearstall.net.pending import pending
from pearstall.net.slots import Slots
from tests.net_support import cut_settings
from tests.support import settings


class Clock:
    """Time that moves only when told."""

    def __init__(self) -> None:
        self.now, self.calls, self.count = 100.0, [], 0  # type: float, list[Any], int

    def time(self) -> float:
        return self.now

    def call_at(self, when: float, callback: Callable[..., Any], /) -> Clock.Call:
        self.count += 1
        call = Clock.Call(callback)
        heapq.heappush(self.calls, (when, self.count, call))
        return call

    def move(self, by: float) -> None:
        end = self.now + by
        while self.calls and self.calls[0][0] <= end:
            when, _, call = heapq.heappop(self.calls)
            self.now = max(self.now, when)
            if call.callback is not None:
                call.callback()
        self.now = end

    class Call:
        def __init__(self, callback: Callable[..., Any] | None) -> None:
            self.callback = callback

        def cancel(self) -> None:
            self.callback = None


class Scene:
    """A core between a client and servers that only keep books."""

    def __init__(self, **klass: Any) -> None:
        self.clock, self.counters = Clock(), Counters()
        self.said: list[str] = []
        self.out: list[Execution] = []
        self.left = False
        rules = settings({"late_worth": 0.5, **klass}, max_attempts=3)
        self.core = Core(rules, 7, Deadlines(self.clock), self.counters, self)
        self.core.start()
        replicas = [Replica(id, 0, 0, State.READY) for id in (1, 2, 3)]
        self.core.listed(ReplicaList(ListKind.FULL, replicas))

    def start(self, execution: Execution) -> Carrier | None:
        self.out.append(execution)
        self.said.append(f"send {execution.number}")
        return self

    def give_up(self) -> None:
        self.said.append("close")

    def pause(self, paused: bool) -> None:
        self.said.append(f"pause {paused}")

    def gone(self) -> bool:
        return self.left

    def again(self) -> None: ...

    def pass_on(self, events: bytes) -> bool:
        self.said.append(events.decode())
        return events != b"kept back"

    def finish(self) -> None:
        self.said.append("finish")

    def cut(self) -> None:
        self.said.append("cut")

    def refuse(self, retry_after: int) -> None:
        self.said.append("refuse")

    def fail(self, timed_out: bool) -> None:
        self.said.append("fail")

    def blame(self, end: Blamed) -> None:
        self.said.append(f"blame {end.status}")

    def ask(self) -> Query:
        query = Query(0, self.clock.now + 5.0, self)
        self.core.take(query)
        return query


@pytest.mark.parametrize(
    ("end", "result"),
    [
        (Served(5), Result.OK),
        (Declined(True), Result.FULL),
        (Declined(False), Result.ERROR),
        (Blamed(400, b"", ""), Result.CANCELLED),
        (Broken(Reach.NOT_CONNECTED, ""), Result.CONNECT_FAILED),
        (Broken(Reach.PARTLY_WRITTEN, ""), Result.CONNECT_FAILED),
        (Broken(Reach.FULLY_WRITTEN, ""), Result.RESET),
        (Broken(Reach.ANSWERING, ""), Result.RESET),
    ],
)
def test_outcomes_follow_the_protocols_table(end: Any, result: Result) -> None:
    assert result_of(end) == result


def test_a_stream_broken_after_its_first_event_is_cut_and_not_sent_again() -> None:
    scene = Scene()
    query = scene.ask()
    scene.core.passed(scene.out[0], b"one")
    scene.core.pause(query.handle, True)
    scene.core.ended(scene.out[0], Broken(Reach.ANSWERING, ""))
    assert scene.said == ["send 0", "one", "pause True", "cut"] and not len(scene.core.queries)


def test_a_stream_without_an_event_for_long_is_cut_but_a_paused_one_is_not() -> None:
    """A machine that vanishes says nothing: its client would wait for ever."""
    scene = Scene()
    query = scene.ask()
    scene.core.passed(scene.out[0], b"one")
    scene.clock.move(3.0)
    scene.core.passed(scene.out[0], b"two")
    scene.core.pause(query.handle, True)
    scene.clock.move(30.0)
    scene.core.pause(query.handle, False)
    scene.clock.move(3.0)
    assert scene.said == ["send 0", "one", "two", "pause True", "pause False"]
    scene.clock.move(3.0)
    assert scene.said[5:] == ["close", "cut"] and not len(scene.core.queries)


def test_streams_are_handed_on_only_where_queries_have_stopped_coming() -> None:
    """With no other router in service, clients came back to this one for the rest, and were cut once more."""
    scene = Scene()
    scene.ask()
    scene.core.passed(scene.out[0], b"one")
    scene.core.move()
    assert scene.said == ["send 0", "one"]
    scene.clock.move(1.0)
    scene.core.move()
    assert scene.said[2:] == ["cut", "close"] and not len(scene.core.queries)


@pytest.mark.parametrize("resumable", [False, True])
def test_before_the_program_is_killed_what_waits_may_ask_elsewhere(resumable: bool) -> None:
    """A stream asked for early runs on: all were cut at once, and their clients came back as one crowd to the
    other router, or to none, while the one before was still starting."""
    scene = Scene()
    scene.ask()
    scene.core.passed(scene.out[0], b"early")
    scene.clock.move(1.0)
    scene.ask()
    scene.core.passed(scene.out[1], b"late")
    scene.ask()
    scene.core.hurry(resumable, scene.clock.time() - 0.5)
    scene.core.passed(scene.out[0], b"on")
    moved = ["cut", "close"] if resumable else []
    assert scene.said == ["send 0", "early", "send 0", "late", "send 0", *moved, "refuse", "close", "on"]
    assert len(scene.core.queries) == (1 if resumable else 2)
    scene.ask()  # could not be answered before the end
    assert scene.said[-1] == "refuse" and len(scene.out) == 3


def test_before_the_end_only_what_may_be_asked_again_is_refused() -> None:
    """A refusal says that to ask again does no harm: not of what may have run and must not run twice."""
    for effect, said in (("pure", "refuse"), ("side_effect", "fail")):
        scene = Scene(effect=effect)
        scene.ask()
        scene.core.hurry(False, scene.clock.time())
        assert said in scene.said and len(scene.said) == 3


def test_what_was_kept_back_may_be_sent_again_and_is_answered_in_time() -> None:
    scene = Scene()
    scene.ask()
    scene.core.passed(scene.out[0], b"kept back")
    scene.core.ended(scene.out[0], Broken(Reach.ANSWERING, ""))
    assert scene.said == ["send 0", "kept back", "send 1"]
    scene.clock.move(6.0)
    assert scene.said[-1] in ("refuse", "fail") and not len(scene.core.queries)


def test_the_old_link_is_closed_before_the_next_execution_and_three_are_the_most() -> None:
    scene = Scene()
    scene.ask()
    scene.clock.move(6.0)
    assert scene.said[:3] == ["send 0", "close", "send 1"] and scene.said.count("refuse") == 1
    assert len(scene.out) <= 3 and scene.said.count("close") == len(scene.out)


def test_two_executions_are_never_out_at_once_whoever_asks_for_it() -> None:
    scene = Scene()
    query = scene.ask()
    scene.core._carry_out([Send(query.handle, 2, 0)])
    assert scene.said == ["send 0"] and scene.counters.outcomes == {"moot": 1}


def test_a_query_that_nothing_answered_is_answered_by_the_guard() -> None:
    """Should the Router ever owe an answer at the deadline, the client still gets one, and only one."""
    scene = Scene()
    scene.core.router.handle = lambda now, event: []  # type: ignore[method-assign]
    scene.ask()
    scene.clock.move(5.05)
    assert scene.said == ["fail"] and scene.counters.overdue == 1 and not len(scene.core.queries)


def test_a_client_that_went_hears_nothing_more() -> None:
    scene = Scene()
    query = scene.ask()
    scene.core.client_gone(query.handle)
    scene.core.passed(scene.out[0], b"late")
    scene.core.ended(scene.out[0], Served())
    scene.clock.move(9.0)
    assert scene.said == ["send 0", "close"] and not len(scene.core.queries)


def test_what_waits_unread_on_a_connection_is_seen() -> None:
    """Else a link is closed on a query just come, or a query written to a link that has just ended."""
    for end in (b"x", b""):
        ours, theirs = socket.socketpair()

        class Transport(asyncio.BaseTransport):
            def get_extra_info(self, name: str, default: Any = None, ours: Any = ours) -> Any:
                return ours if name == "socket" else default

        assert not pending(Transport())
        theirs.sendall(end)
        if not end:
            theirs.close()
        assert pending(Transport())
        ours.close()
        assert pending(Transport())
        theirs.close()


@cut_settings
@given(st.lists(st.tuples(st.booleans(), st.integers(0, 9)), max_size=60))
def test_an_old_handle_finds_nothing(steps: list[tuple[bool, int]]) -> None:
    slots: Slots[int] = Slots()
    held: dict[int, int] = {}
    gone: list[int] = []
    for number, (add, pick) in enumerate(steps):
        if add or not held:
            held[slots.add(number)] = number
        else:
            handle = sorted(held)[pick % len(held)]
            assert slots.remove(handle) == held.pop(handle)
            gone.append(handle)
    assert {handle: slots.get(handle) for handle in held} == held and len(slots) == len(held)
    assert all(slots.get(handle) is None and slots.remove(handle) is None for handle in gone)
    assert sorted(slots) == sorted(held.values())


@cut_settings
@given(st.lists(st.tuples(st.integers(0, 50), st.booleans()), max_size=200))
def test_deadlines_come_in_their_order_and_cancelled_ones_never(items: list[tuple[int, bool]]) -> None:
    clock = Clock()
    deadlines, came = Deadlines(clock), list[int]()
    made = [deadlines.after(at, lambda at=at: came.append(at)) for at, _ in items]  # type: ignore[misc]
    for deadline, (_, cancelled) in zip(made, items, strict=True):
        if cancelled:
            deadline.cancel()
            deadline.cancel()
    assert len(deadlines) == sum(not cancelled for _, cancelled in items)
    clock.move(60)
    assert came == sorted(at for at, cancelled in items if not cancelled) and not len(deadlines)


def test_no_attempt_begins_for_a_client_that_has_left_unread() -> None:
    """Its end waits in the socket when the query is read, when another attempt is due, and when a link comes up."""
    before = Scene()
    before.left = True
    before.ask()
    assert before.said == [] and not len(before.core.queries)
    between = Scene()
    between.ask()
    between.left = True
    between.core.ended(between.out[0], Broken(Reach.NOT_CONNECTED, ""))
    between.clock.move(5.0)
    assert between.said == ["send 0"] and not len(between.core.queries)
    connecting = Scene()
    connecting.ask()
    assert connecting.core.wanted(connecting.out[0], True)
    connecting.left = True
    assert not connecting.core.wanted(connecting.out[0], True)
    assert connecting.out[0].ended and not len(connecting.core.queries)
    assert {scene.counters.clients_gone for scene in (before, between, connecting)} == {1}

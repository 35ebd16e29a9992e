"""The core without any wire format, on a simulated clock: outcomes, and the rules it enforces itself."""

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
    """A clock that advances only by `move`."""

    def __init__(self) -> None:
        self.now, self.timers, self.count = 100.0, [], 0  # type: float, list[Any], int

    def time(self) -> float:
        return self.now

    def call_at(self, when: float, callback: Callable[..., Any], /) -> Clock.Call:
        self.count += 1
        call = Clock.Call(callback)
        heapq.heappush(self.timers, (when, self.count, call))
        return call

    def move(self, by: float) -> None:
        end = self.now + by
        while self.timers and self.timers[0][0] <= end:
            when, _, call = heapq.heappop(self.timers)
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
    """A core with a client and model servers that only record what it does."""

    def __init__(self, **klass: Any) -> None:
        self.clock, self.counters = Clock(), Counters()
        self.calls: list[str] = []
        self.out: list[Execution] = []  # every execution that was started
        self.disconnected = False
        rules = settings({"late_worth": 0.5, **klass}, max_attempts=3)
        self.core = Core(rules, 7, Deadlines(self.clock), self.counters, self)
        self.core.start()
        replicas = [Replica(id, 0, 0, State.READY) for id in (1, 2, 3)]
        self.core.listed(ReplicaList(ListKind.FULL, replicas))

    def start(self, execution: Execution) -> Carrier | None:
        self.out.append(execution)
        self.calls.append(f"send {execution.number}")
        return self

    def give_up(self) -> None:
        self.calls.append("close")

    def pause(self, paused: bool) -> None:
        self.calls.append(f"pause {paused}")

    def gone(self) -> bool:
        return self.disconnected

    def again(self) -> None: ...

    def pass_on(self, events: bytes) -> bool:
        self.calls.append(events.decode())
        return events != b"kept back"

    def finish(self) -> None:
        self.calls.append("finish")

    def cut(self) -> None:
        self.calls.append("cut")

    def refuse(self, retry_after: int) -> None:
        self.calls.append("refuse")

    def fail(self, timed_out: bool) -> None:
        self.calls.append("fail")

    def blame(self, end: Blamed) -> None:
        self.calls.append(f"blame {end.status}")

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
    scene.core.received(scene.out[0], b"one")
    scene.core.pause(query.handle, True)
    scene.core.ended(scene.out[0], Broken(Reach.ANSWERING, ""))
    assert scene.calls == ["send 0", "one", "pause True", "cut"] and not len(scene.core.queries)


def test_a_stream_without_an_event_for_long_is_cut_but_a_paused_one_is_not() -> None:
    """A machine that vanishes sends no end: its client would wait forever."""
    scene = Scene()
    query = scene.ask()
    scene.core.received(scene.out[0], b"one")
    scene.clock.move(3.0)
    scene.core.received(scene.out[0], b"two")
    scene.core.pause(query.handle, True)
    scene.clock.move(30.0)
    scene.core.pause(query.handle, False)
    scene.clock.move(3.0)
    assert scene.calls == ["send 0", "one", "two", "pause True", "pause False"]
    scene.clock.move(3.0)
    assert scene.calls[5:] == ["close", "cut"] and not len(scene.core.queries)


def test_streams_are_moved_only_when_queries_have_stopped_arriving() -> None:
    """Without another router in service, clients returned to this one for the rest, and were cut again."""
    scene = Scene()
    scene.ask()
    scene.core.received(scene.out[0], b"one")
    scene.core.move_streams()
    assert scene.calls == ["send 0", "one"]
    scene.clock.move(1.0)
    scene.core.move_streams()
    assert scene.calls[2:] == ["cut", "close"] and not len(scene.core.queries)


@pytest.mark.parametrize("resumable", [False, True])
def test_before_the_program_is_killed_waiting_queries_are_refused(resumable: bool) -> None:
    """A stream that began early continues. When all were cut at once, their clients reconnected together, to the
    other router or to none while that one was still starting."""
    scene = Scene()
    scene.ask()
    scene.core.received(scene.out[0], b"early")
    scene.clock.move(1.0)
    scene.ask()
    scene.core.received(scene.out[1], b"late")
    scene.ask()
    scene.core.hurry(resumable, scene.clock.time() - 0.5)
    scene.core.received(scene.out[0], b"on")
    moved = ["cut", "close"] if resumable else []
    assert scene.calls == ["send 0", "early", "send 0", "late", "send 0", *moved, "refuse", "close", "on"]
    assert len(scene.core.queries) == (1 if resumable else 2)
    scene.ask()  # could not be answered before the kill
    assert scene.calls[-1] == "refuse" and len(scene.out) == 3


def test_before_the_end_only_repeatable_requests_are_refused() -> None:
    """A refusal means that a retry is harmless. A request that may have run and must not run twice fails instead."""
    for effect, expected in (("pure", "refuse"), ("side_effect", "fail")):
        scene = Scene(effect=effect)
        scene.ask()
        scene.core.hurry(False, scene.clock.time())
        assert expected in scene.calls and len(scene.calls) == 3


def test_a_query_whose_events_are_only_buffered_may_be_sent_again_and_is_answered_in_time() -> None:
    scene = Scene()
    scene.ask()
    scene.core.received(scene.out[0], b"kept back")
    scene.core.ended(scene.out[0], Broken(Reach.ANSWERING, ""))
    assert scene.calls == ["send 0", "kept back", "send 1"]
    scene.clock.move(6.0)
    assert scene.calls[-1] in ("refuse", "fail") and not len(scene.core.queries)


def test_the_old_link_is_closed_before_the_next_execution_and_there_are_at_most_three() -> None:
    scene = Scene()
    scene.ask()
    scene.clock.move(6.0)
    assert scene.calls[:3] == ["send 0", "close", "send 1"] and scene.calls.count("refuse") == 1
    assert len(scene.out) <= 3 and scene.calls.count("close") == len(scene.out)


def test_two_executions_are_never_in_flight_at_once_whatever_the_router_requests() -> None:
    scene = Scene()
    query = scene.ask()
    scene.core._carry_out([Send(query.handle, 2, 0)])
    assert scene.calls == ["send 0"] and scene.counters.outcomes == {"moot": 1}


def test_a_query_that_the_router_does_not_answer_is_answered_by_the_guard() -> None:
    """If the Router gives no answer by the deadline, the client still gets exactly one."""
    scene = Scene()
    scene.core.router.handle = lambda now, event: []  # type: ignore[method-assign]
    scene.ask()
    scene.clock.move(5.05)
    assert scene.calls == ["fail"] and scene.counters.overdue == 1 and not len(scene.core.queries)


def test_a_client_that_has_disconnected_gets_no_answer() -> None:
    scene = Scene()
    query = scene.ask()
    scene.core.client_gone(query.handle)
    scene.core.received(scene.out[0], b"late")
    scene.core.ended(scene.out[0], Served())
    scene.clock.move(9.0)
    assert scene.calls == ["send 0", "close"] and not len(scene.core.queries)


def test_unread_input_on_a_connection_is_detected() -> None:
    """Otherwise a connection is closed although a query has just arrived, or a query is written to one that has just
    ended."""
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
def test_the_handle_of_a_removed_item_is_invalid(steps: list[tuple[bool, int]]) -> None:
    slots: Slots[int] = Slots()
    stored: dict[int, int] = {}
    removed: list[int] = []
    for number, (add, pick) in enumerate(steps):
        if add or not stored:
            stored[slots.add(number)] = number
        else:
            handle = sorted(stored)[pick % len(stored)]
            assert slots.remove(handle) == stored.pop(handle)
            removed.append(handle)
    assert {handle: slots.get(handle) for handle in stored} == stored and len(slots) == len(stored)
    assert all(slots.get(handle) is None and slots.remove(handle) is None for handle in removed)
    assert sorted(slots) == sorted(stored.values())


@cut_settings
@given(st.lists(st.tuples(st.integers(0, 50), st.booleans()), max_size=200))
def test_deadlines_fire_in_order_and_cancelled_ones_never(items: list[tuple[int, bool]]) -> None:
    clock = Clock()
    deadlines, fired = Deadlines(clock), list[int]()
    scheduled = [deadlines.after(at, lambda at=at: fired.append(at)) for at, _ in items]  # type: ignore[misc]
    for deadline, (_, cancelled) in zip(scheduled, items, strict=True):
        if cancelled:
            deadline.cancel()
            deadline.cancel()
    assert len(deadlines) == sum(not cancelled for _, cancelled in items)
    clock.move(60)
    assert fired == sorted(at for at, cancelled in items if not cancelled) and not len(deadlines)


def test_no_attempt_begins_for_a_client_whose_disconnect_is_unread() -> None:
    """Its end waits in the socket when the query is read, when another attempt is due, or when a connection to a
    server is established."""
    before = Scene()
    before.disconnected = True
    before.ask()
    assert before.calls == [] and not len(before.core.queries)
    between = Scene()
    between.ask()
    between.disconnected = True
    between.core.ended(between.out[0], Broken(Reach.NOT_CONNECTED, ""))
    between.clock.move(5.0)
    assert between.calls == ["send 0"] and not len(between.core.queries)
    connecting = Scene()
    connecting.ask()
    assert connecting.core.still_needed(connecting.out[0], True)
    connecting.disconnected = True
    assert not connecting.core.still_needed(connecting.out[0], True)
    assert connecting.out[0].ended and not len(connecting.core.queries)
    assert {scene.counters.clients_gone for scene in (before, between, connecting)} == {1}

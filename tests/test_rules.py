"""The four rules, checked on the actions alone, with random settings and orders of events.

Rule 1: each request gets one final answer, in time. Rule 2: what may have run is repeated only where a repeat does no
harm. Rule 3: attempts go to ready replicas only. Rule 4: cold replicas get no more than their warm-up budget (other
tests check this one). Hypothesis derives its examples from the source of the test function.
"""

from __future__ import annotations

from typing import Any

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from pearstall.choice import Router
from pearstall.interface import (
    NEVER_RAN,
    Action,
    Cancel,
    ClientGone,
    Effect,
    Event,
    Fail,
    FirstToken,
    ListKind,
    Outcome,
    PeerMessage,
    ProbeResult,
    Refuse,
    Replica,
    ReplicaList,
    Request,
    Result,
    Scope,
    Send,
    SetTimer,
    Settings,
    State,
    Subscribe,
    Timer,
)

MS = 1000
S = 1_000_000


class Books:
    """A gateway's own record of its requests and attempts. It draws each next event from those that may happen."""

    def __init__(self, settings: Settings, seed: int, draw: Any) -> None:
        self.settings = settings
        self.draw = draw
        self.now = 50 * S
        self.router = Router(settings, seed)
        self.unanswered: dict[int, dict[str, Any]] = {}  # requests without a final answer
        self.in_flight: list[tuple[int, int]] = []  # attempts without an outcome
        self.requests: dict[int, dict[str, Any]] = {}
        self.timers: list[tuple[int, int]] = []
        self.list: dict[int, Replica] = {}
        self.subscriptions = 0
        self.carry_out(self.router.start(self.now))
        self.deliver_list(ListKind.CACHED, [self.new_replica(n) for n in range(draw(st.integers(0, 6)))])

    def new_replica(self, id: int) -> Replica:
        zone = self.draw(st.integers(0, self.settings.zones - 1))
        started = self.now if self.draw(st.integers(0, 5)) == 0 else 0
        kind = self.draw(st.integers(0, 1))
        return Replica(id, zone, self.draw(st.integers(0, 2)), State.READY, 1.0, started, kind)

    def deliver_list(self, kind: int, entries: list[Replica]) -> None:
        if kind != ListKind.DELTA:
            self.list = {}
        for item in entries:
            self.list.pop(item.id, None)
            if item.state != State.GONE:
                self.list[item.id] = item
        self.deliver(ReplicaList(kind, entries))

    def deliver(self, event: Event) -> None:
        self.carry_out(self.router.handle(self.now, event))

    def carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.sent(action)
            elif isinstance(action, Refuse | Fail):
                self.answered(action)
            elif isinstance(action, Cancel):
                assert self.settings.may_cancel
                assert action.attempt < len(self.requests[action.request]["attempts"])
            elif isinstance(action, SetTimer):
                assert 0 < action.delay <= 71 * 60 * S
                self.timers.append((self.now + action.delay, action.tag))
            elif isinstance(action, Subscribe):
                assert self.settings.subscribe
                self.subscriptions += 1

    def sent(self, action: Send) -> None:
        request = self.unanswered[action.request]  # rule 1: no attempt for a request that is answered
        assert self.now < request["deadline"] and action.timeout >= 0
        replica = self.list.get(action.replica)
        assert replica is not None and replica.state == State.READY  # rule 3, without any grace period
        attempts = request["attempts"]
        klass = self.settings.classes[request["class"]]
        assert len(attempts) < self.settings.max_attempts
        alive = [item for item in attempts if item["result"] is None]
        assert self.settings.second_copies or not alive
        may_have_run = [item for item in attempts if item["result"] not in NEVER_RAN]
        if may_have_run and klass.effect != Effect.PURE:  # rule 2
            assert klass.effect == Effect.TOKEN
            for item in may_have_run:
                assert self.now < item["sent"] + klass.window
                if klass.scope == Scope.ZONE:
                    assert replica.zone == item["replica"].zone
                elif klass.scope == Scope.CELL:
                    assert replica.cell == item["replica"].cell
        self.in_flight.append((action.request, len(attempts)))
        limit = request["deadline"]
        limit = min(limit, self.now + action.timeout) if action.timeout else limit
        attempts.append({"sent": self.now, "replica": replica, "result": None, "limit": limit, "streaming": False})

    def answered(self, action: Refuse | Fail) -> None:
        request = self.unanswered.pop(action.request)  # rule 1: once
        klass = self.settings.classes[request["class"]]
        may_have_run = [item for item in request["attempts"] if item["result"] not in NEVER_RAN]
        harmless = klass.effect == Effect.PURE or (klass.effect == Effect.TOKEN and klass.scope == Scope.ALL)
        if isinstance(action, Refuse):
            assert harmless or not may_have_run

    def end_attempt(self, id: int, number: int, result: Result) -> None:
        """Delivers the outcome of an attempt."""
        self.in_flight.remove((id, number))
        attempt = self.requests[id]["attempts"][number]
        attempt["result"] = result
        done = id not in self.unanswered or result == Result.OK or (attempt["streaming"] and result == Result.RESET)
        if done:
            self.unanswered.pop(id, None)
        took = self.now - attempt["sent"]
        report = (self.draw(st.floats(0, 9)),) if self.draw(st.booleans()) else ()
        self.deliver(Outcome(id, number, attempt["replica"].id, result, done, took, 0, report))

    def step(self) -> None:
        """Draws and delivers one event."""
        kind = self.draw(st.sampled_from(["request"] * 4 + ["outcome"] * 4 + ["first"] * 2 + [
            "list", "fail", "time", "time", "leave", "stale", "peer"]))  # fmt: skip
        if kind == "request":
            id = len(self.requests) + 1
            index = self.draw(st.integers(0, len(self.settings.classes) - 1))
            deadline = self.now + self.draw(st.integers(-100, 4000)) * MS
            record = {"class": index, "deadline": deadline, "attempts": []}
            self.requests[id] = self.unanswered[id] = record
            prompt = float(self.draw(st.integers(0, 20000)))
            session, prefix = self.draw(st.integers(0, 5)), self.draw(st.integers(0, 3))
            tenant = self.draw(st.integers(0, 2))
            self.deliver(Request(id, index, deadline, prompt, session, prefix, prompt / 2, tenant, 0))
        elif kind == "outcome" and self.in_flight:
            id, number = self.draw(st.sampled_from(self.in_flight))
            results = [result for result in Result if result not in (Result.TIMEOUT, Result.MOOT)]
            if self.requests[id]["attempts"][number]["streaming"]:
                results = [Result.OK, Result.RESET]
            self.end_attempt(id, number, self.draw(st.sampled_from(results)))
        elif kind == "first" and self.in_flight:
            id, number = self.draw(st.sampled_from(self.in_flight))
            attempts = self.requests[id]["attempts"]
            if id in self.unanswered and not any(item["streaming"] for item in attempts):
                attempts[number]["streaming"] = True
                took = self.now - attempts[number]["sent"]
                self.deliver(FirstToken(id, number, attempts[number]["replica"].id, took))
        elif kind == "list":
            id = self.draw(st.integers(0, 7))
            entry = self.new_replica(id)
            entry.state = self.draw(st.sampled_from([State.READY, State.DRAINING, State.GONE]))
            if self.draw(st.booleans()):
                self.deliver_list(ListKind.DELTA, [entry])
            else:
                known = [item for item in self.list.values() if item.id != id]
                self.deliver_list(ListKind.FULL, [*known, entry] if entry.state != State.GONE else known)
        elif kind == "fail":
            self.deliver(ReplicaList(ListKind.FAILED))
        elif kind == "leave" and self.unanswered:
            id = self.draw(st.sampled_from(sorted(self.unanswered)))
            del self.unanswered[id]
            self.deliver(ClientGone(id))
        elif kind == "stale":
            self.deliver(Outcome(999_999, 0, 3, Result.OK, True, 5))
            self.deliver(FirstToken(999_999, 0, 3, 5))
            self.deliver(ClientGone(999_999))
            self.deliver(Timer(999_999))
        elif kind == "peer":
            self.deliver(PeerMessage(1, b"\x00"))
            self.deliver(ProbeResult(2, Result.OK, 5))
        elif kind == "time":
            self.pass_time(self.draw(st.integers(1, 900)) * MS)

    def pass_time(self, time: int) -> None:
        """Advances the clock by microseconds, with timers and time-outs in order of their time."""
        end = self.now + time
        while True:
            due = [(at, 0, tag, 0) for at, tag in self.timers]
            for id, number in self.in_flight:
                attempt = self.requests[id]["attempts"][number]
                if not attempt["streaming"]:
                    due.append((attempt["limit"], 1, id, number))
            if not due or min(due)[0] > end:
                break
            at, what, id, number = min(due)
            self.now = max(self.now, at)
            if what:
                self.end_attempt(id, number, Result.TIMEOUT)
            else:
                self.timers.remove((at, id))
                self.deliver(Timer(id))
            late = [id for id, request in self.unanswered.items()
                    if self.now > request["deadline"] + 20 * MS and not self.is_streaming(request)]  # fmt: skip
            assert not late  # rule 1: in time
        self.now = end

    @staticmethod
    def is_streaming(request: dict[str, Any]) -> bool:
        return any(item["streaming"] and item["result"] is None for item in request["attempts"])

    def close(self) -> None:
        """Ends all streams and lets the deadlines pass: every request is answered and forgotten."""
        for id, number in list(self.in_flight):
            if self.requests[id]["attempts"][number]["streaming"]:
                self.end_attempt(id, number, Result.OK)
        self.pass_time(6 * S)
        assert not self.unanswered and not self.in_flight
        assert not self.router.pending and not self.router.queued  # no state left behind


classes = st.fixed_dictionaries(
    {
        "aim": st.sampled_from([200 * MS, S]),
        "give_up": st.just(4 * S),
        "effect": st.sampled_from(["pure", "token", "side_effect"]),
        "scope": st.sampled_from(["all", "zone", "cell"]),
        "window": st.sampled_from([300 * MS, 3 * S]),
        "streamed": st.booleans(),
        "late_worth": st.sampled_from([0.0, 0.5]),
        "token_aim": st.sampled_from([0.0, 50 * MS]),
    }
)
sites = st.fixed_dictionaries(
    {
        "classes": st.lists(classes, min_size=1, max_size=3),
        "zones": st.just(2),
        "tenant_shares": st.sampled_from([[], [0.6, 0.4]]),
        "over_share_worth": st.sampled_from([0.1, 1.0]),
        "gateways": st.sampled_from([1, 2, 4, 150]),
        "tick": st.just(5 * MS),
        "max_attempts": st.integers(1, 5),
        "second_copies": st.booleans(),
        "may_cancel": st.booleans(),
        "subscribe": st.booleans(),
        "cold_time": st.just(8 * S),
        "cold_share": st.sampled_from([0.1, 1.0]),
        "cross_zone_price": st.sampled_from([0.0, 0.08]),
    }
)


@settings(max_examples=150, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck), database=None)
@given(data=st.data(), raw=sites, number=st.integers(0, 2**32))
def test_the_rules_hold_in_any_order_of_events(data: st.DataObject, raw: dict[str, Any], number: int) -> None:
    books = Books(Settings.from_mapping(raw), number, data.draw)
    for _ in range(data.draw(st.integers(1, 60))):
        books.step()
    books.close()

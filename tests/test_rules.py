"""The four rules on random settings and event orders, checked on the actions alone."""

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
    """What a gateway knows: it plays no server, and draws each next event among those that may happen."""

    def __init__(self, settings: Settings, seed: int, draw: Any) -> None:
        self.settings = settings
        self.draw = draw
        self.now = 50 * S
        self.router = Router(settings, seed)
        self.open: dict[int, dict[str, Any]] = {}  # unanswered requests
        self.out: list[tuple[int, int]] = []  # attempts without an outcome
        self.all: dict[int, dict[str, Any]] = {}
        self.timers: list[tuple[int, int]] = []
        self.list: dict[int, Replica] = {}
        self.subscriptions = 0
        self.carry_out(self.router.start(self.now))
        self.lists(ListKind.CACHED, [self.fresh(n) for n in range(draw(st.integers(0, 6)))])

    def fresh(self, id: int) -> Replica:
        zone = self.draw(st.integers(0, self.settings.zones - 1))
        started = self.now if self.draw(st.integers(0, 5)) == 0 else 0
        kind = self.draw(st.integers(0, 1))
        return Replica(id, zone, self.draw(st.integers(0, 2)), State.READY, 1.0, started, kind)

    def lists(self, kind: int, entries: list[Replica]) -> None:
        if kind != ListKind.DELTA:
            self.list = {}
        for item in entries:
            self.list.pop(item.id, None)
            if item.state != State.GONE:
                self.list[item.id] = item
        self.tell(ReplicaList(kind, entries))

    def tell(self, event: Event) -> None:
        self.carry_out(self.router.handle(self.now, event))

    def carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.sent(action)
            elif isinstance(action, Refuse | Fail):
                self.answered(action)
            elif isinstance(action, Cancel):
                assert self.settings.may_cancel
                assert action.attempt < len(self.all[action.request]["attempts"])
            elif isinstance(action, SetTimer):
                assert 0 < action.delay <= 71 * 60 * S
                self.timers.append((self.now + action.delay, action.tag))
            elif isinstance(action, Subscribe):
                assert self.settings.subscribe
                self.subscriptions += 1

    def sent(self, action: Send) -> None:
        request = self.open[action.request]  # rule 1: nothing goes out for what is answered
        assert self.now < request["deadline"] and action.timeout >= 0
        replica = self.list.get(action.replica)
        assert replica is not None and replica.state == State.READY  # rule 3, with no grace used
        attempts = request["attempts"]
        klass = self.settings.classes[request["class"]]
        assert len(attempts) < self.settings.max_attempts
        alive = [item for item in attempts if item["result"] is None]
        assert self.settings.second_copies or not alive
        risky = [item for item in attempts if item["result"] not in NEVER_RAN]
        if risky and klass.effect != Effect.PURE:  # rule 2
            assert klass.effect == Effect.TOKEN
            for item in risky:
                assert self.now < item["sent"] + klass.window
                if klass.scope == Scope.ZONE:
                    assert replica.zone == item["replica"].zone
                elif klass.scope == Scope.CELL:
                    assert replica.cell == item["replica"].cell
        self.out.append((action.request, len(attempts)))
        limit = request["deadline"]
        limit = min(limit, self.now + action.timeout) if action.timeout else limit
        attempts.append(
            {"sent": self.now, "replica": replica, "result": None, "limit": limit, "flowing": False}
        )

    def answered(self, action: Refuse | Fail) -> None:
        request = self.open.pop(action.request)  # rule 1: once
        klass = self.settings.classes[request["class"]]
        risky = [item for item in request["attempts"] if item["result"] not in NEVER_RAN]
        harmless = klass.effect == Effect.PURE or (klass.effect == Effect.TOKEN and klass.scope == Scope.ALL)
        if isinstance(action, Refuse):
            assert harmless or not risky

    def conclude(self, id: int, number: int, result: Result) -> None:
        self.out.remove((id, number))
        attempt = self.all[id]["attempts"][number]
        attempt["result"] = result
        done = id not in self.open or result == Result.OK or (attempt["flowing"] and result == Result.RESET)
        if done:
            self.open.pop(id, None)
        took = self.now - attempt["sent"]
        report = (self.draw(st.floats(0, 9)),) if self.draw(st.booleans()) else ()
        self.tell(Outcome(id, number, attempt["replica"].id, result, done, took, 0, report))

    def step(self) -> None:
        kind = self.draw(st.sampled_from(["request"] * 4 + ["outcome"] * 4 + ["first"] * 2 + [
            "list", "fail", "time", "time", "leave", "stale", "peer"]))  # fmt: skip
        if kind == "request":
            id = len(self.all) + 1
            index = self.draw(st.integers(0, len(self.settings.classes) - 1))
            deadline = self.now + self.draw(st.integers(-100, 4000)) * MS
            record = {"class": index, "deadline": deadline, "attempts": []}
            self.all[id] = self.open[id] = record
            prompt = float(self.draw(st.integers(0, 20000)))
            session, prefix = self.draw(st.integers(0, 5)), self.draw(st.integers(0, 3))
            tenant = self.draw(st.integers(0, 2))
            self.tell(Request(id, index, deadline, prompt, session, prefix, prompt / 2, tenant, 0))
        elif kind == "outcome" and self.out:
            id, number = self.draw(st.sampled_from(self.out))
            results = [result for result in Result if result not in (Result.TIMEOUT, Result.MOOT)]
            if self.all[id]["attempts"][number]["flowing"]:
                results = [Result.OK, Result.RESET]
            self.conclude(id, number, self.draw(st.sampled_from(results)))
        elif kind == "first" and self.out:
            id, number = self.draw(st.sampled_from(self.out))
            attempts = self.all[id]["attempts"]
            if id in self.open and not any(item["flowing"] for item in attempts):
                attempts[number]["flowing"] = True
                took = self.now - attempts[number]["sent"]
                self.tell(FirstToken(id, number, attempts[number]["replica"].id, took))
        elif kind == "list":
            id = self.draw(st.integers(0, 7))
            entry = self.fresh(id)
            entry.state = self.draw(st.sampled_from([State.READY, State.DRAINING, State.GONE]))
            if self.draw(st.booleans()):
                self.lists(ListKind.DELTA, [entry])
            else:
                known = [item for item in self.list.values() if item.id != id]
                self.lists(ListKind.FULL, [*known, entry] if entry.state != State.GONE else known)
        elif kind == "fail":
            self.tell(ReplicaList(ListKind.FAILED))
        elif kind == "leave" and self.open:
            id = self.draw(st.sampled_from(sorted(self.open)))
            del self.open[id]
            self.tell(ClientGone(id))
        elif kind == "stale":
            self.tell(Outcome(999_999, 0, 3, Result.OK, True, 5))
            self.tell(FirstToken(999_999, 0, 3, 5))
            self.tell(ClientGone(999_999))
            self.tell(Timer(999_999))
        elif kind == "peer":
            self.tell(PeerMessage(1, b"\x00"))
            self.tell(ProbeResult(2, Result.OK, 5))
        elif kind == "time":
            self.pass_time(self.draw(st.integers(1, 900)) * MS)

    def pass_time(self, time: int) -> None:
        end = self.now + time
        while True:
            due = [(at, 0, tag, 0) for at, tag in self.timers]
            for id, number in self.out:
                attempt = self.all[id]["attempts"][number]
                if not attempt["flowing"]:
                    due.append((attempt["limit"], 1, id, number))
            if not due or min(due)[0] > end:
                break
            at, what, id, number = min(due)
            self.now = max(self.now, at)
            if what:
                self.conclude(id, number, Result.TIMEOUT)
            else:
                self.timers.remove((at, id))
                self.tell(Timer(id))
            late = [id for id, request in self.open.items()
                    if self.now > request["deadline"] + 20 * MS and not self.flows(request)]  # fmt: skip
            assert not late  # rule 1: in time
        self.now = end

    @staticmethod
    def flows(request: dict[str, Any]) -> bool:
        return any(item["flowing"] and item["result"] is None for item in request["attempts"])

    def close(self) -> None:
        for id, number in list(self.out):
            if self.all[id]["attempts"][number]["flowing"]:
                self.conclude(id, number, Result.OK)
        self.pass_time(6 * S)
        assert not self.open and not self.out
        assert not self.router.calls and not self.router.held  # no state left behind


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


@settings(
    max_examples=150, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck), database=None
)
@given(data=st.data(), raw=sites, number=st.integers(0, 2**32))
def test_the_rules_hold_in_any_order_of_events(data: st.DataObject, raw: dict[str, Any], number: int) -> None:
    books = Books(Settings.from_mapping(raw), number, data.draw)
    for _ in range(data.draw(st.integers(1, 60))):
        books.step()
    books.close()

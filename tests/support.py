"""A gateway around a Router for scripted tests. It keeps the clock and records actions; it plays no server."""

from __future__ import annotations

from typing import Any

from pearstall.choice import Router
from pearstall.interface import (
    Action,
    Event,
    FirstToken,
    ListKind,
    Log,
    Outcome,
    Refuse,
    Replica,
    ReplicaList,
    Request,
    Result,
    Send,
    SetTimer,
    Settings,
    State,
    Timer,
)

MS = 1000
S = 1_000_000
AIM = 1 * S
START = 100 * S


def settings(*classes: dict[str, Any], **changes: Any) -> Settings:
    """Settings with these classes, and defaults for what is left out."""
    base: dict[str, Any] = {
        "tick": 5 * MS,
        "max_attempts": 4,
        "may_cancel": True,
        "cold_time": 10 * S,
        "cold_share": 0.2,
        "tip_multiple": 2.5,
    }
    rows = [{"aim": AIM, "give_up": 5 * S, **row} for row in classes or ({},)]
    return Settings.from_mapping({**base, **changes, "classes": rows})


def entry(id: int, **changes: Any) -> Replica:
    """An entry of a list: by default a ready replica of zone 0."""
    return Replica(**{"id": id, "zone": 0, "cell": 0, "state": State.READY, **changes})


class Gateway:
    """One Router, its clock in microseconds, its timers, and the attempts and log lines that it asked for."""

    def __init__(self, settings: Settings, replicas: int | list[Replica] = 4, seed: int = 7) -> None:
        self.router = Router(settings, seed)
        self.now = START
        self.next_id = 1
        self.attempts: dict[int, list[Send]] = {}
        self.timers: list[tuple[int, int]] = []
        self.logs: list[str] = []
        self.start_actions = self.record(self.router.start(self.now))
        entries = [entry(n) for n in range(replicas)] if isinstance(replicas, int) else replicas
        self.deliver_list(ListKind.CACHED, *entries)

    def record(self, actions: list[Action]) -> list[Action]:
        """Records attempts, timers and log lines; returns the actions."""
        for action in actions:
            if isinstance(action, Send):
                self.attempts.setdefault(action.request, []).append(action)
            elif isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay, action.tag))
            elif isinstance(action, Log):
                self.logs.append(action.text)
        return actions

    def deliver(self, event: Event) -> list[Action]:
        return self.record(self.router.handle(self.now, event))

    def deliver_list(self, kind: int, *entries: Replica) -> list[Action]:
        return self.deliver(ReplicaList(kind, list(entries)))

    def request(self, **changes: Any) -> tuple[int, list[Action]]:
        """Delivers a new request; returns its id and the Router's actions."""
        id = self.next_id
        self.next_id += 1
        fields = {"id": id, "class_index": 0, "deadline": self.now + 5 * S, "prompt_tokens": 1000.0}
        return id, self.deliver(Request(**{**fields, **changes}))

    def sent(self, id: int) -> int:
        """The replica of the request's latest attempt."""
        return self.attempts[id][-1].replica

    def first_token(self, id: int, took: int = 100 * MS) -> list[Action]:
        return self.deliver(FirstToken(id, len(self.attempts[id]) - 1, self.sent(id), took))

    def outcome(self, id: int, result: Result, attempt: int = -1, **changes: Any) -> list[Action]:
        number = attempt if attempt >= 0 else len(self.attempts[id]) - 1
        fields = {"result": result, "done": result == Result.OK, "took": 100 * MS}
        event = Outcome(id, number, self.attempts[id][number].replica, **{**fields, **changes})
        return self.deliver(event)

    def wait(self, time: int) -> list[Action]:
        """Lets time pass, and delivers due timers one after the other."""
        end = self.now + time
        actions: list[Action] = []
        while due := [item for item in self.timers if item[0] <= end]:
            at, tag = min(due)
            self.timers.remove((at, tag))
            self.now = max(self.now, at)
            actions += self.deliver(Timer(tag))
        self.now = end
        return actions

    def serve(self, **changes: Any) -> int:
        """Sends one request that is answered at once; returns its replica."""
        id, _ = self.request(**changes)
        replica = self.sent(id)
        self.first_token(id)
        self.outcome(id, Result.OK)
        return replica


def of(kind: type, actions: list[Action]) -> list[Any]:
    """The actions of one kind."""
    return [action for action in actions if isinstance(action, kind)]


def refused(actions: list[Action]) -> bool:
    return bool(of(Refuse, actions))

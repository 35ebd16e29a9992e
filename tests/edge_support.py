"""The edge on the real core and Router, between scripted servers and scripted devices, on a simulated clock."""

from __future__ import annotations

import json
from typing import Any

from pearstall.edge.keeping import Bounds
from pearstall.edge.limits import Limits
from pearstall.edge.records import Final, Problem
from pearstall.edge.service import Edge
from pearstall.edge.sessions import Ask
from pearstall.edge.settings import EdgeConfig
from pearstall.edge.tokens import Device, Keyring
from pearstall.interface import ListKind, Replica, ReplicaList, State
from pearstall.net.config import Named, Names, OpenAIConfig
from pearstall.net.core import Broken, Core, Declined, End, Execution, Reach, Served
from pearstall.net.counters import Counters
from pearstall.net.deadlines import Deadlines
from tests.support import settings
from tests.test_core import Clock

OPEN = Limits(device_rate=0, device_running=0, running=0, arrivals=0)


def body(text: str = "hi") -> bytes:
    return json.dumps({"model": "toy", "messages": [{"role": "user", "content": text}]}).encode()


def event(number: int) -> bytes:
    return b"data: %d\n\n" % number


class Carrier:
    def __init__(self) -> None:
        self.given_up = self.paused = False

    def give_up(self) -> None:
        self.given_up = True

    def pause(self, paused: bool) -> None:
        self.paused = paused


class Reader:
    """A connection that takes every record at once, unless it is slow."""

    def __init__(self, slow: bool = False) -> None:
        self.slow = slow
        self.received: list[bytes] = []
        self.final: Final | None = None
        self.at: int | None = None
        self.was_superseded = False

    def attached(self, ask: Ask, last: int) -> None:
        self.at = last
        self.ready(ask)

    def ready(self, ask: Ask) -> None:
        if self.at is None or self.slow or self.was_superseded:
            return
        while events := ask.after(self.at, 64):
            self.received += events
            self.at += len(events)
        if ask.final is not None and self.at == ask.final.number - 1:
            self.at, self.final = ask.final.number, ask.final

    def superseded(self, ask: Ask) -> None:
        self.was_superseded = True


class Scene:
    def __init__(self, bounds: Bounds | None = None, limits: Limits = OPEN, seed: int = 7) -> None:
        self.clock, self.counters = Clock(), Counters()
        self.executions: list[Execution] = []
        self.max_in_flight: dict[int, int] = {}
        rules = settings(late_worth=0.5, max_attempts=3, tick=1000)
        self.core = Core(rules, seed, Deadlines(self.clock), self.counters, self)
        self.core.start()
        self.core.listed(ReplicaList(ListKind.FULL, [Replica(id, 0, 0, State.READY) for id in range(1, 7)]))
        self.notes: list[tuple[str, dict[str, Any]]] = []
        asks = OpenAIConfig(listen="", default_class="chat", server_form="openai")
        config = EdgeConfig(("", 0), Keyring(), asks, bounds or Bounds(), limits)
        self.edge = Edge(
            config, Names(lanes=[Named("chat")]), self.core, self.core.deadlines,
            lambda event, **fields: self.notes.append((event, fields)), seed, now=lambda: 0.0,
        )  # fmt: skip
        self.sessions = self.edge.sessions

    def start(self, execution: Execution) -> Carrier:
        in_flight = sum(1 for one in execution.query.executions if not one.ended)
        handle = id(execution.query)
        self.max_in_flight[handle] = max(self.max_in_flight.get(handle, 0), in_flight)
        self.executions.append(execution)
        return Carrier()

    # -- devices -------------------------------------------------------------------------------------------

    def ask(self, id: str = "a", device: str = "d", reader: Reader | None = None, last: int = 0,
            text: str = "hi") -> Ask | Problem:  # fmt: skip
        return self.edge.ask(Device(device, "shop"), id, "", body(text), reader, last, 5.0)

    def find_ask(self, id: str = "a", device: str = "d") -> Ask:
        found = self.edge.find(Device(device, "shop"), id)
        assert isinstance(found, Ask), found
        return found

    def attach(self, reader: Reader, last: int, id: str = "a", device: str = "d") -> Ask | Problem:
        return self.edge.attach(Device(device, "shop"), id, reader, last)

    def finals(self, id: str = "a", device: str = "d") -> list[dict[str, Any]]:
        return [row for name, row in self.notes if name == "final" and (row["device"], row["ask"]) == (device, id)]

    # -- servers -------------------------------------------------------------------------------------------

    def running(self, id: str = "a", device: str = "d") -> list[Execution]:
        """The attempt in flight for an ask, if any."""
        return [one for one in self.executions if not one.ended and one.query.txn == f"{device}.{id}"]

    def events(self, *numbers: int, id: str = "a", device: str = "d") -> None:
        for _ in range(40):  # the Router may wait before it sends again
            if self.running(id, device):
                break
            self.clock.move(0.05)
        (one,) = self.running(id, device)
        self.core.received(one, b"".join(map(event, numbers)))

    def end(self, end: End | None = None, id: str = "a", device: str = "d") -> None:
        (one,) = self.running(id, device)
        self.core.ended(one, end or Served())


BREAK = Broken(Reach.ANSWERING, "test")
ERROR = Declined(False)

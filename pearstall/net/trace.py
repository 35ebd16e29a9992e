"""What the Router was told and what it wanted, a line of JSON each, on standard error; for `benchmarks/fleet.py`.

Off unless `--trace` is given. Lines are gathered and written in blocks. A killed program loses what came within its
last `HELD` seconds.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable

import msgspec

from pearstall.interface import Action, Event, ReplicaList
from pearstall.net.deadlines import Deadlines

HELD = 0.25
BLOCK = 32 * 1024


class Trace:
    """`time` in a line is Unix time in microseconds, so that the traces of many routers can be laid together."""

    def __init__(self, deadlines: Deadlines, name: str, now: Callable[[], float], classes: list[str]) -> None:
        self.deadlines = deadlines
        self.offset = int((now() - deadlines.clock.time()) * 1e6)
        self.lines: list[bytes] = []
        self.size = 0
        self.encode = msgspec.json.Encoder().encode
        self.add(["start", self._now(), name, time.process_time(), classes])
        self._wait()

    def _now(self) -> int:
        return int(self.deadlines.clock.time() * 1e6) + self.offset

    def __call__(self, event: Event, actions: list[Action]) -> None:
        if isinstance(event, ReplicaList):
            kept = [
                [one.id, one.zone, one.kind, one.state, one.started and one.started + self.offset]
                for one in event.replicas
            ]
            self.add(["ReplicaList", self._now(), event.kind, kept])
            return
        done = [[type(action).__name__, action] for action in actions]
        self.add([type(event).__name__, self._now(), event, done])

    def query(self, handle: int, txn: str) -> None:
        """Which request of a client the Router's is: the client's own retry has another id, and the same session."""
        self.add(["query", self._now(), handle, txn])

    def link(self, what: str, replica: int) -> None:
        self.add(["link", self._now(), what, replica])

    def add(self, row: list[object]) -> None:
        line = self.encode(row)
        self.lines.append(line)
        self.size += len(line)
        if self.size > BLOCK:
            self.flush()

    def _wait(self) -> None:
        self.due = self.deadlines.clock.time() + HELD
        self.deadlines.at(self.due, self._due)

    def _due(self) -> None:
        late = self.deadlines.clock.time() - self.due  # so long the loop was held up by something else
        self.add(["cpu", self._now(), time.process_time(), round(late, 6)])
        self.flush()
        self._wait()

    def flush(self) -> None:
        if self.lines:
            sys.stderr.write("trace " + b"\ntrace ".join(self.lines).decode() + "\n")
            sys.stderr.flush()
            self.lines, self.size = [], 0

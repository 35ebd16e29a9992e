"""A trace of the Router's events and actions on standard error, one JSON line each; read by `benchmarks/fleet.py`.

Off unless `--trace` is given. Lines are buffered and written in blocks: a killed program loses those of its last
`FLUSH_INTERVAL_SECONDS`.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable

import msgspec

from pearstall.interface import Action, Event, ReplicaList
from pearstall.net.deadlines import Deadlines

FLUSH_INTERVAL_SECONDS = 0.25
FLUSH_BYTES = 32 * 1024


class Trace:
    """`time` in a line is Unix time in microseconds, so that traces of several routers can be merged."""

    def __init__(self, deadlines: Deadlines, name: str, now: Callable[[], float], classes: list[str]) -> None:
        self.deadlines = deadlines
        self.offset = int((now() - deadlines.clock.time()) * 1e6)
        self.lines: list[bytes] = []
        self.size = 0
        self.encode = msgspec.json.Encoder().encode
        self.add(["start", self._now(), name, time.process_time(), classes])
        self._schedule_flush()

    def _now(self) -> int:
        return int(self.deadlines.clock.time() * 1e6) + self.offset

    def __call__(self, event: Event, actions: list[Action]) -> None:
        if isinstance(event, ReplicaList):
            replicas = [
                [one.id, one.zone, one.kind, one.state, one.started and one.started + self.offset]
                for one in event.replicas
            ]
            self.add(["ReplicaList", self._now(), event.kind, replicas])
            return
        rows = [[type(action).__name__, action] for action in actions]
        self.add([type(event).__name__, self._now(), event, rows])

    def query(self, handle: int, txn: str) -> None:
        """Maps the Router's request id to the client's. A client's own retry has another id and the same session."""
        self.add(["query", self._now(), handle, txn])

    def link(self, what: str, replica: int) -> None:
        self.add(["link", self._now(), what, replica])

    def add(self, row: list[object]) -> None:
        line = self.encode(row)
        self.lines.append(line)
        self.size += len(line)
        if self.size > FLUSH_BYTES:
            self.flush()

    def _schedule_flush(self) -> None:
        self.flush_at = self.deadlines.clock.time() + FLUSH_INTERVAL_SECONDS
        self.deadlines.at(self.flush_at, self._flush_due)

    def _flush_due(self) -> None:
        late = self.deadlines.clock.time() - self.flush_at  # how long other work delayed the event loop
        self.add(["cpu", self._now(), time.process_time(), round(late, 6)])
        self.flush()
        self._schedule_flush()

    def flush(self) -> None:
        if self.lines:
            sys.stderr.write("trace " + b"\ntrace ".join(self.lines).decode() + "\n")
            sys.stderr.flush()
            self.lines, self.size = [], 0

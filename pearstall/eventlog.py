"""The router's event log: one line of JSON per event, on standard error.

Logging must never block the event loop and never raise. Lines are buffered in memory and written only while the
descriptor is writable; lines that cannot be written or buffered are dropped and counted. Prompts and answers are
never logged.
"""

from __future__ import annotations

import os
import select
import time
import traceback
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import msgspec

FLUSH_SECONDS = 0.1
MAX_PENDING_BYTES = 256 * 1024
MAX_WRITE_BYTES = select.PIPE_BUF  # a pipe that polls as writable takes at least this much without blocking
LINES_PER_SECOND = 50  # limit for each event name, counted in windows of one second
STANDARD_ERROR = 2


class Scheduler(Protocol):
    """Runs the delayed flush; the router passes its deadlines."""

    def after(self, delay: float, call: Callable[[], object], /) -> object: ...


class Sink(Protocol):
    """The destination of lines. `write` returns how many bytes it accepted, 0 if it would block; an OSError means
    that the pending lines are lost."""

    def write(self, data: bytes) -> int: ...


class DescriptorSink:
    """Writes to a file descriptor that other processes may share, so its blocking mode is not changed."""

    def __init__(self, descriptor: int = STANDARD_ERROR) -> None:
        self.descriptor = descriptor
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)

    def write(self, data: bytes) -> int:
        if not self.poll.poll(0):
            return 0
        try:
            return os.write(self.descriptor, data[:MAX_WRITE_BYTES])
        except BlockingIOError:
            return 0


@dataclass(slots=True)
class Window:
    """Counts the lines of one event name in the current second."""

    since: float
    lines: int = 0
    left_out: int = 0


class EventLog:
    """Logs events to a sink. Without a sink, as in simulations of many routers, it is disabled and drops them."""

    def __init__(
        self,
        sink: Sink | None = None,
        scheduler: Scheduler | None = None,
        wall_clock: Callable[[], float] = time.time,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.sink = sink
        self.scheduler = scheduler
        self.wall_clock = wall_clock
        self.clock = clock
        self.pending = bytearray()
        self.windows: dict[str, Window] = {}
        self.flush_scheduled = False
        self.lost = 0
        self._encode = msgspec.json.Encoder(enc_hook=str).encode

    @property
    def enabled(self) -> bool:
        return self.sink is not None

    def event(self, name: str, /, **fields: object) -> None:
        if self.sink is None:
            return
        window = self._window(name)
        if window.lines >= LINES_PER_SECOND:
            window.left_out += 1
            return
        window.lines += 1
        row: dict[str, object] = {"event": name, "time": round(self.wall_clock(), 6), **fields}
        if window.left_out:
            row["left_out"], window.left_out = window.left_out, 0
        self._append(self._encode(row) + b"\n")

    def line(self, text: str) -> None:
        """Logs a line of plain text. The rate limit does not apply to it."""
        if self.sink is not None:
            self._append(text.encode(errors="replace") + b"\n")

    def flush(self) -> None:
        """Writes as much as the sink accepts now. If the sink fails, all pending lines are counted as lost."""
        while self.pending and self.sink is not None:
            try:
                written = self.sink.write(bytes(self.pending[:MAX_WRITE_BYTES]))
            except InterruptedError:
                continue
            except OSError:
                self.lost += self.pending.count(b"\n")
                self.pending.clear()
                return
            if not written:
                return
            del self.pending[:written]

    def _window(self, name: str) -> Window:
        now = self.clock()
        window = self.windows.get(name)
        if window is None:
            window = self.windows[name] = Window(now)
        elif now - window.since >= 1.0:
            window.since, window.lines = now, 0
        return window

    def _append(self, line: bytes) -> None:
        if len(self.pending) + len(line) > MAX_PENDING_BYTES:
            self.lost += 1
            return
        self.pending += line
        if self.scheduler is None:
            self.flush()
        elif not self.flush_scheduled:
            self.flush_scheduled = True
            self.scheduler.after(FLUSH_SECONDS, self._scheduled_flush)

    def _scheduled_flush(self) -> None:
        self.flush_scheduled = False
        self.flush()
        if self.pending and self.scheduler is not None:
            self.flush_scheduled = True
            self.scheduler.after(FLUSH_SECONDS, self._scheduled_flush)


SILENT = EventLog()


def log_exception(log: EventLog, error: Exception) -> None:
    """Logs a caught exception with the file and line where it was raised."""
    where = traceback.extract_tb(error.__traceback__)[-1]
    log.event("exception", file=where.filename, line=where.lineno, kind=type(error).__name__, text=str(error))

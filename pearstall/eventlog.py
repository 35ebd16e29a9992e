"""The router's own log: one line of JSON for each event, on standard error.

Logging must never hold up the event loop and never raise: lines wait in memory, are written only while the descriptor
takes them, and are counted as lost where it does not. Prompts and answers are never logged.
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
MOST_PENDING_BYTES = 256 * 1024
WRITE_BYTES = select.PIPE_BUF  # a pipe that polls as writable takes so much without blocking
LINES_PER_SECOND = 50  # of one event; a window of one second each
STANDARD_ERROR = 2


class Scheduler(Protocol):
    """What runs the delayed flush: the program's deadlines."""

    def after(self, delay: float, call: Callable[[], object], /) -> object: ...


class Sink(Protocol):
    """Where lines go. Returns how many bytes it took, 0 where it would block; an OSError loses them."""

    def write(self, data: bytes) -> int: ...


class DescriptorSink:
    """A file descriptor that is shared with others, so its blocking mode stays as it is."""

    def __init__(self, descriptor: int = STANDARD_ERROR) -> None:
        self.descriptor = descriptor
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)

    def write(self, data: bytes) -> int:
        if not self.poll.poll(0):
            return 0
        try:
            return os.write(self.descriptor, data[:WRITE_BYTES])
        except BlockingIOError:
            return 0


@dataclass(slots=True)
class Window:
    """The lines of one event in the present second."""

    since: float
    lines: int = 0
    left_out: int = 0


class EventLog:
    """`enabled` is False for one that drops everything, as simulations of many routers want."""

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
        """A line of another form, without a limit on how often."""
        if self.sink is not None:
            self._append(text.encode(errors="replace") + b"\n")

    def flush(self) -> None:
        """Writes what the sink takes now. What it can't take for good is counted as lost."""
        while self.pending and self.sink is not None:
            try:
                written = self.sink.write(bytes(self.pending[:WRITE_BYTES]))
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
        if len(self.pending) + len(line) > MOST_PENDING_BYTES:
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
    """Where an exception was raised that a handler has stopped."""
    where = traceback.extract_tb(error.__traceback__)[-1]
    log.event("exception", file=where.filename, line=where.lineno, kind=type(error).__name__, text=str(error))

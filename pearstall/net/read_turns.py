"""Bounds how long one iteration of the event loop works on the input of clients.

Hundreds of connections may become readable in the same iteration. Handled all at once, they would hold up all
deadlines and other connections for as long as that takes. The rest waits for the next iterations, in order of
arrival.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from pearstall.net.deadlines import Clock

READ_TURN_SECONDS = 0.005


class Reader(Protocol):
    """A connection with input that has arrived."""

    def read_input(self, now: float) -> None:
        """Handles input up to the end of one request."""


class ReadTurns:
    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.waiting: dict[Reader, None] = {}  # in order of arrival
        self.spent_seconds = 0.0  # in the current iteration of the event loop
        self.next_turn_scheduled = False

    def add(self, reader: Reader) -> bool:
        """Reads now, or in a later iteration if the time of this one is spent. False: it has to wait."""
        wait = bool(self.waiting) or self.spent_seconds >= READ_TURN_SECONDS
        if wait:
            self.waiting[reader] = None
        else:
            self._read(reader)
        self._schedule_next_turn()
        return not wait

    def add_last(self, reader: Reader) -> None:
        """Reads on after all others: this one has more input than is handled in one turn."""
        self.waiting[reader] = None
        self._schedule_next_turn()

    def read_now(self, reader: Reader) -> None:
        """Reads what waits of this connection, out of turn."""
        if reader in self.waiting:
            del self.waiting[reader]
            self._read(reader)

    def forget(self, reader: Reader) -> None:
        self.waiting.pop(reader, None)

    def _read(self, reader: Reader) -> None:
        began_at = self.clock.time()
        reader.read_input(began_at)
        self.spent_seconds += self.clock.time() - began_at

    def _schedule_next_turn(self) -> None:
        if not self.next_turn_scheduled and (self.waiting or self.spent_seconds):
            self.next_turn_scheduled = True
            asyncio.get_running_loop().call_soon(self._next_turn)

    def _next_turn(self) -> None:
        self.next_turn_scheduled = False
        self.spent_seconds = 0.0
        while self.waiting and self.spent_seconds < READ_TURN_SECONDS:
            reader = next(iter(self.waiting))
            del self.waiting[reader]
            self._read(reader)
        self._schedule_next_turn()

"""All deadlines of the program in one ordered structure, driven by one timer of the loop."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any, Protocol


class Handle(Protocol):
    def cancel(self) -> None: ...


class Clock(Protocol):
    """What an event loop offers; a test brings one of its own."""

    def time(self) -> float: ...

    def call_at(self, when: float, callback: Callable[..., Any], /) -> Handle: ...


class Deadline:
    __slots__ = ("call", "owner")

    def __init__(self, owner: Deadlines, call: Callable[[], object]) -> None:
        self.owner = owner
        self.call: Callable[[], object] | None = call

    def cancel(self) -> None:
        if self.call is not None:
            self.call = None
            self.owner.dropped()


class Deadlines:
    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.heap: list[tuple[float, int, Deadline]] = []
        self.count = 0
        self.dead = 0
        self.armed: Handle | None = None
        self.armed_at = float("inf")

    def __len__(self) -> int:
        return len(self.heap) - self.dead

    def at(self, when: float, call: Callable[[], object]) -> Deadline:
        deadline = Deadline(self, call)
        self.count += 1
        heapq.heappush(self.heap, (when, self.count, deadline))
        self._arm()
        return deadline

    def after(self, delay: float, call: Callable[[], object]) -> Deadline:
        return self.at(self.clock.time() + delay, call)

    def dropped(self) -> None:
        """One was cancelled: they stay in the heap until due, unless they come to be most of it."""
        self.dead += 1
        if self.dead > 64 and self.dead * 2 > len(self.heap):
            self.heap = [item for item in self.heap if item[2].call is not None]
            heapq.heapify(self.heap)
            self.dead = 0

    def _arm(self) -> None:
        if self.heap and self.heap[0][0] < self.armed_at:
            if self.armed is not None:
                self.armed.cancel()
            self.armed_at = self.heap[0][0]
            self.armed = self.clock.call_at(self.armed_at, self._due)

    def _due(self) -> None:
        self.armed, self.armed_at = None, float("inf")
        try:
            while self.heap and self.heap[0][0] <= self.clock.time():
                deadline = heapq.heappop(self.heap)[2]
                call, deadline.call = deadline.call, None
                if call is None:
                    self.dead -= 1
                else:
                    call()
        finally:
            self._arm()

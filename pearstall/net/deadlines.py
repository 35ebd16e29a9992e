"""All deadlines of the program in one heap, driven by a single timer of the event loop."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any, Protocol


class Handle(Protocol):
    def cancel(self) -> None: ...


class Clock(Protocol):
    """The part of an event loop that deadlines use; tests supply their own."""

    def time(self) -> float: ...

    def call_at(self, when: float, callback: Callable[..., Any], /) -> Handle: ...


class Deadline:
    """A call at a given time. Cancelling it twice, or after the call, has no effect."""

    __slots__ = ("call", "owner")

    def __init__(self, owner: Deadlines, call: Callable[[], object]) -> None:
        self.owner = owner
        self.call: Callable[[], object] | None = call

    def cancel(self) -> None:
        if self.call is not None:
            self.call = None
            self.owner.count_cancelled()


class Deadlines:
    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.heap: list[tuple[float, int, Deadline]] = []
        self.sequence = 0
        self.cancelled_count = 0
        self.armed: Handle | None = None
        self.armed_at = float("inf")

    def __len__(self) -> int:
        return len(self.heap) - self.cancelled_count

    def at(self, when: float, call: Callable[[], object]) -> Deadline:
        deadline = Deadline(self, call)
        self.sequence += 1
        heapq.heappush(self.heap, (when, self.sequence, deadline))
        self._arm()
        return deadline

    def after(self, delay: float, call: Callable[[], object]) -> Deadline:
        return self.at(self.clock.time() + delay, call)

    def count_cancelled(self) -> None:
        """Cancelled deadlines stay in the heap until they are due; when they become most of it, they are removed."""
        self.cancelled_count += 1
        if self.cancelled_count > 64 and self.cancelled_count * 2 > len(self.heap):
            self.heap = [item for item in self.heap if item[2].call is not None]
            heapq.heapify(self.heap)
            self.cancelled_count = 0

    def _arm(self) -> None:
        if self.heap and self.heap[0][0] < self.armed_at:
            if self.armed is not None:
                self.armed.cancel()
            self.armed_at = self.heap[0][0]
            self.armed = self.clock.call_at(self.armed_at, self._run_due)

    def _run_due(self) -> None:
        self.armed, self.armed_at = None, float("inf")
        try:
            while self.heap and self.heap[0][0] <= self.clock.time():
                deadline = heapq.heappop(self.heap)[2]
                call, deadline.call = deadline.call, None
                if call is None:
                    self.cancelled_count -= 1
                else:
                    call()
        finally:
            self._arm()

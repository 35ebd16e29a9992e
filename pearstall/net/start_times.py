"""When model servers started, on the router's own clock.

Discovery reports starts in Unix time. The wall clock may be stepped, so it is read only for a new start, and the age
that it gives is limited by the time since a list without that start was known to be current. A start that is reported
again keeps its time.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

LIST_LAG_SECONDS = 10.0  # a list may lag behind by seconds
MAX_REMEMBERED = 1 << 16
NO_START = 0  # reported to the Router for a server whose start is not known


@dataclass(slots=True, frozen=True)
class Start:
    """A server's start as discovery reported it, and on the router's clock."""

    since_ms: float
    started: int  # microseconds of the router's clock


class StartTimes:
    """`clock`: monotonic seconds; `wall_clock`: Unix time in seconds."""

    def __init__(self, clock: Callable[[], float], wall_clock: Callable[[], float]) -> None:
        self.clock = clock
        self.wall_clock = wall_clock
        self.confirmed_at: float | None = None
        self.starts: dict[int, Start] = {}

    def confirm_list(self) -> None:
        """Discovery has just sent all that it knows: the list is current."""
        self.confirmed_at = self.clock()

    def started(self, server: int, since_ms: float) -> int:
        """When a server started, in microseconds of the router's clock."""
        if not since_ms:
            return NO_START
        known = self.starts.pop(server, None)
        if known is None or known.since_ms != since_ms:
            known = Start(since_ms, max(1, int((self.clock() - self._age(since_ms)) * 1e6)))
        self.starts[server] = known
        if len(self.starts) > MAX_REMEMBERED:
            del self.starts[next(iter(self.starts))]
        return known.started

    def _age(self, since_ms: float) -> float:
        """Seconds since a start that was not reported before."""
        age = max(0.0, self.wall_clock() - since_ms / 1000)
        if self.confirmed_at is None:
            return age
        return min(age, self.clock() - self.confirmed_at + LIST_LAG_SECONDS)

"""When model servers started, on the router's own clock.

Discovery tells starts as Unix time. The wall clock may be stepped, so it is read only when a start is new, and what
it says is held against the time for which the list is known to have told nothing of it. A start told twice keeps its
time.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

LIST_LAG_SECONDS = 10.0  # a list comes seconds late
MOST_REMEMBERED = 1 << 16
LONG_AGO = 0  # what the Router is told of a server without a start


@dataclass(slots=True, frozen=True)
class Start:
    since_ms: float
    started: int  # microseconds of the router's clock


class StartTimes:
    """`clock`: monotonic seconds; `wall_clock`: Unix time in seconds."""

    def __init__(self, clock: Callable[[], float], wall_clock: Callable[[], float]) -> None:
        self.clock = clock
        self.wall_clock = wall_clock
        self.heard_at: float | None = None
        self.starts: dict[int, Start] = {}

    def heard(self) -> None:
        """Discovery has just told all that it had."""
        self.heard_at = self.clock()

    def started(self, server: int, since_ms: float) -> int:
        if not since_ms:
            return LONG_AGO
        known = self.starts.pop(server, None)
        if known is None or known.since_ms != since_ms:
            known = Start(since_ms, max(1, int((self.clock() - self._age(since_ms)) * 1e6)))
        self.starts[server] = known
        if len(self.starts) > MOST_REMEMBERED:
            del self.starts[next(iter(self.starts))]
        return known.started

    def _age(self, since_ms: float) -> float:
        """Seconds since a start that was not told before."""
        age = max(0.0, self.wall_clock() - since_ms / 1000)
        if self.heard_at is None:
            return age
        return min(age, self.clock() - self.heard_at + LIST_LAG_SECONDS)

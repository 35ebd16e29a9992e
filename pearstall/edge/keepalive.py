"""How often a quiet link is asked whether it lives, from its measured round trips. No I/O; told the time.

The round trip is smoothed as TCP smooths its own (RFC 6298, section 2). A fast, steady link is asked often and found
dead soon; a slow one is left the time that it needs.
"""

from __future__ import annotations

import msgspec


class KeepAlive(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Seconds. `trips`: so many smoothed round trips lie between two questions."""

    least: float = 5.0
    most: float = 45.0
    trips: float = 60.0
    patience: float = 4.0  # times the retransmission time-out, within `least` and `most`, for an answer


class Pulse:
    __slots__ = ("settings", "smoothed", "variance", "sent", "heard")

    def __init__(self, settings: KeepAlive, now: float) -> None:
        self.settings = settings
        self.smoothed = 0.0
        self.variance = 0.0
        self.sent = 0.0  # when the question that is out was sent; 0: none is
        self.heard = now

    def measured(self, trip: float) -> None:
        if not self.smoothed:
            self.smoothed, self.variance = trip, trip / 2
        else:
            self.variance += (abs(self.smoothed - trip) - self.variance) / 4
            self.smoothed += (trip - self.smoothed) / 8

    @property
    def timeout(self) -> float:
        """The retransmission time-out of RFC 6298, without its floor of a second."""
        return self.smoothed + 4 * self.variance if self.smoothed else self.settings.most / self.settings.trips

    def _within(self, time: float) -> float:
        return min(self.settings.most, max(self.settings.least, time))

    @property
    def interval(self) -> float:
        return self._within(self.timeout * self.settings.trips)

    @property
    def patience(self) -> float:
        return self._within(self.timeout * self.settings.patience)

    def came(self, now: float) -> None:
        """Anything that comes shows that the link lives."""
        self.heard = now

    def ask(self, now: float) -> None:
        self.sent = now

    def answered(self, now: float) -> None:
        if self.sent:
            self.measured(now - self.sent)
            self.sent = 0.0
        self.heard = now

    def due(self, now: float) -> tuple[str, float]:
        """What is to be done: `ask`, `dead`, or `wait` for so many seconds."""
        if self.sent and self.heard < self.sent:
            left = self.sent + self.patience - now
            return ("dead", 0.0) if left <= 0 else ("wait", left)
        left = max(self.heard, self.sent) + self.interval - now
        return ("ask", 0.0) if left <= 0 else ("wait", left)

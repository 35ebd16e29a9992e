"""Decides when to ping a silent connection and when to take it for dead. No I/O; callers pass in the time.

Both depend on the connection's round-trip time, smoothed as in TCP (RFC 6298, section 2). A fast, steady connection
is pinged often and found dead soon; a slow one gets more time.
"""

from __future__ import annotations

import msgspec


class KeepAlive(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`least` and `most` are in seconds. `trips`: the time between two pings, in retransmission timeouts."""

    least: float = 5.0
    most: float = 45.0
    trips: float = 60.0
    patience: float = 4.0  # timeout for a pong, in retransmission timeouts, between `least` and `most`


class KeepAliveMonitor:
    """The round-trip estimate and the ping schedule of one connection."""

    __slots__ = ("settings", "smoothed", "variance", "ping_sent", "last_received")

    def __init__(self, settings: KeepAlive, now: float) -> None:
        self.settings = settings
        self.smoothed = 0.0
        self.variance = 0.0
        self.ping_sent = 0.0  # when the outstanding ping was sent; 0: none is outstanding
        self.last_received = now

    def add_round_trip(self, round_trip: float) -> None:
        if not self.smoothed:
            self.smoothed, self.variance = round_trip, round_trip / 2
        else:
            self.variance += (abs(self.smoothed - round_trip) - self.variance) / 4
            self.smoothed += (round_trip - self.smoothed) / 8

    @property
    def timeout(self) -> float:
        """The retransmission timeout of RFC 6298, without its minimum of 1 second."""
        return self.smoothed + 4 * self.variance if self.smoothed else self.settings.most / self.settings.trips

    def _clamp(self, time: float) -> float:
        return min(self.settings.most, max(self.settings.least, time))

    @property
    def interval(self) -> float:
        return self._clamp(self.timeout * self.settings.trips)

    @property
    def answer_timeout(self) -> float:
        return self._clamp(self.timeout * self.settings.patience)

    def received(self, now: float) -> None:
        """Any data received shows that the connection is alive."""
        self.last_received = now

    def ping(self, now: float) -> None:
        self.ping_sent = now

    def pong_received(self, now: float) -> None:
        if self.ping_sent:
            self.add_round_trip(now - self.ping_sent)
            self.ping_sent = 0.0
        self.last_received = now

    def next_action(self, now: float) -> tuple[str, float]:
        """The next action, `ping`, `dead` or `wait`, and for `wait` the seconds to wait."""
        if self.ping_sent and self.last_received < self.ping_sent:
            left = self.ping_sent + self.answer_timeout - now
            return ("dead", 0.0) if left <= 0 else ("wait", left)
        left = max(self.last_received, self.ping_sent) + self.interval - now
        return ("ping", 0.0) if left <= 0 else ("wait", left)

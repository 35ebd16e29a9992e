"""The eviction policy: what is evicted when memory runs short, and in which order. No I/O and no clock.

The order of eviction:

1. *acknowledged*: tombstones, oldest first (only the memory of an id is lost);
2. *finished and away*: the oldest loses its events and becomes a tombstone, which still returns the final record;
3. *running and away*: the one that has been away longest is ended with a final record that says so (`cut`, `room`).

An ask that a device is reading is never evicted: its log fills up, the connection to its server is paused, and only
`linger` ends it. No ask disappears without a final record; only tombstones are forgotten.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

import msgspec


class Bounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on what is stored. Bytes count event payloads; times are in seconds."""

    ask_bytes: int = 1 << 20
    ask_events: int = 20_000
    device_asks: int = 8  # running, or ended and not yet acknowledged
    key_asks: int = 1000  # the same limit for one caller of the OpenAI-style front that sends idempotency keys
    device_tombstones: int = 32
    all_bytes: int = 256 << 20
    sessions: int = 100_000
    tombstones: int = 200_000
    linger: float = 20.0  # how long a running ask may go unread; `lingers` overrides it by class
    lingers: dict[str, float] = {}
    keep: float = 300.0  # how long an ended ask waits for its device
    remember: float = 900.0  # lifetime of a tombstone
    idle: float = 1800.0  # lifetime of a session without asks


class Victim(IntEnum):
    TOMBSTONE = 1
    ENDED_AWAY = 2
    RUNNING_AWAY = 3
    NOTHING = 4


@dataclass(slots=True)
class Usage:
    """What is stored at present."""

    bytes: int = 0
    sessions: int = 0
    tombstones: int = 0
    ended_away: int = 0
    running_away: int = 0


def next_victim(usage: Usage, bounds: Bounds) -> Victim | None:
    """What to evict next. None: all is within bounds. NOTHING: a bound is exceeded, but nothing may be evicted."""
    if usage.tombstones > bounds.tombstones:
        return Victim.TOMBSTONE
    if usage.bytes > bounds.all_bytes:
        if usage.ended_away:
            return Victim.ENDED_AWAY
        if usage.running_away:
            return Victim.RUNNING_AWAY
        return Victim.NOTHING
    return None

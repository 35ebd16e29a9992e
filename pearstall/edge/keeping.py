"""What gives way when room runs short, and in which order. No I/O, no clock: a policy on what is held.

The order, written here once:

1. *acknowledged*: tombstones, oldest first (they cost only the memory of an id);
2. *finished and away*: the oldest loses its events and becomes a tombstone, whose final record still answers;
3. *running and away*: the longest away is ended with a final record that says so (`cut`, `room`).

What a device reads now never gives way: its log fills, its server link is paused, and only `linger` ends it.
Nothing disappears without a final record; only tombstones are forgotten.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

import msgspec


class Bounds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How much is kept. Bytes count event payloads; times are seconds."""

    ask_bytes: int = 1 << 20
    ask_events: int = 20_000
    device_asks: int = 8  # running or ended, not acknowledged
    key_asks: int = 1000  # the same for one caller of the OpenAI-style front, by its idempotency keys
    device_tombstones: int = 32
    all_bytes: int = 256 << 20
    sessions: int = 100_000
    tombstones: int = 200_000
    linger: float = 20.0  # a running ask nobody reads, by class where `lingers` says
    lingers: dict[str, float] = {}
    keep: float = 300.0  # an ended ask waits so long for its device
    remember: float = 900.0  # a tombstone stays so long
    idle: float = 1800.0  # a session without asks stays so long


class GiveWay(IntEnum):
    TOMBSTONE = 1
    ENDED_AWAY = 2
    RUNNING_AWAY = 3
    NOTHING = 4


@dataclass(slots=True)
class Holdings:
    """What is held just now."""

    bytes: int = 0
    sessions: int = 0
    tombstones: int = 0
    ended_away: int = 0
    running_away: int = 0


def next_to_go(held: Holdings, bounds: Bounds) -> GiveWay | None:
    """None: all is within bounds. NOTHING: out of bounds, and nothing may go."""
    if held.tombstones > bounds.tombstones:
        return GiveWay.TOMBSTONE
    if held.bytes > bounds.all_bytes:
        if held.ended_away:
            return GiveWay.ENDED_AWAY
        if held.running_away:
            return GiveWay.RUNNING_AWAY
        return GiveWay.NOTHING
    return None

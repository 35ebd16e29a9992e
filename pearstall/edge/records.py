"""What an ask's log holds: numbered events, and the one final record. No I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import StrEnum

import msgspec

EVENT = re.compile(rb"(?s:.*?)(?:\r\n\r\n|\n\n|\r\r)")


class Kind(StrEnum):
    """How an ask ended. `blamed`: a model server found the ask itself wrong."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    BLAMED = "blamed"
    CUT = "cut"
    CANCELLED = "cancelled"


class Final(msgspec.Struct, frozen=True, omit_defaults=True):
    """The final record: numbered one past the last event, the same however often it is delivered.

    `retry_after_ms`: when asking anew (under a new id) is worth it; 0: no advice."""

    number: int
    kind: Kind
    reason: str = ""
    retry_after_ms: int = 0
    status: int = 0
    body: bytes = b""


@dataclass(slots=True, frozen=True)
class Problem:
    """Why the edge did not do what a device wanted; each wire words it its own way (RFC 9457 on HTTP).

    `retry_after`: seconds; 0: no advice. `final`: the record that stands, where one does."""

    code: str
    detail: str
    status: int
    retry_after: float = 0.0
    final: Final | None = None


def split_events(events: bytes) -> list[bytes]:
    """Whole server-sent events, each with its own end, every byte as it was. What `core` passes on always
    ends with a whole event (WHATWG HTML, 9.2.5: lines end in CR LF, LF or CR)."""
    if b"\r" in events:
        return EVENT.findall(events)
    if events.count(b"\n\n") == 1 and events.endswith(b"\n\n"):
        return [events]
    parts = events.split(b"\n\n")
    if parts[-1] or b"" in parts[:-1]:  # an empty line too many belongs to no event: keep it with its own
        return EVENT.findall(events)
    parts.pop()
    return [part + b"\n\n" for part in parts]


def line_end(event: bytes) -> bytes:
    """How the lines of this event end."""
    return b"\r\n" if event.endswith(b"\r\n\r\n") else event[-1:]

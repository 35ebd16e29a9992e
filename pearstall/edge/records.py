"""The records of an ask's log: numbered events, then one final record. No I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import StrEnum

import msgspec

EVENT_PATTERN = re.compile(rb"(?s:.*?)(?:\r\n\r\n|\n\n|\r\r)")


class Kind(StrEnum):
    """How an ask ended. `blamed`: a model server rejected the ask itself as invalid."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    BLAMED = "blamed"
    CUT = "cut"
    CANCELLED = "cancelled"


class Final(msgspec.Struct, frozen=True, omit_defaults=True):
    """The final record. Its number follows that of the last event, and it is the same each time it is delivered.

    `retry_after_ms`: how long to wait before asking again (under a new id); 0: no advice."""

    number: int
    kind: Kind
    reason: str = ""
    retry_after_ms: int = 0
    status: int = 0
    body: bytes = b""


@dataclass(slots=True, frozen=True)
class Problem:
    """Why the edge did not carry out a device's request; each wire encodes it in its own form (RFC 9457 on HTTP).

    `retry_after`: seconds; 0: no advice. `final`: the final record of the ask, if there is one."""

    code: str
    detail: str
    status: int
    retry_after: float = 0.0
    final: Final | None = None


def split_events(events: bytes) -> list[bytes]:
    """Splits whole server-sent events, each with its terminating blank line, without changing a byte. The data that
    `core` passes on always ends with a whole event (WHATWG HTML, 9.2.5: lines end in CR LF, LF or CR)."""
    if b"\r" in events:
        return EVENT_PATTERN.findall(events)
    if events.count(b"\n\n") == 1 and events.endswith(b"\n\n"):
        return [events]
    parts = events.split(b"\n\n")
    if parts[-1] or b"" in parts[:-1]:  # extra empty lines belong to no event; the pattern keeps them
        return EVENT_PATTERN.findall(events)
    parts.pop()
    return [part + b"\n\n" for part in parts]


def line_end(event: bytes) -> bytes:
    """The line terminator that this event uses."""
    return b"\r\n" if event.endswith(b"\r\n\r\n") else event[-1:]

"""Server-sent events: splits a byte stream after complete events, without changing a byte."""

from __future__ import annotations

import re
from collections.abc import Iterator

from pearstall.net.http1 import Malformed

MAX_EVENT_BYTES = 1 << 20
# Possessive throughout: a line end that can be matched in two ways must not cause backtracking.
WELL_FORMED_LINES = re.compile(rb"(?:(?:(?:data|event|id|retry)(?::[^\r\n]*+)?+|:[^\r\n]*+)?+(?>\r\n|\r|\n))*+")
FIELDS = (b"data:", b"event:", b"id:", b"retry:", b":")
LONGEST_FIELD_BYTES = 6
EVENT_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")


class EventSplitter:
    __slots__ = ("remainder", "error")

    def __init__(self) -> None:
        self.remainder = b""
        self.error: Malformed | None = None  # returned once the events before it were

    def feed(self, data: bytes) -> bytes | Malformed:
        """Everything up to the end of the last complete event; the remainder is kept for the next call."""
        if self.error is not None:
            return self.error
        data = self.remainder + data if self.remainder else data
        cut = _end_of_last_event(data, len(data))
        # A wrong chunk size leaves framing among the events, which would be passed on as a part of the answer.
        lines = WELL_FORMED_LINES.match(data, 0, cut)
        if lines is not None and lines.end() < cut:
            self.error = Malformed("the stream contains a malformed event")
            cut = _end_of_last_event(data, lines.end())
        elif len(data) - cut > MAX_EVENT_BYTES:
            self.error = Malformed("an event is too large")
        self.remainder = b"" if self.error else data[cut:]
        return data[:cut] if cut or self.error is None else self.error

    @property
    def holds_part_of_event(self) -> bool:
        """Whether the remainder ends in what may be the beginning of a line of an event, and not in noise."""
        last_line = max(self.remainder.rfind(b"\n"), self.remainder.rfind(b"\r")) + 1
        start = self.remainder[last_line : last_line + LONGEST_FIELD_BYTES]
        return bool(self.remainder) and any(start.startswith(field) or field.startswith(start) for field in FIELDS)


def _end_of_last_event(data: bytes, end: int) -> int:
    """The offset behind the last complete event that ends at or before `end`; 0: there is none."""
    found = [at + len(separator) for separator in EVENT_ENDS if (at := data.rfind(separator, 0, end)) >= 0]
    return max(found, default=0)


def payloads(events: bytes) -> Iterator[bytes]:
    """The data of each event. Lines may end in any of the three ways; other fields and comments are skipped."""
    lines: list[bytes] = []
    for line in [*events.replace(b"\r\n", b"\n").replace(b"\r", b"\n").split(b"\n"), b""]:
        if line.startswith(b"data:"):
            lines.append(line[6:] if line[5:6] == b" " else line[5:])
        elif not line and lines:
            yield b"\n".join(lines)
            lines = []

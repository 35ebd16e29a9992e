"""Server-sent events: cuts a stream of bytes after whole events, leaving every byte as it is."""

from __future__ import annotations

import re
from collections.abc import Iterator

from pearstall.net.http1 import Malformed

LARGEST_EVENT = 1 << 20
# Possessive throughout: a line's end that could be read in two ways must not make the search go back.
LINES = re.compile(rb"(?:(?:(?:data|event|id|retry)(?::[^\r\n]*+)?+|:[^\r\n]*+)?+(?>\r\n|\r|\n))*+")
ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")


class EventSplitter:
    __slots__ = ("rest", "spoilt")

    def __init__(self) -> None:
        self.rest = b""
        self.spoilt: Malformed | None = None  # what came whole before is given first

    def feed(self, data: bytes) -> bytes | Malformed:
        """All that ends with a whole event, in the order it came; what is left waits for the next call."""
        if self.spoilt is not None:
            return self.spoilt
        data = self.rest + data if self.rest else data
        cut = _whole(data, len(data))
        # A chunk of a wrong size leaves framing among the events; passed on, it would be part of the answer.
        lines = LINES.match(data, 0, cut)
        if lines is not None and lines.end() < cut:
            self.spoilt = Malformed("an event that is none")
            cut = _whole(data, lines.end())
        elif len(data) - cut > LARGEST_EVENT:
            self.spoilt = Malformed("an event without an end")
        self.rest = b"" if self.spoilt else data[cut:]
        return data[:cut] if cut or self.spoilt is None else self.spoilt


def _whole(data: bytes, end: int) -> int:
    """Where the last whole event before there ends."""
    found = [at + len(mark) for mark in ENDS if (at := data.rfind(mark, 0, end)) >= 0]
    return max(found, default=0)


def payloads(events: bytes) -> Iterator[bytes]:
    """The data of each event. Lines end in any of three ways; other fields and comments are skipped."""
    lines: list[bytes] = []
    for line in [*events.replace(b"\r\n", b"\n").replace(b"\r", b"\n").split(b"\n"), b""]:
        if line.startswith(b"data:"):
            lines.append(line[6:] if line[5:6] == b" " else line[5:])
        elif not line and lines:
            yield b"\n".join(lines)
            lines = []

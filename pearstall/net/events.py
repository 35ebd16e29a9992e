"""Server-sent events: cuts a stream of bytes after whole events, leaving every byte as it is."""

from __future__ import annotations

from collections.abc import Iterator

from pearstall.net.http1 import Malformed

LARGEST_EVENT = 1 << 20
ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")


class EventSplitter:
    __slots__ = ("rest",)

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> bytes | Malformed:
        """All that ends with a whole event, in the order it came; what is left waits for the next call."""
        data = self.rest + data if self.rest else data
        cut = 0
        for end in ENDS:
            at = data.rfind(end)
            if at >= 0:
                cut = max(cut, at + len(end))
        self.rest = data[cut:]
        if len(self.rest) > LARGEST_EVENT:
            return Malformed("an event without an end")
        return data[:cut]


def payloads(events: bytes) -> Iterator[bytes]:
    """The data of each event. Lines end in any of three ways; other fields and comments are skipped."""
    lines: list[bytes] = []
    for line in [*events.replace(b"\r\n", b"\n").replace(b"\r", b"\n").split(b"\n"), b""]:
        if line.startswith(b"data:"):
            lines.append(line[6:] if line[5:6] == b" " else line[5:])
        elif not line and lines:
            yield b"\n".join(lines)
            lines = []

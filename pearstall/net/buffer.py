"""The one buffer of a connection: it grows as needed and is compacted in place."""

from __future__ import annotations

FIRST = 4096
KEPT = 65536  # an empty buffer larger than this gives its memory back


class Buffer:
    """Bytes come in at the end through `room` and `wrote`; parsers take them from the front."""

    __slots__ = ("data", "start", "end", "lent", "filled")

    def __init__(self) -> None:
        self.data = bytearray(FIRST)
        self.start = 0
        self.end = 0
        self.lent: memoryview | None = None
        self.filled = False  # the last read

    def __len__(self) -> int:
        return self.end - self.start

    def room(self) -> memoryview:
        """Where the next bytes go: a view that `wrote` takes back."""
        self._take_back()
        if self.start:
            held = self.end - self.start
            if not held or len(self.data) - self.end < len(self.data) // 4:
                self.data[:held] = self.data[self.start : self.end]
                self.start, self.end = 0, held
        # A read that filled its room shows that more waits. Without growing then, a query of 30 KB, taken
        # out as it comes, took eight reads of 4 KB, each a turn of the loop.
        if self.end == len(self.data) or (self.filled and len(self.data) < KEPT):
            self.data.extend(bytes(len(self.data)))
        self.filled = False
        self.lent = memoryview(self.data)[self.end :]
        return self.lent

    def wrote(self, count: int) -> None:
        # The transport still holds its view here, and a view that is out bars the bytearray from growing.
        self.filled = self.lent is not None and count == len(self.lent)
        self._take_back()
        self.end += count

    def _take_back(self) -> None:
        if self.lent is not None:
            self.lent.release()
            self.lent = None

    def add(self, data: bytes) -> None:
        while data:
            view = self.room()
            part = data[: len(view)]
            view[: len(part)] = part
            self.wrote(len(part))
            data = data[len(part) :]

    def find(self, what: bytes, start: int = 0, end: int | None = None) -> int:
        """Where it stands, counted from the front; -1: nowhere."""
        stop = self.end if end is None else min(self.end, self.start + end)
        at = self.data.find(what, self.start + start, stop)
        return at - self.start if at >= 0 else -1

    def peek(self, count: int) -> bytes:
        return bytes(self.data[self.start : min(self.end, self.start + count)])

    def take(self, count: int) -> bytes:
        out = self.peek(count)
        self.skip(len(out))
        return out

    def rest(self) -> None:
        """Nothing is due for a while: an empty buffer that has grown gives its memory back."""
        if not len(self) and self.lent is None and len(self.data) > FIRST:
            self.data = bytearray(FIRST)

    def skip(self, count: int) -> None:
        self.start += min(count, self.end - self.start)
        if self.start == self.end:
            self.start = self.end = 0
            if len(self.data) > KEPT and self.lent is None:
                self.data = bytearray(FIRST)

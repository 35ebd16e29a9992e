"""The read buffer of a connection: it grows as needed and is compacted in place."""

from __future__ import annotations

INITIAL_BYTES = 4096
GROWTH_FACTOR = 4  # up to the size that is retained; beyond, the size doubles
MAX_RETAINED_BYTES = 65536  # an empty buffer larger than this is freed


class Buffer:
    """Bytes are appended with `writable_view` and `wrote`; parsers consume them from the front."""

    __slots__ = ("data", "start", "end", "view", "view_filled")

    def __init__(self) -> None:
        self.data = bytearray()  # allocated once it is written to
        self.start = 0
        self.end = 0
        self.view: memoryview | None = None
        self.view_filled = False  # by the last read

    def __len__(self) -> int:
        return self.end - self.start

    @property
    def allocated_bytes(self) -> int:
        return len(self.data)

    def writable_view(self, read_ahead: bool = True) -> memoryview:
        """The free space behind the content, as a view that is valid until `wrote`. `read_ahead`: the buffer may grow
        before it is full."""
        self._release_view()
        if self.start:
            size = self.end - self.start
            if not size or len(self.data) - self.end < len(self.data) // 4:
                self.data[:size] = self.data[self.start : self.end]
                self.start, self.end = 0, size
        # A read that filled the view shows that more data is waiting. Without growing then, a query of 30 KB, which
        # is consumed as it arrives, took eight reads of 4 KB, each in its own iteration of the event loop.
        more_waits = read_ahead and self.view_filled and len(self.data) < MAX_RETAINED_BYTES
        if self.end == len(self.data) or more_waits:
            self.data.extend(bytes(self._next_size() - len(self.data)))
        self.view_filled = False
        self.view = memoryview(self.data)[self.end :]
        return self.view

    def _next_size(self) -> int:
        """Few sizes, each but the first large enough for the allocator to map it separately: hundreds of buffers that
        grow at the same time would otherwise leave holes behind that nothing else fits into."""
        size = len(self.data)
        if size < INITIAL_BYTES:
            return INITIAL_BYTES
        return size * GROWTH_FACTOR if size < MAX_RETAINED_BYTES else 2 * size

    def wrote(self, count: int) -> None:
        # The transport still refers to its view here, and a bytearray can't grow while a view of it exists.
        self.view_filled = self.view is not None and count == len(self.view)
        self._release_view()
        self.end += count

    def _release_view(self) -> None:
        if self.view is not None:
            self.view.release()
            self.view = None

    def add(self, data: bytes) -> None:
        while data:
            view = self.writable_view()
            part = data[: len(view)]
            view[: len(part)] = part
            self.wrote(len(part))
            data = data[len(part) :]

    def find(self, what: bytes, start: int = 0, end: int | None = None) -> int:
        """The offset of `what` from the front, or -1. `start` and `end` are offsets too."""
        stop = self.end if end is None else min(self.end, self.start + end)
        at = self.data.find(what, self.start + start, stop)
        return at - self.start if at >= 0 else -1

    def peek(self, count: int) -> bytes:
        return bytes(self.data[self.start : min(self.end, self.start + count)])

    def take(self, count: int) -> bytes:
        out = self.peek(count)
        self.skip(len(out))
        return out

    def release_memory(self) -> None:
        """Frees the memory of an empty buffer. Called when no data is expected for a while."""
        if not len(self) and self.view is None:
            self.data = bytearray()

    def discard(self) -> None:
        """Drops the content and frees the memory."""
        self._release_view()
        self.start = self.end = 0
        self.data = bytearray()

    def skip(self, count: int) -> None:
        self.start += min(count, self.end - self.start)
        if self.start == self.end:
            self.start = self.end = 0
            if len(self.data) > MAX_RETAINED_BYTES and self.view is None:
                self.data = bytearray()

"""A device's connection: moves bytes between a socket and its wire (the protocol in use). Makes no decisions.

It begins as HTTP/1.1, read by the project's own parser, and may be upgraded to a WebSocket.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from pearstall.edge.service import Edge
from pearstall.eventlog import log_exception
from pearstall.net.buffer import Buffer
from pearstall.net.deadlines import Deadline
from pearstall.net.pending import end_sending
from pearstall.net.slots import Slots

WRITE_BUFFER_LIMIT = 32 * 1024  # bytes not yet sent to a device; above this, nothing more is taken from its log
CLOSE_LINGER = 1.0  # seconds that a half-closed connection keeps reading before it is aborted


class Wire(Protocol):
    """The protocol of a connection."""

    def received(self, buffer: Buffer) -> None:
        """Bytes have been received. Those not taken from the buffer stay in it."""

    def writable(self) -> None:
        """The connection can take more data again."""

    def lost(self) -> None:
        """The connection has been lost."""

    def leaving(self) -> None:
        """The edge is shutting down."""


class EdgeLink(asyncio.BufferedProtocol):
    def __init__(self, owner: EdgeLinks) -> None:
        self.owner = owner
        self.edge = owner.edge
        self.buffer = Buffer()
        self.handle = 0
        self.transport: asyncio.Transport | None = None
        self.full = False  # whether the write buffer is above its limit
        self.closing = False
        self.timer: Deadline | None = None
        self.wire: Wire = owner.first_wire(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(WRITE_BUFFER_LIMIT)
        self.handle = self.owner.links.add(self)
        if len(self.owner.links) > self.edge.config.links:
            self.owner.crowded_out += 1
            self.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.owner.links.remove(self.handle)
        self.closing = True
        self.set_timer(0)
        self.wire.lost()

    def eof_received(self) -> bool:
        return False

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.buffer.writable_view()

    def buffer_updated(self, nbytes: int) -> None:
        self.buffer.wrote(nbytes)
        self.read()

    def read(self) -> None:
        if self.closing:
            self.buffer.skip(len(self.buffer))
            return
        try:
            self.wire.received(self.buffer)
        except Exception as error:  # contained here, so that no other connection is affected
            self.owner.edge.core.counters.exceptions += 1
            log_exception(self.owner.edge.core.log, error)
            self.abort()
        if not len(self.buffer):
            self.buffer.release_memory()

    def pause_writing(self) -> None:
        self.full = True

    def resume_writing(self) -> None:
        self.full = False
        if not self.closing:
            self.wire.writable()

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def set_timer(self, seconds: float, callback: Callable[[], object] | None = None) -> None:
        """Sets the connection's only timer, in place of any earlier one; 0: no timer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if seconds:
            self.timer = self.edge.deadlines.after(seconds, callback or self.close)

    def close(self) -> None:
        """Ends sending, and reads on for a moment: a reset could destroy data that the device has not read yet."""
        if self.closing:
            return
        self.closing = True
        if self.transport is not None and not self.transport.is_closing():
            end_sending(self.transport)
            self.set_timer(CLOSE_LINGER, self.abort)

    def abort(self) -> None:
        self.closing = True
        if self.transport is not None:
            self.transport.abort()


class EdgeLinks:
    def __init__(self, edge: Edge, first_wire: Callable[[EdgeLink], Wire]) -> None:
        self.edge, self.first_wire = edge, first_wire
        self.links: Slots[EdgeLink] = Slots()
        self.crowded_out = 0
        edge.on_leaving = self.leave

    def __call__(self) -> EdgeLink:
        return EdgeLink(self)

    def leave(self) -> None:
        for link in self.links:
            link.wire.leaving()

    def close(self) -> None:
        for link in self.links:
            link.abort()

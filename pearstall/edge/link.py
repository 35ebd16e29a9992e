"""A device's connection: moves bytes between a socket and the wire that is spoken on it. Decides nothing.

It begins as HTTP/1.1, read by the project's own parser, and may become a WebSocket.
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

UNSENT = 32 * 1024  # towards a device, before nothing more is taken from its log
LINGER = 1.0  # a link closed while more may come


class Wire(Protocol):
    """What is spoken on a link."""

    def received(self, buffer: Buffer) -> None:
        """Bytes have come; those not taken stay."""

    def writable(self) -> None:
        """The link has room again."""

    def lost(self) -> None:
        """The link has ended."""

    def leaving(self) -> None:
        """The edge is about to end."""


class EdgeLink(asyncio.BufferedProtocol):
    def __init__(self, owner: EdgeLinks) -> None:
        self.owner = owner
        self.edge = owner.edge
        self.buffer = Buffer()
        self.handle = 0
        self.transport: asyncio.Transport | None = None
        self.full = False  # nothing more should be written
        self.closing = False
        self.timer: Deadline | None = None
        self.wire: Wire = owner.first_wire(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(UNSENT)
        self.handle = self.owner.links.add(self)
        if len(self.owner.links) > self.edge.config.links:
            self.owner.crowded_out += 1
            self.abort()

    def connection_lost(self, error: Exception | None) -> None:
        self.owner.links.remove(self.handle)
        self.closing = True
        self.wait(0)
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
        except Exception as error:  # stops here: no other link is harmed
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

    def wait(self, limit: float, then: Callable[[], object] | None = None) -> None:
        """One deadline a link; 0: none."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if limit:
            self.timer = self.edge.deadlines.after(limit, then or self.close)

    def close(self) -> None:
        """Ends sending, and reads on for a moment: a reset would take what was said from under the device."""
        if self.closing:
            return
        self.closing = True
        if self.transport is not None and not self.transport.is_closing():
            end_sending(self.transport)
            self.wait(LINGER, self.abort)

    def abort(self) -> None:
        self.closing = True
        if self.transport is not None:
            self.transport.abort()


class EdgeLinks:
    def __init__(self, edge: Edge, first_wire: Callable[[EdgeLink], Wire]) -> None:
        self.edge, self.first_wire = edge, first_wire
        self.links: Slots[EdgeLink] = Slots()
        self.crowded_out = 0
        edge.told_leaving = self.leave

    def __call__(self) -> EdgeLink:
        return EdgeLink(self)

    def leave(self) -> None:
        for link in self.links:
            link.wire.leaving()

    def close(self) -> None:
        for link in self.links:
            link.abort()

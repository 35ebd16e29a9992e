"""What asyncio does not report of a connection: whether unread input waits, and whether the peer has closed."""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import struct
import termios
from collections.abc import Callable


def pending(transport: asyncio.BaseTransport) -> bool:
    """Whether bytes, an end or a reset wait in the kernel, so that closing or writing now would race with them."""
    return _poll(transport, "pending", select.POLLIN)


def gone(transport: asyncio.BaseTransport) -> bool:
    """Whether the peer has closed or reset the connection, even if that was not read yet: the event loop reports it
    an iteration later, and only behind waiting bytes. A connection that waited to be accepted may bring its request
    and its end together."""
    return _poll(transport, "gone", select.POLLRDHUP)


def unread_bytes(transport: asyncio.BaseTransport) -> int:
    """How much has arrived in the kernel and was not read; 0 for a transport without a socket."""
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    try:
        return int(struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.FIONREAD, b"\0" * 4))[0])
    except OSError:
        return 0


def _poll(transport: asyncio.BaseTransport, what: str, events: int) -> bool:
    query: Callable[[], bool] | None = transport.get_extra_info(what)
    if query is not None:  # a transport without a socket answers this itself
        return query()
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), events)
    return bool(poll.poll(0))


def end_sending(transport: asyncio.Transport) -> None:
    """Half-closes a connection. If the peer has reset it and the event loop has not read that yet, the socket raises
    here; the connection is then aborted, and the caller gets no exception."""
    try:
        transport.write_eof()
    except OSError:
        transport.abort()

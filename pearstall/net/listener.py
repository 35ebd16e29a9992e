"""A listening socket that keeps accepting, whichever error accept(2) returns.

asyncio's own server pauses for a second at each shortage of descriptors or memory, while connections that the kernel
has accepted wait with their requests.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
from collections.abc import Callable
from typing import Protocol

BACKLOG = 1024  # connections that the kernel queues until they are accepted
MAX_ACCEPTS_PER_WAKEUP = 8  # per loop iteration; until others are closed, these exceed the limit on connections
SHORTAGE_PAUSE_SECONDS = 0.02
SHORTAGES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# Retried at a start: the previous process may still hold the address.
START_ERRORS = SHORTAGES | {errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EINTR, errno.EAGAIN}
START_ATTEMPTS = 30
START_PAUSE_SECONDS = 0.1
# Unsent bytes that the kernel holds for one connection. Without a limit it takes some MB of an answer that its client
# does not read, which count as the process's memory where the platform counts sockets.
KERNEL_UNSENT_BYTES = 64 * 1024

MakeProtocol = Callable[[], asyncio.BaseProtocol]


class Closable(Protocol):
    """A listener, as its owner uses it."""

    def close(self) -> None: ...


def bound_socket(host: str, port: int) -> socket.socket:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # Accepted sockets inherit the protocol number, and asyncio sets TCP_NODELAY only if it is IPPROTO_TCP. With the
    # default, 0, the kernel delays small events until the client has acknowledged the previous ones.
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        with contextlib.suppress(OSError):  # not everywhere; accepted sockets inherit it
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, KERNEL_UNSENT_BYTES)
        sock.setblocking(False)
        sock.bind((host, port))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


async def open_listener(make: MakeProtocol, host: str, port: int, failed: Callable[[OSError], None]) -> Listener:
    """Raises an OSError if the address stays in use."""
    for attempt in range(START_ATTEMPTS):
        try:
            return Listener(make, bound_socket(host, port), failed)
        except OSError as error:
            if error.errno not in START_ERRORS or attempt == START_ATTEMPTS - 1:
                raise
            failed(error)
            await asyncio.sleep(START_PAUSE_SECONDS)
    raise AssertionError("unreachable")


class Listener:
    """Accepts connections on a listening socket. `failed` is called with each error of an accept."""

    def __init__(self, make: MakeProtocol, sock: socket.socket, failed: Callable[[OSError], None]) -> None:
        self.loop = asyncio.get_running_loop()
        self.make = make
        self.sock = sock
        self.failed = failed
        self.retry_timer: asyncio.TimerHandle | None = None
        self.opening: set[asyncio.Task[None]] = set()
        self._start_accepting()

    def close(self) -> None:
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        self.loop.remove_reader(self.sock.fileno())
        self.sock.close()

    def _start_accepting(self) -> None:
        self.retry_timer = None
        self.loop.add_reader(self.sock.fileno(), self._accept)

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_WAKEUP):
            try:
                connection, _ = self.sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self.failed(error)
                if error.errno in SHORTAGES:
                    self.loop.remove_reader(self.sock.fileno())
                    self.retry_timer = self.loop.call_later(SHORTAGE_PAUSE_SECONDS, self._start_accepting)
                    return
                continue  # the connection ended while queued, or the call was interrupted
            task = self.loop.create_task(self._open(connection))
            self.opening.add(task)
            task.add_done_callback(self.opening.discard)

    async def _open(self, connection: socket.socket) -> None:
        try:
            connection.setblocking(False)
            await self.loop.connect_accepted_socket(self.make, connection)
        except OSError as error:
            self.failed(error)
            connection.close()

"""A listening socket that goes on accepting whatever accept(2) answers.

asyncio's own server stops for a second at each shortage of descriptors or memory, while connections that the kernel
has accepted wait with their requests.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from typing import Protocol

BACKLOG = 1024  # connections that the kernel holds until they are accepted
ACCEPTED_AT_ONCE = 8  # so many are open unseen in each of the turns between an accept and another's close
SHORTAGE_PAUSE_SECONDS = 0.02
SHORTAGES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# Of a start: the process before may not be gone yet, and its address with it.
START_ERRORS = SHORTAGES | {errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EINTR, errno.EAGAIN}
START_ATTEMPTS = 30
START_PAUSE_SECONDS = 0.1

MakeProtocol = Callable[[], asyncio.BaseProtocol]


class Closable(Protocol):
    """What a program keeps of a listener."""

    def close(self) -> None: ...


def bound_socket(host: str, port: int) -> socket.socket:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # Accepted sockets inherit the protocol's number, and asyncio sets TCP_NODELAY only where it says TCP: with the
    # default, 0, the kernel held small events back until the client had acknowledged the ones before.
    end = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        end.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        end.setblocking(False)
        end.bind((host, port))
        end.listen(BACKLOG)
    except OSError:
        end.close()
        raise
    return end


async def open_listener(
    make: MakeProtocol, host: str, port: int, failed: Callable[[OSError], None]
) -> Listener:
    """An OSError where the place stays taken."""
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
    """`failed` is told of each accept that failed."""

    def __init__(self, make: MakeProtocol, end: socket.socket, failed: Callable[[OSError], None]) -> None:
        self.loop = asyncio.get_running_loop()
        self.make = make
        self.end = end
        self.failed = failed
        self.pause: asyncio.TimerHandle | None = None
        self.opening: set[asyncio.Task[None]] = set()
        self._resume()

    def close(self) -> None:
        if self.pause is not None:
            self.pause.cancel()
        self.loop.remove_reader(self.end.fileno())
        self.end.close()

    def _resume(self) -> None:
        self.pause = None
        self.loop.add_reader(self.end.fileno(), self._accept)

    def _accept(self) -> None:
        for _ in range(ACCEPTED_AT_ONCE):
            try:
                connection, _ = self.end.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self.failed(error)
                if error.errno in SHORTAGES:
                    self.loop.remove_reader(self.end.fileno())
                    self.pause = self.loop.call_later(SHORTAGE_PAUSE_SECONDS, self._resume)
                    return
                continue  # this connection's own end, or a call to be made again
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

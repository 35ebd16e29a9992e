"""Whether something has come on a connection that its protocol has not been given yet."""

from __future__ import annotations

import asyncio
import select
import socket


def pending(transport: asyncio.BaseTransport) -> bool:
    """Bytes, an end or a reset that wait in the kernel; closing or writing now would cross them."""
    end: socket.socket | None = transport.get_extra_info("socket")
    if end is None or end.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(end.fileno(), select.POLLIN)
    return bool(poll.poll(0))

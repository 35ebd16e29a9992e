"""Crowds of clients that flood a router, stop midway or read slowly, for soaks on loopback."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from random import Random

from pearstall.lab.servers import LOCAL

CLIENTS = 120
STAY_SECONDS = 2.6  # longer than the router waits for a complete request
PAUSE_SECONDS = 0.3  # between two waves
LARGE_BODY_BYTES = 200_000


def _head(txn: str, length: int, fields: str = "") -> bytes:
    return (
        f"POST /v1/chat/completions HTTP/1.1\r\nX-Txn: {txn}\r\nX-Lane: chat\r\nX-Remaining: 2.0\r\n{fields}"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


def flood(txn: str) -> bytes:
    """Hundreds of requests of no class at once."""
    one = _head(txn, 2).replace(b"chat\r\n", b"none\r\n", 1) + b"{}"
    return one * 600


def half_a_body(txn: str) -> bytes:
    return _head(txn, LARGE_BODY_BYTES) + b"x" * (LARGE_BODY_BYTES // 2)


def short_fields(txn: str) -> bytes:
    """A head of very many short fields, and half of a body."""
    fields = "".join(f"{number:x}:a\r\n" for number in range(1000))
    return _head(txn, 2, fields) + b"{"


def empty_lines(txn: str) -> bytes:
    return b"\r\n" * 30_000


KINDS: tuple[Callable[[str], bytes], ...] = (flood, half_a_body, short_fields, empty_lines)


async def _client(port: int, data: bytes, reads: bool) -> None:
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(STAY_SECONDS):
            reader, writer = await asyncio.open_connection(LOCAL, port, limit=1 << 10)
            try:
                writer.write(data)
                while await reader.read(65536 if reads else 10):
                    if not reads:
                        await asyncio.sleep(0.05)
            finally:
                writer.transport.abort()


async def play_waves(port: int, random: Random) -> None:
    """One wave after another, each of one kind, until it is cancelled."""
    wave = 0
    while True:
        wave += 1
        kind = random.choice(KINDS)
        await asyncio.gather(
            *(_client(port, kind(f"bad-{wave}-{number}"), random.random() < 0.7) for number in range(CLIENTS))
        )
        await asyncio.sleep(PAUSE_SECONDS)

"""A world's hosts on the machine's own loopback, in real time: each name is an address of 127/8.

For fidelity only: the same scenario on real sockets and the real clock, beside virtual time. Silence, partitions and
killed hosts need the network in memory; a world that wants them is refused before it starts.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable
from typing import Any

from pearstall.net.pending import pending


class LoopbackLoop(asyncio.SelectorEventLoop):
    """`now`, `wall` and `number` are what a world asks of a virtual loop."""

    def __init__(self) -> None:
        super().__init__()
        self.hosts: dict[str, str] = {}
        self.base = 16 + os.getpid() % 200  # two runs at once keep out of each other's way
        self.number = 0

    @property
    def now(self) -> float:
        return self.time()

    def wall(self) -> float:
        return time.time()

    def place(self, host: str) -> str:
        """A name that was never heard of gets the next address."""
        found = self.hosts.get(host)
        if found is None:
            number = len(self.hosts) + 1
            found = self.hosts[host] = f"127.{self.base}.{number >> 8}.{number & 255}"
        return found

    def call_at(self, when: float, callback: Callable[..., Any], *args: Any, context: Any = None) -> Any:  # type: ignore[override]
        self.number += 1
        return super().call_at(when, callback, *args, context=context)

    async def create_connection(self, protocol_factory: Any, host: Any = None, port: Any = None, **more: Any) -> Any:
        return await super().create_connection(protocol_factory, self.place(host), port, **more)

    async def create_server(self, protocol_factory: Any, host: Any = None, port: Any = None, **more: Any) -> Any:
        return await super().create_server(protocol_factory, self.place(host), port, **more)


class Loopback:
    """The part of `network.Network` that real sockets can play."""

    def __init__(self, loop: LoopbackLoop) -> None:
        self.loop = loop
        self.zones: dict[str, str] = {}
        self.zone_walls: set[tuple[str, str]] = set()
        self.dark: set[str] = set()

    async def connect(self, make: Callable[[], Any], address: tuple[str, int], here: str = "") -> tuple[Any, Any]:
        transport, protocol = await self.loop.create_connection(make, *address)
        return transport, protocol

    def left(self, end: Any) -> bool:
        return bool(end.is_closing()) or pending(end)

    def kill(self, host: str) -> None:
        raise RuntimeError("no host on real sockets is killed")

    def wake(self, host: str) -> None:
        self.dark.discard(host)

    def cut(self, hosts: Callable[[str], bool]) -> int:
        raise RuntimeError("no connection on real sockets is cut")

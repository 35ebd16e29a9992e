"""A world's hosts on the machine's loopback interface, in real time: each host name gets an address of 127/8.

It serves to compare a scenario on real sockets and the real clock with virtual time. Unreachable hosts, partitions
and killed hosts need the network in memory; a scenario with such faults is rejected before it starts.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable
from typing import Any

from pearstall.net.pending import pending


class LoopbackLoop(asyncio.SelectorEventLoop):
    """`now`, `wall` and `number` are the parts of `clock.VirtualLoop` that a world uses."""

    def __init__(self) -> None:
        super().__init__()
        self.hosts: dict[str, str] = {}
        self.base = 16 + os.getpid() % 200  # concurrent runs use different addresses
        self.number = 0

    @property
    def now(self) -> float:
        return self.time()

    def wall(self) -> float:
        return time.time()

    def address_of(self, host: str) -> str:
        """Returns the address of a host; a new host gets the next one."""
        address = self.hosts.get(host)
        if address is None:
            number = len(self.hosts) + 1
            address = self.hosts[host] = f"127.{self.base}.{number >> 8}.{number & 255}"
        return address

    def call_at(self, when: float, callback: Callable[..., Any], *args: Any, context: Any = None) -> Any:  # type: ignore[override]
        self.number += 1
        return super().call_at(when, callback, *args, context=context)

    async def create_connection(
        self, protocol_factory: Any, host: Any = None, port: Any = None, **options: Any
    ) -> Any:
        return await super().create_connection(protocol_factory, self.address_of(host), port, **options)

    async def create_server(self, protocol_factory: Any, host: Any = None, port: Any = None, **options: Any) -> Any:
        return await super().create_server(protocol_factory, self.address_of(host), port, **options)


class Loopback:
    """The part of `network.Network` that real sockets can provide."""

    def __init__(self, loop: LoopbackLoop) -> None:
        self.loop = loop
        self.zones: dict[str, str] = {}
        self.zone_partitions: set[tuple[str, str]] = set()
        self.unreachable: set[str] = set()

    async def connect(self, make: Callable[[], Any], address: tuple[str, int], source: str = "") -> tuple[Any, Any]:
        transport, protocol = await self.loop.create_connection(make, *address)
        return transport, protocol

    def peer_closed(self, transport: Any) -> bool:
        return bool(transport.is_closing()) or pending(transport)

    def kill(self, host: str) -> None:
        raise RuntimeError("a host on real sockets cannot be killed")

    def restore_host(self, host: str) -> None:
        self.unreachable.discard(host)

    def reset_connections(self, hosts: Callable[[str], bool]) -> int:
        raise RuntimeError("connections on real sockets cannot be reset from outside")
